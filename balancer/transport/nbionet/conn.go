package nbionet

import (
	"sync/atomic"
	"syscall"

	"github.com/lesismal/nbio"

	"ravendale/balancer/transport"
)

// attachSession attaches a session, usually a *conn, to nbio's connection. The lock makes this happen before the
// poller's first read in a way that the race detector sees; it does not see the ordering by epoll.
func attachSession(c *nbio.Conn, session any) {
	c.Lock()
	c.SetSession(session)
	c.Unlock()
}

// conn is a TCP connection. Only its atomic fields are shared between the owner and nbio's goroutines.
type conn struct {
	engine    *Engine
	nb        *nbio.Conn
	handler   transport.Handler
	open      bool
	closed    bool // closed by either side
	queued    atomic.Int64
	written   atomic.Int64
	finishing atomic.Bool
	ignoring  atomic.Bool
	ignored   int   // bytes discarded; accessed only by the poller
	gate      *Gate // nil if it was dialled
	freed     atomic.Bool
	cancel    func() // cancels the dial
}

func (n *conn) connected(c *nbio.Conn, err error) {
	switch {
	case n.closed && c != nil:
		n.nb = c
		n.disconnect() // closed by the owner during the dial
		return
	case err != nil:
		n.onClosed(err)
		return
	case n.closed:
		return
	}
	n.nb, n.open = c, true
	n.handler.Connected()
}

func (n *conn) data(b []byte) {
	if !n.closed {
		n.handler.Data(b)
	}
}

func (n *conn) onClosed(err error) {
	if n.closed {
		return
	}
	n.closed = true
	if n.handler != nil {
		n.handler.Closed(err)
	}
}

func (n *conn) release() {
	if n.gate != nil && n.freed.CompareAndSwap(false, true) {
		n.gate.release()
	}
}

func (n *conn) Write(b []byte) {
	if n.closed || !n.open {
		return
	}
	n.queued.Add(int64(len(b)))
	if n.Unwritten() == len(b) { // nbio has no earlier data to write
		accepted, err := n.writeNow(b)
		if n.written.Add(int64(accepted)); err != nil {
			n.disconnect() // the poller then reports the connection closed
			return
		}
		b = b[accepted:]
	}
	if len(b) > 0 {
		_, _ = n.nb.Write(b) // on an error nbio closes the connection and reports that
	}
}

// writeNow writes as much as the system accepts at once. It does not use nbio's Write, which on an error would close the
// connection on the calling goroutine: see disconnect.
func (n *conn) writeNow(b []byte) (written int, err error) {
	n.nb.Lock()
	defer n.nb.Unlock()
	if closed, _ := n.nb.IsClosed(); closed {
		return 0, nil
	}
	written, err = syscall.Write(n.nb.Hash(), b)
	if err == syscall.EAGAIN || err == syscall.EINTR {
		err = nil
	}
	return max(written, 0), err
}

func (n *conn) Unwritten() int { return int(n.queued.Load() - n.written.Load()) }

// Peer implements transport.Conn.
func (n *conn) Peer() string {
	if n.nb == nil || n.nb.RemoteAddr() == nil {
		return ""
	}
	return n.nb.RemoteAddr().String()
}

func (n *conn) Ignore() { n.ignoring.Store(true) }

func (n *conn) Finish() {
	n.Ignore()
	n.finishing.Store(true)
	if n.open && !n.closed && n.Unwritten() == 0 {
		n.shutdown(syscall.SHUT_WR)
	}
}

// shutdown shuts down one or both directions of the socket. nbio's lock keeps the descriptor from being closed and reused
// meanwhile.
func (n *conn) shutdown(how int) {
	n.nb.Lock()
	if closed, _ := n.nb.IsClosed(); !closed {
		_ = syscall.Shutdown(n.nb.Hash(), how)
	}
	n.nb.Unlock()
}

// disconnect shuts down the connection, which the other end sees at once; the poller closes the descriptor when epoll
// reports the shutdown. If another goroutine closed the descriptor, its number could be reused before the poller
// handles an event already fetched for this connection: nbio (v1.6.8, poller_epoll.go:256) finds the connection of an
// event by descriptor number, and would close the new one. Also, a close during the poller's epoll_wait did not end the
// connection at once: the system (seen on Linux 6.18) released the socket only when that call returned.
func (n *conn) disconnect() {
	n.Ignore()
	n.shutdown(syscall.SHUT_RDWR)
}

// Close implements transport.Conn.
func (n *conn) Close() {
	if !n.closed {
		n.closed = true
		if n.cancel != nil {
			n.cancel()
		}
		if n.open {
			n.disconnect()
		}
	}
}
