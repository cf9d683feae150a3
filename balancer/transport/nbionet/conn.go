package nbionet

import (
	"sync/atomic"
	"syscall"

	"github.com/lesismal/nbio"

	"ravendale/balancer/transport"
)

// hold has nbio's connection know ours. The lock orders that before the poller's first read: epoll's own order is one that
// the race detector does not see.
func hold(c *nbio.Conn, session any) {
	c.Lock()
	c.SetSession(session)
	c.Unlock()
}

// conn is a connection as the owner sees it. Only what is atomic is shared with nbio's goroutines.
type conn struct {
	e         *Engine
	nb        *nbio.Conn
	handler   transport.Handler
	open      bool
	closed    bool // closed by either side
	queued    atomic.Int64
	written   atomic.Int64
	finishing atomic.Bool
	ignoring  atomic.Bool
	ignored   int   // bytes thrown away; the poller's own
	gate      *Gate // nil if it was dialled
	freed     atomic.Bool
	cancel    func() // ends a dial
}

func (n *conn) connected(c *nbio.Conn, err error) {
	switch {
	case n.closed && c != nil:
		n.nb = c
		n.leave() // given up while it was being made
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
		n.gate.left()
	}
}

func (n *conn) Write(b []byte) {
	if n.closed || !n.open {
		return
	}
	n.queued.Add(int64(len(b)))
	if n.Unwritten() == len(b) { // nbio has nothing of it to write first
		took, err := n.writeNow(b)
		if n.written.Add(int64(took)); err != nil {
			n.leave() // which is reported
			return
		}
		b = b[took:]
	}
	if len(b) > 0 {
		_, _ = n.nb.Write(b) // an error closes the connection, and that is reported
	}
}

// writeNow writes what the system takes at once. nbio's Write would close a connection upon an error where it stands: see leave.
func (n *conn) writeNow(b []byte) (took int, err error) {
	n.nb.Lock()
	defer n.nb.Unlock()
	if closed, _ := n.nb.IsClosed(); closed {
		return 0, nil
	}
	took, err = syscall.Write(n.nb.Hash(), b)
	if err == syscall.EAGAIN || err == syscall.EINTR {
		err = nil
	}
	return max(took, 0), err
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

// shutdown ends directions of the socket. nbio's lock keeps the descriptor from being closed, and used
// again, meanwhile.
func (n *conn) shutdown(how int) {
	n.nb.Lock()
	if closed, _ := n.nb.IsClosed(); !closed {
		_ = syscall.Shutdown(n.nb.Hash(), how)
	}
	n.nb.Unlock()
}

// leave ends the connection, at once for the other side too, and has the poller close the descriptor when it hears of that.
// Closed by anybody else the number may be another connection's before the poller comes to what epoll had told it of this one:
// nbio (v1.6.8, poller_epoll.go:256) looks up by number whom an event is for, and would end the newcomer. A close that met the
// poller's epoll_wait was no end either: the system (seen on Linux 6.18) released the socket only when that call returned.
func (n *conn) leave() {
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
			n.leave()
		}
	}
}
