package main

import (
	"context"
	"net"
	"sync"
	"time"

	"ravendale/control/api"
	"ravendale/control/core"
	"ravendale/control/leader"
	"ravendale/control/state"
	"ravendale/program"
	"ravendale/rpc"
)

// Listening is tried again for a while: the process before this one may still hold the address.
const (
	listenFor   = 3 * time.Second
	listenPause = 50 * time.Millisecond
	stopWithin  = time.Second // for answers under way when the process is told to stop
)

// control is the process, put together.
type control struct {
	env     program.Environment
	mux     *rpc.Mux
	machine *state.Machine
	core    *core.Core
	leader  *leader.Service
	api     *api.Server
}

func newControl(env program.Environment) (*control, error) {
	c := &control{env: env, mux: rpc.NewMux(), machine: state.NewMachine()}
	opened, err := core.Open(core.Config{
		Settings: env.Settings, Machine: c.machine, Mux: c.mux, Log: env.Log,
		Lead:    func(ctx context.Context, lease *core.Lease) { c.leader.Lead(ctx, lease.Valid) },
		Applied: func() { c.leader.Changed() },
	})
	if err != nil {
		return nil, err
	}
	c.core = opened
	c.leader = leader.NewService(leader.Config{
		Settings: env.Settings, Mux: c.mux, Log: env.Log,
		Submit: opened.Submit, State: c.machine.Current, Leader: opened.Leader, Core: opened.Addresses,
	})
	c.api = api.New(api.Options{
		Submitter: opened, Retirer: retirer{c.leader}, Log: env.Log, Redirect: c.leaderAdmin, Status: c.status,
	})
	return c, nil
}

// run serves until the context ends.
func (c *control) run(ctx context.Context) error {
	s := c.env.Settings
	server, err := again(func() (*rpc.Server, error) {
		return rpc.Listen(s.ControlAddress(s.IP), rpc.Options{Mux: c.mux}, nil)
	})
	if err != nil {
		return err
	}
	defer server.Close()
	admin, err := again(func() (net.Listener, error) { return net.Listen("tcp4", s.ListenAdmin) })
	if err != nil {
		return err
	}
	c.env.Log.Info("started", "admin", s.ListenAdmin, "rpc", s.ControlAddress(s.IP))
	var group sync.WaitGroup
	group.Go(func() { _ = c.api.Serve(admin) })
	group.Go(func() { c.env.WatchSettings(ctx, c.leader.SetSettings) })
	c.core.Run(ctx)
	stop, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	_ = c.api.Shutdown(stop)
	return nil
}

// again tries to listen until it works, or until listenFor has passed.
func again[T any](listen func() (T, error)) (T, error) {
	for deadline := time.Now().Add(listenFor); ; time.Sleep(listenPause) {
		listener, err := listen()
		if err == nil || time.Now().After(deadline) {
			return listener, err
		}
	}
}
