package rpc

import (
	"encoding/binary"

	"ravendale/cluster/wire"
)

// Transport brings a connection's frames to the other end in the place of a socket, as a simulated network does.
type Transport interface {
	WriteFrame(frame []byte) // must be copied if it is kept
	Close()                  // the connection has ended here
}

// NewWithTransport makes a connection without a socket, goroutines or timers: frames go to the transport, Deliver takes those of the other
// end, and Fail ends it for a cause, as a timeout.
func NewWithTransport(options Options, transport Transport) *Conn {
	c := newConn(nil, options.withDefaults())
	c.transport = transport
	return c
}

// Deliver takes one complete frame from a Transport.
func (c *Conn) Deliver(frame []byte) {
	if len(frame) < headerSize || c.Err() != nil {
		return
	}
	method, call := wire.Method(binary.BigEndian.Uint16(frame[5:])), binary.BigEndian.Uint32(frame[7:])
	c.handle(frameKind(frame[4]), method, call, frame[headerSize:])
}

// Fail ends the connection for a cause.
func (c *Conn) Fail(err error) { c.fail(err) }
