package rpc

import (
	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/wire"
)

// Handler takes what a peer sent, on the goroutine that reads the connection: it must not wait for anything, and the payload
// is its only until it returns.
type Handler func(c *Conn, payload []byte, reply Reply)

// Mux says who handles which method. It is filled before it serves.
type Mux struct{ handlers map[wire.Method]Handler }

// NewMux returns an empty Mux.
func NewMux() *Mux { return &Mux{handlers: make(map[wire.Method]Handler)} }

// Handle names the handler of a method.
func (m *Mux) Handle(method wire.Method, handler Handler) { m.handlers[method] = handler }

// Handle names a handler that gets the decoded message, which is its own to keep. What can't be decoded is answered with an
// error.
func Handle[T any, P interface {
	*T
	msgp.Unmarshaler
}](m *Mux, method wire.Method, handler func(c *Conn, message *T, reply Reply)) {
	m.Handle(method, func(c *Conn, payload []byte, reply Reply) {
		message := new(T)
		if _, err := P(message).UnmarshalMsg(payload); err != nil {
			reply.Fail(err)
			return
		}
		handler(c, message, reply)
	})
}

// Reply answers one request. It may be kept, and used by any goroutine, once. For notifications it does nothing.
type Reply struct {
	conn     *Conn
	method   wire.Method
	call     uint32
	expected bool
}

// Send answers with a message.
func (r Reply) Send(message msgp.Marshaler) {
	if r.expected {
		_ = r.conn.queue(frameReply, r.method, r.call, message)
	}
}

// Fail answers with an error.
func (r Reply) Fail(err error) {
	if r.expected {
		_ = r.conn.queue(frameError, r.method, r.call, rawText(err.Error()))
	}
}

type rawText string

// MarshalMsg implements msgp.Marshaler: the text stands in the frame as it is.
func (t rawText) MarshalMsg(b []byte) ([]byte, error) { return append(b, t...), nil }
