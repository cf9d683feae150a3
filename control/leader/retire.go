package leader

import (
	"context"
	"errors"
	"fmt"

	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
	"ravendale/control/placement"
	"ravendale/control/state"
)

//go:generate go run github.com/tinylib/msgp -file retire.go -o retire_gen.go -tests=false
//msgp:tuple Retire RetireReply RetireStateReply

// Retire passes the operator's order, or the question how far it is, on to the process that leads.
type Retire struct {
	Node string
}

// RetireCode says what became of an order.
type RetireCode uint8

// The answers to Retire.
const (
	RetireStarted RetireCode = iota
	RetireUnknownNode
	RetireTooFew
	RetireNotLeading
	RetireUndecided
)

// RetireReply answers Retire.
type RetireReply struct {
	Code   RetireCode
	Reason string
}

// RetireStateReply answers the question how far a node is. Code is RetireStarted if that is known.
type RetireStateReply struct {
	Code RetireCode
	Done bool
}

var retireErrors = map[RetireCode]error{
	RetireUnknownNode: ErrUnknownNode,
	RetireTooFew:      ErrTooFew,
	RetireNotLeading:  ErrNotLeading,
	RetireUndecided:   ErrUndecided,
}

// StartRetire has a node's store emptied, by the leader if that is another process. The order may be repeated. After ErrNotLeading
// nothing was begun; after ErrUndecided it may be.
func (s *Service) StartRetire(ctx context.Context, node string) error {
	if t := s.leading(); t != nil {
		return t.startRetire(ctx, node)
	}
	address, known := s.config.Leader()
	own := s.settings.Load()
	if !known || address == own.ControlAddress(own.IP) {
		return ErrNotLeading
	}
	return forwardRetire(ctx, address, node)
}

func forwardRetire(ctx context.Context, address, node string) error {
	conn, err := rpc.Dial(ctx, address, rpc.Options{})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotLeading, err)
	}
	defer conn.Close()
	var reply RetireReply
	if err := conn.Call(ctx, wire.MethodRetire, &Retire{Node: node}, &reply); err != nil {
		return fmt.Errorf("%w: %w", ErrUndecided, err)
	}
	if reply.Code == RetireStarted {
		return nil
	}
	if known := retireErrors[reply.Code]; known != nil {
		return fmt.Errorf("%w: %s", known, reply.Reason)
	}
	return ErrUndecided
}

// serveRetire answers another control process. It does not forward any further.
func (s *Service) serveRetire(_ *rpc.Conn, order *Retire, reply rpc.Reply) {
	t := s.leading()
	if t == nil {
		reply.Send(&RetireReply{Code: RetireNotLeading})
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
		defer cancel()
		reply.Send(replyOf(t.startRetire(ctx, order.Node)))
	}()
}

func replyOf(err error) *RetireReply {
	if err == nil {
		return &RetireReply{Code: RetireStarted}
	}
	reply := &RetireReply{Code: RetireUndecided, Reason: err.Error()}
	for code, known := range retireErrors {
		if errors.Is(err, known) {
			reply.Code = code
		}
	}
	return reply
}

// RetireState says whether a node's store that is to retire is empty, as the leader knows it. It goes by a placement that is no older
// than the question: at the word that a store is empty its disk is thrown away, and an old placement may speak of an earlier store of the same
// name. A store that has a vote in the core is not empty either.
func (s *Service) RetireState(ctx context.Context, node string) (done bool, err error) {
	address, known := s.config.Leader()
	own := s.settings.Load()
	if s.leading() == nil && known && address != own.ControlAddress(own.IP) {
		return askRetireState(ctx, address, node)
	}
	return s.retireState(ctx, node)
}

func (s *Service) retireState(ctx context.Context, node string) (done bool, err error) {
	view, err := s.newestPlacement(ctx)
	if err != nil {
		return false, err
	}
	if view == nil {
		return false, ErrNotLeading
	}
	known, _, done := placement.Retirement(view, node)
	if !known {
		return false, fmt.Errorf("%w: %q", ErrUnknownNode, node)
	}
	return done && !s.hosts(view, node), nil
}

// serveRetireState answers another control process, as long as this one leads.
func (s *Service) serveRetireState(_ *rpc.Conn, question *Retire, reply rpc.Reply) {
	if s.leading() == nil {
		reply.Send(&RetireStateReply{Code: RetireNotLeading})
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
		defer cancel()
		done, err := s.retireState(ctx, question.Node)
		answer := &RetireStateReply{Done: done}
		if err != nil {
			answer.Code = replyOf(err).Code
		}
		reply.Send(answer)
	}()
}

func askRetireState(ctx context.Context, address, node string) (done bool, err error) {
	conn, err := rpc.Dial(ctx, address, rpc.Options{})
	if err != nil {
		return false, fmt.Errorf("%w: %w", ErrNotLeading, err)
	}
	defer conn.Close()
	var reply RetireStateReply
	if err := conn.Call(ctx, wire.MethodRetireState, &Retire{Node: node}, &reply); err != nil {
		return false, fmt.Errorf("%w: %w", ErrNotLeading, err)
	}
	if reply.Code != RetireStarted {
		return false, retireErrors[reply.Code]
	}
	return reply.Done, nil
}

// newestPlacement is one that was in force at the call, or later.
func (s *Service) newestPlacement(ctx context.Context) (*wire.StoreView, error) {
	result, err := s.submit(ctx, &state.Barrier{})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotLeading, err)
	}
	if err := s.applied(ctx, func(now *state.Snapshot) bool { return now.Epoch() >= result.Epoch }); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotLeading, err)
	}
	return s.config.State().Placement, nil
}
