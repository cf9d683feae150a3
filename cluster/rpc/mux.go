package rpc

import (
	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/wire"
)

// Handler handles a request or notice of a peer. It runs on the goroutine that reads the connection, so it must not
// block. The payload is valid only until it returns.
type Handler func(c *Conn, payload []byte, reply Reply)

// Mux maps methods to handlers. All handlers must be registered before connections use it.
type Mux struct{ handlers map[wire.Method]Handler }

// NewMux returns an empty Mux.
func NewMux() *Mux { return &Mux{handlers: make(map[wire.Method]Handler)} }

// Handle registers the handler of a method.
func (m *Mux) Handle(method wire.Method, handler Handler) { m.handlers[method] = handler }

// Handle registers a handler that receives the decoded message, which it may keep. A message that can't be decoded is
// answered with an error.
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

// Reply answers one request. It may be kept and used once, from any goroutine. For notices it does nothing.
type Reply struct {
	conn     *Conn
	method   wire.Method
	call     uint32
	expected bool
}

// Send answers with a message.
func (r Reply) Send(message msgp.Marshaler) {
	if r.expected {
		_ = r.conn.enqueue(frameReply, r.method, r.call, message)
	}
}

// Fail answers with an error.
func (r Reply) Fail(err error) {
	if r.expected {
		_ = r.conn.enqueue(frameError, r.method, r.call, rawText(err.Error()))
	}
}

type rawText string

// MarshalMsg implements msgp.Marshaler. It appends the text without msgpack encoding.
func (t rawText) MarshalMsg(b []byte) ([]byte, error) { return append(b, t...), nil }
