package main

import (
	"time"

	"github.com/samber/oops"

	"ravendale/control/operatorclient"
)

// adminFlags are the flags of commands that contact control processes.
type adminFlags struct {
	Admin  []string      `help:"Admin addresses of control processes, host:port, tried one after another." env:"RAVENDALE_ADMIN" placeholder:"HOST:PORT"`
	Within time.Duration `help:"How long to retry until a definite answer arrives." default:"30s"`
}

func (f *adminFlags) client(env environment) (*operatorclient.Client, error) {
	return newClient(env, f.Admin, f.Within, "name control processes by --admin or RAVENDALE_ADMIN, as host:port,host:port")
}

func newClient(env environment, addresses []string, within time.Duration, hint string) (*operatorclient.Client, error) {
	client, err := operatorclient.New(operatorclient.Options{Addresses: addresses, Timeout: within, Sleep: env.sleep})
	if err != nil {
		return nil, oops.Code(codeUsage).Hint(hint).Wrap(err)
	}
	return client, nil
}
