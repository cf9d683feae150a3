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

const shutdownTimeout = time.Second // limit for requests in flight when the process receives a stop signal

// controlProcess wires the components of a control process.
type controlProcess struct {
	env   program.Environment
	plane *plane.Plane
	api   *api.Server
}

func newControlProcess(env program.Environment) (*controlProcess, error) {
	controlPlane, err := plane.Open(plane.Config{Settings: env.Settings, DataDir: env.Settings.DataDir, Log: env.Log})
	if err != nil {
		return nil, err
	}
	c := &controlProcess{env: env, plane: controlPlane}
	options := api.Options{Submitter: controlPlane.Core, Retirer: retirer{controlPlane.Leader}, Log: env.Log, Status: controlPlane.Status}
	if env.Settings.DataDir != "" {
		options.Redirect = c.leaderAdminAddress // without a disk, always forward: the leader may run in a store, which has no admin address
	}
	c.api = api.New(options)
	return c, nil
}

// run serves until the context ends. It returns an error if it can't listen on the admin address or for other processes.
func (c *controlProcess) run(ctx context.Context) error {
	s := c.env.Settings
	admin, err := plane.RetryListen(func() (net.Listener, error) { return net.Listen("tcp4", s.ListenAdmin) })
	if err != nil {
		return err
	}
	c.env.Log.Info("started", "admin", s.ListenAdmin, "rpc", s.ControlAddress(s.IP))
	runCtx, cancelRun := context.WithCancel(ctx)
	defer cancelRun()
	var goroutines sync.WaitGroup
	goroutines.Go(func() { _ = c.api.Serve(admin) }) // fails only because its listener is closed
	goroutines.Go(func() { c.env.WatchSettings(runCtx, c.plane.SetSettings) })
	listenErr := c.plane.Run(ctx)
	if listenErr != nil {
		c.env.Log.Error("failed to listen for other processes", "error", listenErr)
	}
	cancelRun()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = c.api.Shutdown(shutdownCtx) // requests still in flight after shutdownTimeout are aborted
	_ = admin.Close()               // Shutdown closes the listener only if Serve has been called
	goroutines.Wait()
	return listenErr
}
