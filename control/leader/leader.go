package leader

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"ravendale/cluster/host"
	"ravendale/cluster/relay"
	"ravendale/cluster/rpc"
	"ravendale/cluster/settings"
	"ravendale/cluster/wire"
	"ravendale/control/discovery"
	"ravendale/control/placement"
	"ravendale/control/state"
)

// Errors of the operators' orders.
var (
	ErrNotLeading  = errors.New("leader: another process leads")
	ErrUnknownNode = errors.New("leader: no such store")
	ErrTooFew      = errors.New("leader: too few stores would be left")
	ErrUndecided   = errors.New("leader: the order may or may not be taken")
)

// Timeouts and intervals of a Service.
const (
	submitTimeout = 2 * time.Second
	retryPause    = 100 * time.Millisecond
	statePoll     = 10 * time.Millisecond // between checks whether this process has applied a command that it submitted
)

// Config configures a Service.
type Config struct {
	Settings *settings.Settings
	Mux      *rpc.Mux // NewService registers its handlers here; the main program serves it
	Submit   func(ctx context.Context, command []byte) ([]byte, error)
	State    func() *state.Snapshot // the newest state that this process has applied
	Leader   func() (address string, ok bool)
	Core     func() []string // RPC addresses of the control processes
	Log      *slog.Logger    // nil: slog.Default
	Hosting  Hosting         // nil: stores do not take part in the core
	// Read reads the platform's list of workers; nil: it is read from the address in the settings.
	Read func(ctx context.Context, gap time.Duration) (*wire.Workers, int, error)
	Host host.Host // nil: host.System
}

// Service answers requests of members, and leads while Lead runs. It is safe for concurrent use.
type Service struct {
	config   Config
	log      *slog.Logger
	host     host.Host
	settings atomic.Pointer[settings.Settings]
	current  atomic.Pointer[term] // nil while this process does not lead
}

// NewService returns a service and registers its handlers on the Mux.
func NewService(config Config) *Service {
	s := &Service{config: config, log: config.Log, host: host.OrSystem(config.Host)}
	if s.log == nil {
		s.log = slog.Default()
	}
	s.settings.Store(config.Settings)
	rpc.Handle(config.Mux, wire.MethodRenew, s.renew)
	rpc.Handle(config.Mux, wire.MethodRetire, s.serveRetire)
	rpc.Handle(config.Mux, wire.MethodRetireState, s.serveRetireState)
	relay.Register(config.Mux, s.node)
	return s
}

// SetSettings replaces the settings after they were reloaded.
func (s *Service) SetSettings(settings *settings.Settings) { s.settings.Store(settings) }

// activeTerm returns the term in which this process leads, or nil if it does not lead or its leader lease has expired.
func (s *Service) activeTerm() *term {
	t := s.current.Load()
	if t == nil || !t.valid() {
		return nil
	}
	return t
}

func (s *Service) node() *relay.Node {
	if t := s.activeTerm(); t != nil {
		return t.node
	}
	return nil
}

func (s *Service) renew(c *rpc.Conn, renew *wire.Renew, reply rpc.Reply) {
	t := s.activeTerm()
	if t != nil && t.box.Post(func() { t.renew(c, renew, reply) }) {
		return
	}
	s.sendHostOrder(c, &renew.Member, nil)
	address, _ := s.config.Leader()
	reply.Send(&wire.RenewReply{Leader: address, Core: s.config.Core()})
}

// Lead leads for one term, until the context ends. Valid reports whether the leader lease is valid; while it is not,
// the term takes no action.
func (s *Service) Lead(ctx context.Context, valid func() bool) {
	number, err := s.takeTerm(ctx, valid)
	if err != nil {
		return
	}
	s.log.Info("became leader", "term", number)
	t := newTerm(s, number, valid)
	s.current.Store(t)
	t.run(ctx)
	s.current.CompareAndSwap(t, nil)
	s.log.Info("stopped leading", "term", number)
}

// takeTerm obtains a new term number from the state machine, and waits until this process has applied all commands
// before it.
func (s *Service) takeTerm(ctx context.Context, valid func() bool) (uint64, error) {
	for {
		if !valid() {
			if err := s.host.Sleep(ctx, retryPause); err != nil {
				return 0, err
			}
			continue
		}
		address := s.settings.Load().ControlAddress(s.settings.Load().IP)
		result, err := s.submit(ctx, &state.TakeTerm{Candidate: address})
		if err == nil && result.Applied() {
			return result.Term, s.waitApplied(ctx, func(snapshot *state.Snapshot) bool { return snapshot.Term >= result.Term })
		}
		if err := s.host.Sleep(ctx, retryPause); err != nil {
			return 0, err
		}
	}
}

// waitApplied waits until the state that this process has applied satisfies reached.
func (s *Service) waitApplied(ctx context.Context, reached func(*state.Snapshot) bool) error {
	for !reached(s.config.State()) {
		if err := s.host.Sleep(ctx, statePoll); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func (s *Service) submit(ctx context.Context, command state.Command) (*state.Result, error) {
	encoded, err := state.Encode(command)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	answer, err := s.config.Submit(ctx, encoded)
	if err != nil {
		return nil, err
	}
	return state.DecodeResult(answer)
}

// Changed notifies the service that this process's state machine has applied commands. It does not block.
func (s *Service) Changed() {
	if t := s.current.Load(); t != nil {
		t.box.Post(func() {}) // the term checks the state after each event, also after one that does nothing
	}
}

// placementConfig derives the placement's configuration from the failures that the settings say must be tolerated.
func placementConfig(s *settings.Settings) placement.Config {
	return placement.Config{
		Copies:             1 + max(s.ToleratedNodes, s.ToleratedZones, s.ToleratedRegions),
		Partitions:         placement.DefaultPartitions,
		TolerateZoneLoss:   s.ToleratedZones > 0,
		TolerateRegionLoss: s.ToleratedRegions > 0,

		ColocateInZone: true,
	}
}

// listReader returns the function that reads the platform's list, and one that closes its connection. Without an
// address in the settings it reads an empty list.
func (s *Service) listReader() (read func(context.Context, time.Duration) (*wire.Workers, int, error), done func()) {
	if s.config.Read != nil {
		return s.config.Read, func() {}
	}
	address := s.settings.Load().ProviderAddress
	if address == "" {
		none := func(context.Context, time.Duration) (*wire.Workers, int, error) { return &wire.Workers{}, 1, nil }
		return none, func() {}
	}
	reader := discovery.NewReader(address)
	return reader.Read, reader.Close
}
