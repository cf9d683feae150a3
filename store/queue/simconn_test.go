package queue

import (
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/wire"
)

// simConn is a simulated connection with two ends.
type simConn struct {
	sim    *sim
	names  [2]string
	open   bool
	lastAt [2]time.Duration
	ends   [2]*simEnd
	closed [2]func()
}

type simEnd struct {
	conn   *simConn
	side   int
	handle func(method wire.Method, payload []byte, reply *simReply)
	// handlers of the replies to requests, by request number
	calls map[int]func(payload []byte)
	next  int
}

func (s *sim) connect(from, to string) *simConn {
	c := &simConn{sim: s, names: [2]string{from, to}, open: true}
	c.ends = [2]*simEnd{{conn: c, side: 0, calls: map[int]func([]byte){}}, {conn: c, side: 1, calls: map[int]func([]byte){}}}
	return c
}

func (e *simEnd) other() *simEnd { return e.conn.ends[1-e.side] }

// deliver runs f at the other end, in order, unless the link is partitioned.
func (e *simEnd) deliver(f func()) {
	c, s := e.conn, e.conn.sim
	at := max(c.lastAt[e.side], s.now+s.between(100*time.Microsecond, 2*ms))
	c.lastAt[e.side] = at
	s.after(at-s.now, func() {
		if !c.open {
			return
		}
		if s.partitioned[[2]string{c.names[e.side], c.names[1-e.side]}] {
			s.after(1200*ms, c.close) // a lost packet breaks the connection
			c.lastAt[e.side] = 1 << 62
			return
		}
		f()
	})
}

func (c *simConn) close() {
	if !c.open {
		return
	}
	c.open = false
	for _, closed := range c.closed {
		if closed != nil {
			closed()
		}
	}
}

func (e *simEnd) Notify(method wire.Method, message msgp.Marshaler) error {
	payload, err := message.MarshalMsg(nil)
	require.NoError(e.conn.sim.t, err)
	if grant, ok := message.(*wire.Grant); ok && e.conn.sim.messages[grant.ID].doneAcked {
		e.conn.sim.fail("message %s is granted after its outcome was acknowledged", grant.ID)
	}
	e.deliver(func() { e.other().handle(method, payload, &simReply{}) })
	return nil
}

func (e *simEnd) request(method wire.Method, message msgp.Marshaler, done func(payload []byte)) {
	payload, err := message.MarshalMsg(nil)
	require.NoError(e.conn.sim.t, err)
	e.next++
	call := e.next
	e.calls[call] = done
	e.deliver(func() { e.other().handle(method, payload, &simReply{end: e.other(), call: call}) })
}

type simReply struct {
	end  *simEnd
	call int
}

func (r *simReply) Send(message msgp.Marshaler) {
	if r.end == nil {
		return
	}
	payload, _ := message.MarshalMsg(nil)
	r.end.deliver(func() {
		if done := r.end.other().calls[r.call]; done != nil {
			delete(r.end.other().calls, r.call)
			done(payload)
		}
	})
}

func (r *simReply) Fail(err error) { r.end.conn.sim.fail("request failed: %v", err) }

func decode[T any, P interface {
	*T
	msgp.Unmarshaler
}](payload []byte) *T {
	m := new(T)
	if _, err := P(m).UnmarshalMsg(payload); err != nil {
		panic(err)
	}
	return m
}
