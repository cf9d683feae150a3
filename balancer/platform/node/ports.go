package node

import "ravendale/balancer/transport"

// ports is where a node is reached; everything in it is called by the loop's goroutine.
type ports interface {
	transport.Network
	// Operators, Successors and Clients begin to accept, each by the function given. Successors are new processes of
	// this scheduler, whose place may still be taken by a file that a dead process left.
	Operators(addr string, limit int, accept func(transport.Conn) transport.Handler) error
	Successors(path string, accept func(transport.Conn) transport.Handler) error
	// Peers begins to accept links of a fleet's members; the function returned ends that, and the connections stay.
	Peers(addr string, limit int, accept func(transport.Conn) transport.Handler) (func(), error)
	// Clients deals what it accepts out to several places, as choose says in a goroutine of its own.
	Clients(addr string, descriptor, limit int, to []accept, choose func() int) error
	// Core is the network of a core that has a loop of its own.
	Core(number int) transport.Network
	// Echo calls f once all that had arrived for the node's own loop by now has been handed over.
	Echo(f func()) error
	SetLimit(clients int)
	Pause(paused bool) // of clients
	// Adopt serves a client's connection that came from another process, on a core or, below 0, on the node's own loop. It
	// is called in a turn of that loop, and calls accept at once.
	Adopt(core int, g transport.Given, accept accept) error
}
