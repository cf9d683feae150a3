package frontend

import (
	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
)

// Transferable returns the connection of a request in progress for another process to answer on, and whether the answer closes
// it. It returns false where this side has more to do with it: bytes of another request have come, or the answer to an earlier
// one is still being written.
func (f *Frontend) Transferable(ex *scheduler.Exchange) (net transport.Conn, closes, ok bool) {
	c, ours := ex.Holder.(*conn)
	if !ours || c.current != ex || c.closing || c.flooded || c.in.Buffered() > 0 || c.net.Unwritten() > 0 {
		return nil, false, false
	}
	return c.net, c.closes, true
}

// Release forgets the connection of a request that another process answers.
func (f *Frontend) Release(ex *scheduler.Exchange) {
	c := ex.Holder.(*conn)
	c.hold(nil)
	c.forget()
}

// Adopt takes a connection on which a request waits that another process read.
func (f *Frontend) Adopt(net transport.Conn, ex *scheduler.Exchange, closes bool) transport.Handler {
	c := &conn{f: f, net: net, since: f.o.Loop.Now(), proven: true, closes: closes}
	f.conns[c] = struct{}{}
	f.o.Limits.open.Add(1)
	f.open.Add(1)
	c.serveBy(ex)
	return c
}
