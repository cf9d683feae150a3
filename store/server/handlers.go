package store

import (
	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
	"ravendale/store/queue"
)

// register names the handlers of all that edges and primaries send.
func (s *Store) register() {
	mux := s.config.Mux
	request(s, mux, wire.MethodPut, (*queue.Core).PutMessage)
	request(s, mux, wire.MethodReport, (*queue.Core).ReportDelivery)
	request(s, mux, wire.MethodClaim, (*queue.Core).ClaimMessages)
	request(s, mux, wire.MethodAttach, (*queue.Core).AttachEdge)
	rpc.Handle(mux, wire.MethodFind, func(_ *rpc.Conn, m *wire.Find, reply rpc.Reply) {
		s.do(func(now queue.Time) { s.core.FindMessage(now, m, reply) })
	})
	rpc.Handle(mux, queue.MethodHello, func(_ *rpc.Conn, m *queue.Hello, reply rpc.Reply) {
		reply.Send(&queue.HelloReply{Accepted: m.To == s.config.Disk})
	})
	notice(s, mux, queue.MethodReplicate, (*queue.Core).Replicate)
	notice(s, mux, queue.MethodCompare, (*queue.Core).Compare)
	notice(s, mux, queue.MethodFetch, (*queue.Core).Fetch)
	rpc.Handle(mux, queue.MethodFilled, func(_ *rpc.Conn, m *queue.Filled, _ rpc.Reply) {
		s.do(func(now queue.Time) { s.core.Filled(now, m) })
	})
}

// answers are the handlers of what members send back.
func (s *Store) answers() *rpc.Mux {
	mux := rpc.NewMux()
	notice(s, mux, queue.MethodAcked, (*queue.Core).Acked)
	notice(s, mux, queue.MethodDiffer, (*queue.Core).Differ)
	notice(s, mux, queue.MethodFetched, (*queue.Core).Fetched)
	return mux
}

// Closed tells that a connection to the server is lost; it is to be hooked up by who listens.
func (s *Store) Closed(c *rpc.Conn) {
	s.do(func(now queue.Time) { s.core.EdgeDown(now, c) })
}

func request[T any, P interface {
	*T
	msgp.Unmarshaler
}](s *Store, mux *rpc.Mux, method wire.Method, handle func(*queue.Core, queue.Time, queue.Remote, *T, queue.Replier)) {
	rpc.Handle[T, P](mux, method, func(c *rpc.Conn, m *T, reply rpc.Reply) {
		s.do(func(now queue.Time) { handle(s.core, now, c, m, reply) })
	})
}

func notice[T any, P interface {
	*T
	msgp.Unmarshaler
}](s *Store, mux *rpc.Mux, method wire.Method, handle func(*queue.Core, queue.Time, queue.Remote, *T)) {
	rpc.Handle[T, P](mux, method, func(c *rpc.Conn, m *T, _ rpc.Reply) {
		s.do(func(now queue.Time) { handle(s.core, now, c, m) })
	})
}
