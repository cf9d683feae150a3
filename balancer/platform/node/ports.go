package node

import "ravendale/balancer/transport"

// ports is the network interface of a node. All methods are called in turns of the node's loop.
type ports interface {
	transport.Network
	// Operators, Successors and Clients start to accept connections and pass them to the given functions. Successors accepts
	// new processes of this scheduler; at its path there may still be the socket file of a process that crashed.
	Operators(addr string, limit int, accept func(transport.Conn) transport.Handler) error
	Successors(path string, accept func(transport.Conn) transport.Handler) error
	// Peers starts to accept links from fleet members; the function returned stops accepting, but keeps the connections.
	Peers(addr string, limit int, accept func(transport.Conn) transport.Handler) (func(), error)
	// Clients passes each connection to the function in to with the index that choose returns. It calls choose in its own
	// goroutine.
	Clients(addr string, descriptor, limit int, to []accept, choose func() int) error
	// Core returns the network of a core with its own loop.
	Core(number int) transport.Network
	// Echo calls f once all events that have arrived by now for the node's own loop have been delivered to it.
	Echo(f func()) error
	SetLimit(clients int)
	Pause(paused bool) // stops or resumes accepting clients
	// Adopt serves a client's connection received from another process, on the given core, or on the node's own loop if core
	// is below 0. It must be called in a turn of that loop, and calls accept before it returns.
	Adopt(core int, g transport.PassedConn, accept accept) error
}
