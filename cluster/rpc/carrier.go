package rpc

import (
	"encoding/binary"

	"ravendale/cluster/wire"
)

// Carrier brings a connection's frames to the other end in the place of a socket, as a simulated network does.
type Carrier interface {
	Carry(frame []byte) // must be copied if it is kept
	Close()             // the connection has ended here
}

// NewCarried makes a connection without a socket, goroutines or timers: frames go to the carrier, Deliver takes those of the other end, and Fail
// ends it for a cause, as silence.
func NewCarried(options Options, carrier Carrier) *Conn {
	c := newConn(nil, options.withDefaults())
	c.carrier = carrier
	return c
}

// Deliver takes one whole frame from a Carrier.
func (c *Conn) Deliver(frame []byte) {
	if len(frame) < headerSize || c.Err() != nil {
		return
	}
	method, call := wire.Method(binary.BigEndian.Uint16(frame[5:])), binary.BigEndian.Uint32(frame[7:])
	c.handle(frameKind(frame[4]), method, call, frame[headerSize:])
}

// Fail ends the connection for a cause.
func (c *Conn) Fail(err error) { c.fail(err) }
