package main

import (
	"context"
	"net"
	"sync"
	"time"

	"ravendale/cluster/program"
	"ravendale/control/api"
	"ravendale/control/plane"
)

const shutdownTimeout = time.Second // for answers under way when the process is told to stop

// control is the process, put together.
type control struct {
	env   program.Environment
	plane *plane.Plane
	api   *api.Server
}

func newControl(env program.Environment) (*control, error) {
	opened, err := plane.Open(plane.Config{Settings: env.Settings, DataDir: env.Settings.DataDir, Log: env.Log})
	if err != nil {
		return nil, err
	}
	c := &control{env: env, plane: opened}
	options := api.Options{Submitter: opened.Core, Retirer: retirer{opened.Leader}, Log: env.Log, Status: opened.Status}
	if env.Settings.DataDir != "" {
		options.Redirect = c.leaderAdmin // without a disk, the leader may be in a store, which no operator can call: then all is passed on
	}
	c.api = api.New(options)
	return c, nil
}

// run serves until the context ends, or returns why it can't listen for other processes.
func (c *control) run(ctx context.Context) error {
	s := c.env.Settings
	admin, err := plane.RetryListen(func() (net.Listener, error) { return net.Listen("tcp4", s.ListenAdmin) })
	if err != nil {
		return err
	}
	c.env.Log.Info("started", "admin", s.ListenAdmin, "rpc", s.ControlAddress(s.IP))
	running, stop := context.WithCancel(ctx)
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { _ = c.api.Serve(admin) }) // it fails only as its listener is closed
	group.Go(func() { c.env.WatchSettings(running, c.plane.SetSettings) })
	listenErr := c.plane.Run(ctx)
	if listenErr != nil {
		c.env.Log.Error("not listening for other processes", "error", listenErr)
	}
	stop()
	shutdown, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = c.api.Shutdown(shutdown) // what is under way at the end of its time is cut off
	_ = admin.Close()            // Shutdown has closed it, unless Serve had not begun
	group.Wait()
	return listenErr
}
