package server

import (
	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
	"ravendale/store/queue"
)

// register registers the handlers for requests and notifications from edges and from primaries.
func (s *Store) register() {
	mux := s.config.Mux
	handleRequest(s, mux, wire.MethodPut, (*queue.Core).PutMessage)
	handleRequest(s, mux, wire.MethodReport, (*queue.Core).ReportDelivery)
	handleRequest(s, mux, wire.MethodClaim, (*queue.Core).ClaimMessages)
	handleFirstRequest(s, mux, wire.MethodAttach, (*queue.Core).AttachEdge)
	handleNotification(s, mux, wire.MethodEdgeConfig, (*queue.Core).ConfigureEdge)
	rpc.Handle(mux, wire.MethodFind, func(_ *rpc.Conn, m *wire.Find, reply rpc.Reply) {
		s.handle(func(now queue.Time) { s.core.FindMessage(now, m, reply) })
	})
	handleFirstRequest(s, mux, queue.MethodHello, (*queue.Core).Hello)
	handleNotification(s, mux, queue.MethodReplicate, (*queue.Core).Replicate)
	handleNotification(s, mux, queue.MethodCompare, (*queue.Core).Compare)
	handleNotification(s, mux, queue.MethodFetch, (*queue.Core).Fetch)
	handleNotification(s, mux, queue.MethodFilled, (*queue.Core).Filled)
}

// replicaHandlers returns the handlers for notifications that replicas send back to a primary.
func (s *Store) replicaHandlers() *rpc.Mux {
	mux := rpc.NewMux()
	handleNotification(s, mux, queue.MethodAcked, (*queue.Core).Acked)
	handleNotification(s, mux, queue.MethodDiffer, (*queue.Core).Differ)
	handleNotification(s, mux, queue.MethodFetched, (*queue.Core).Fetched)
	return mux
}

// ConnClosed notifies the store that a connection which its listener accepted is closed. The owner of the listener must
// call it from OnClose. It does not block.
func (s *Store) ConnClosed(c *rpc.Conn) {
	s.tasks.start(func() {
		s.handle(func(now queue.Time) { s.core.RemoteDown(now, c) })
	})
}

// handleFirstRequest registers a handler for a request that identifies the peer of a connection. It drops the request if
// the connection is closed: the core may have handled that already, and would keep the connection forever.
func handleFirstRequest[T any, P interface {
	*T
	msgp.Unmarshaler
}](s *Store, mux *rpc.Mux, method wire.Method, handle func(*queue.Core, queue.Time, queue.Remote, *T, queue.Replier)) {
	handleRequest[T, P](s, mux, method, func(core *queue.Core, now queue.Time, from queue.Remote, m *T, reply queue.Replier) {
		if from.(*rpc.Conn).Err() == nil {
			handle(core, now, from, m, reply)
		}
	})
}

func handleRequest[T any, P interface {
	*T
	msgp.Unmarshaler
}](s *Store, mux *rpc.Mux, method wire.Method, handle func(*queue.Core, queue.Time, queue.Remote, *T, queue.Replier)) {
	rpc.Handle[T, P](mux, method, func(c *rpc.Conn, m *T, reply rpc.Reply) {
		s.handle(func(now queue.Time) { handle(s.core, now, c, m, reply) })
	})
}

func handleNotification[T any, P interface {
	*T
	msgp.Unmarshaler
}](s *Store, mux *rpc.Mux, method wire.Method, handle func(*queue.Core, queue.Time, queue.Remote, *T)) {
	rpc.Handle[T, P](mux, method, func(c *rpc.Conn, m *T, _ rpc.Reply) {
		s.handle(func(now queue.Time) { handle(s.core, now, c, m) })
	})
}
