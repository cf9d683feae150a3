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

// Retire is sent to the leader to forward an operator's order to retire a node's store, or a query for its state.
type Retire struct {
	Node string
}

// RetireCode is the outcome of a forwarded order or query.
type RetireCode uint8

// The codes of the replies to Retire.
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

// RetireStateReply answers the query for the state of a node's retirement. Code is RetireStarted if Done is valid.
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

// StartRetire orders that a node's store be emptied, and forwards the order to the leader if that is another process.
// The order may be repeated. After ErrNotLeading it has certainly not taken effect; after ErrUndecided it may have, or
// still may.
func (s *Service) StartRetire(ctx context.Context, node string) error {
	if t := s.activeTerm(); t != nil {
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

// serveRetire handles an order that another control process forwarded. It does not forward it again.
func (s *Service) serveRetire(_ *rpc.Conn, order *Retire, reply rpc.Reply) {
	t := s.activeTerm()
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

// RetireState reports whether a node's retiring store is empty, and forwards the query to the leader if that is another
// process. It decides by a placement that is no older than the query: operators discard the disk of a store that is
// reported empty, and an older placement may list an earlier store of the same name. A store that has a vote in the
// core does not count as empty.
func (s *Service) RetireState(ctx context.Context, node string) (done bool, err error) {
	address, known := s.config.Leader()
	own := s.settings.Load()
	if s.activeTerm() == nil && known && address != own.ControlAddress(own.IP) {
		return forwardRetireState(ctx, address, node)
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
	return done && !s.hasCoreVote(view, node), nil
}

// serveRetireState handles a query that another control process forwarded, if this process leads.
func (s *Service) serveRetireState(_ *rpc.Conn, query *Retire, reply rpc.Reply) {
	if s.activeTerm() == nil {
		reply.Send(&RetireStateReply{Code: RetireNotLeading})
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
		defer cancel()
		done, err := s.retireState(ctx, query.Node)
		answer := &RetireStateReply{Done: done}
		if err != nil {
			answer.Code = replyOf(err).Code
		}
		reply.Send(answer)
	}()
}

func forwardRetireState(ctx context.Context, address, node string) (done bool, err error) {
	conn, err := rpc.Dial(ctx, address, rpc.Options{})
	if err != nil {
		return false, fmt.Errorf("%w: %w", ErrNotLeading, err)
	}
	defer conn.Close()
	var reply RetireStateReply
	if err := conn.Call(ctx, wire.MethodRetireState, &Retire{Node: node}, &reply); err != nil {
		return false, fmt.Errorf("%w: %w", ErrNotLeading, err)
	}
	if reply.Code == RetireStarted {
		return reply.Done, nil
	}
	if known := retireErrors[reply.Code]; known != nil {
		return false, known
	}
	return false, fmt.Errorf("%w: the leader answered with the unknown code %d", ErrNotLeading, reply.Code)
}

// newestPlacement returns a placement that is at least as new as the newest one committed before the call. It is nil if
// there is none.
func (s *Service) newestPlacement(ctx context.Context) (*wire.StoreView, error) {
	result, err := s.submit(ctx, &state.Barrier{})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotLeading, err)
	}
	if err := s.waitApplied(ctx, func(snapshot *state.Snapshot) bool { return snapshot.Epoch() >= result.Epoch }); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotLeading, err)
	}
	return s.config.State().Placement, nil
}
