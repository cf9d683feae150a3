package plane

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"ravendale/cluster/rpc"
	"ravendale/cluster/settings"
	"ravendale/cluster/wire"
	"ravendale/control/core"
	"ravendale/control/leader"
	"ravendale/control/state"
)

// RetryListen retries for a while, since the previous process may still hold the address.
const (
	listenTimeout       = 3 * time.Second
	listenRetryInterval = 50 * time.Millisecond
)

// Config configures a Plane.
type Config struct {
	Settings *settings.Settings
	DataDir  string // of the core; empty: the core has no disk in this process
	Storage  bool   // the process is a store
	Log      *slog.Logger
}

// Plane is the control plane's part of a process.
type Plane struct {
	config         Config
	mux            *rpc.Mux
	pendingAnswers sync.WaitGroup  // requests for this process's status that are being answered
	Machine        *state.Machine  // the state machine that the core's members apply commands to
	Core           *core.Core      // the member of the replicated core, or a client of the core if there is no disk
	Leader         *leader.Service // leads while this process holds the leader lease
}

// Open reads the disk, if there is one, and assembles the plane. It starts nothing: see Run.
func Open(config Config) (*Plane, error) {
	p := &Plane{config: config, mux: rpc.NewMux(), Machine: state.NewMachine()}
	own := *config.Settings
	own.DataDir = config.DataDir
	opened, err := core.Open(core.Config{
		Settings: &own, Machine: p.Machine, Mux: p.mux, Log: config.Log, Storage: config.Storage,
		Lead:    func(ctx context.Context, lease *core.Lease) { p.Leader.Lead(ctx, lease.Valid) },
		Applied: func() { p.Leader.Changed() },
	})
	if err != nil {
		return nil, err
	}
	p.Core = opened
	p.Leader = leader.NewService(leader.Config{
		Settings: config.Settings, Mux: p.mux, Log: config.Log, Hosting: newHosting(p.config.Settings, opened, config.Log),
		Submit: opened.Submit, State: p.Machine.Current, Leader: opened.Leader, Core: opened.Addresses,
	})
	return p, nil
}

// Run listens for other processes and takes part in the core until the context ends.
func (p *Plane) Run(ctx context.Context) error {
	answerContext, stop := context.WithCancel(context.Background()) // it outlives ctx: a member that is leaving the core still answers
	defer stop()
	rpc.Handle(p.mux, wire.MethodStatus, func(_ *rpc.Conn, _ *statusRequest, reply rpc.Reply) { p.serveStatus(answerContext, reply) })
	s := p.config.Settings
	server, err := RetryListen(func() (*rpc.Server, error) {
		return rpc.Listen(s.ControlAddress(s.IP), rpc.Options{Mux: p.mux}, nil)
	})
	if err != nil {
		return err
	}
	p.Core.Run(ctx)
	server.Close()
	stop()
	p.pendingAnswers.Wait()
	return nil
}

// SetSettings replaces the settings after they were reloaded.
func (p *Plane) SetSettings(s *settings.Settings) { p.Leader.SetSettings(s) }

// RetryListen calls listen until it succeeds, for listenTimeout at most: the previous process may still hold the address.
func RetryListen[T any](listen func() (T, error)) (T, error) {
	for deadline := time.Now().Add(listenTimeout); ; time.Sleep(listenRetryInterval) {
		listener, err := listen()
		if err == nil || time.Now().After(deadline) {
			return listener, err
		}
	}
}

// controlAddress returns the core's address on the machine of the process that listens at an address, or "" if that is
// not valid.
func controlAddress(s *settings.Settings, address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return s.ControlAddress(host)
}
