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

// Errors of the operator's orders.
var (
	ErrNotLeading  = errors.New("leader: another process leads")
	ErrUnknownNode = errors.New("leader: no such store")
	ErrTooFew      = errors.New("leader: too few stores would be left")
	ErrUndecided   = errors.New("leader: the order may or may not be taken")
)

// Times of a Service.
const (
	submitTimeout = 2 * time.Second
	retryPause    = 100 * time.Millisecond
	statePoll     = 10 * time.Millisecond // until this process has applied what it submitted
)

// Config of a Service.
type Config struct {
	Settings *settings.Settings
	Mux      *rpc.Mux // gets the handlers; the main program listens with it
	Submit   func(ctx context.Context, command []byte) ([]byte, error)
	State    func() *state.Snapshot // as this process has it
	Leader   func() (address string, ok bool)
	Core     func() []string // rpc addresses of the control processes
	Log      *slog.Logger    // nil: the default
	Hosting  Hosting         // nil: no store takes part in the core
	// Read reads the platform's list; nil: from the address in the settings.
	Read func(ctx context.Context, gap time.Duration) (*wire.Workers, int, error)
	Host host.Host // nil: host.System
}

// Service answers members, and leads while Lead runs. Its methods may be called by any goroutine.
type Service struct {
	config   Config
	log      *slog.Logger
	host     host.Host
	settings atomic.Pointer[settings.Settings]
	current  atomic.Pointer[term] // nil while this process does not lead
}

// NewService makes a service and registers its handlers on the Mux.
func NewService(config Config) *Service {
	s := &Service{config: config, log: config.Log, host: host.Or(config.Host)}
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

// SetSettings gives the service settings that were read again.
func (s *Service) SetSettings(settings *settings.Settings) { s.settings.Store(settings) }

// leading is the term in which this process leads now, if it does.
func (s *Service) leading() *term {
	t := s.current.Load()
	if t == nil || !t.valid() {
		return nil
	}
	return t
}

func (s *Service) node() *relay.Node {
	if t := s.leading(); t != nil {
		return t.node
	}
	return nil
}

func (s *Service) renew(c *rpc.Conn, renew *wire.Renew, reply rpc.Reply) {
	t := s.leading()
	if t != nil && t.box.Post(func() { t.renew(c, renew, reply) }) {
		return
	}
	s.order(c, &renew.Member, nil)
	address, _ := s.config.Leader()
	reply.Send(&wire.RenewReply{Leader: address, Core: s.config.Core()})
}

// Lead leads until the context ends. Valid says whether the leader lease holds; nothing is done once it does not.
func (s *Service) Lead(ctx context.Context, valid func() bool) {
	number, err := s.takeTerm(ctx, valid)
	if err != nil {
		return
	}
	s.log.Info("leading", "term", number)
	t := newTerm(s, number, valid)
	s.current.Store(t)
	t.run(ctx)
	s.current.CompareAndSwap(t, nil)
	s.log.Info("not leading any more", "term", number)
}

// takeTerm has the state machine name a term for this leader, and waits until this process has applied all that came before.
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
			return result.Term, s.applied(ctx, func(now *state.Snapshot) bool { return now.Term >= result.Term })
		}
		if err := s.host.Sleep(ctx, retryPause); err != nil {
			return 0, err
		}
	}
}

func (s *Service) applied(ctx context.Context, reached func(*state.Snapshot) bool) error {
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

// Changed tells that this process's state machine has applied commands. It does not wait.
func (s *Service) Changed() {
	if t := s.current.Load(); t != nil {
		t.box.Post(func() {}) // after each event the term looks at the state
	}
}

// placementConfig follows from the failures that the settings tolerate.
func placementConfig(s *settings.Settings) placement.Config {
	return placement.Config{
		Copies:     1 + max(s.ToleratedNodes, s.ToleratedZones, s.ToleratedRegions),
		Partitions: placement.DefaultPartitions,
		Zones:      s.ToleratedZones > 0,
		Regions:    s.ToleratedRegions > 0,

		GatherZones: true,
	}
}

// reader is how the platform's list is read.
func (s *Service) reader() (read func(context.Context, time.Duration) (*wire.Workers, int, error), done func()) {
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
