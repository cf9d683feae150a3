package frontend

import (
	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
)

// Transferable returns the connection of a request in progress, for another process to answer on, and whether the answer closes
// it. It returns false if this process still needs the connection: bytes of another request have arrived, or the response to an
// earlier one is still being written.
func (f *Frontend) Transferable(ex *scheduler.Exchange) (net transport.Conn, closes, ok bool) {
	c, ours := ex.Holder.(*conn)
	if !ours || c.current != ex || c.closing || c.flooded || c.in.Buffered() > 0 || c.net.Unwritten() > 0 {
		return nil, false, false
	}
	return c.net, c.closes, true
}

// Release removes the connection of a request that another process will answer.
func (f *Frontend) Release(ex *scheduler.Exchange) {
	c := ex.Holder.(*conn)
	c.hold(nil)
	c.forget()
}

// Adopt takes over a connection with a request in progress that another process has read.
func (f *Frontend) Adopt(net transport.Conn, ex *scheduler.Exchange, closes bool) transport.Handler {
	c := &conn{f: f, net: net, since: f.o.Loop.Now(), hasValidRequest: true, closes: closes}
	f.conns[c] = struct{}{}
	f.o.Limits.open.Add(1)
	f.open.Add(1)
	c.serveBy(ex)
	return c
}
