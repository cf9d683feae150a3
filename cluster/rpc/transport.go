package rpc

import (
	"encoding/binary"

	"ravendale/cluster/wire"
)

// Transport delivers a connection's frames to the other end instead of a socket, for example over a simulated network.
type Transport interface {
	WriteFrame(frame []byte) // the frame must be copied if it is kept after the call
	Close()                  // called when this end has closed the connection
}

// NewWithTransport returns a connection without a socket, goroutines or timers. It sends frames to the transport,
// Deliver receives those of the other end, and Fail closes it with an error such as a time-out.
func NewWithTransport(options Options, transport Transport) *Conn {
	c := newConn(nil, options.withDefaults())
	c.transport = transport
	return c
}

// AcceptWithTransport returns the accepting end of a connection like those of NewWithTransport. Order is its AcceptOrder.
func AcceptWithTransport(options Options, transport Transport, order uint64) *Conn {
	c := NewWithTransport(options, transport)
	c.acceptOrder = order
	return c
}

// Deliver handles one complete frame from a Transport.
func (c *Conn) Deliver(frame []byte) {
	if len(frame) < headerSize || c.Err() != nil {
		return
	}
	method, call := wire.Method(binary.BigEndian.Uint16(frame[5:])), binary.BigEndian.Uint32(frame[7:])
	c.handle(frameKind(frame[4]), method, call, frame[headerSize:])
}

// Fail closes the connection with an error.
func (c *Conn) Fail(err error) { c.fail(err) }
