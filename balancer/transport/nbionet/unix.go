package nbionet

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"reflect"
	"sync"
	"syscall"

	"github.com/lesismal/nbio"

	"ravendale/balancer/transport"
)

// unixConn is a connection on a Unix socket. It uses the standard library and two goroutines, because nbio v1.6.8 loses
// the part of a write that the system does not accept at once on such a socket (conn_unix.go:719 keeps it only for
// TCP). With nbio, a handover state larger than the socket's buffer arrived truncated, and the new process started
// without it.
type unixConn struct {
	std  net.Conn
	loop Turns
	gate *Gate

	handler transport.Handler // accessed only in the owner's turns, as closed is
	closed  bool

	receivedFDs []int // received descriptors; accessed only in the owner's turns

	mu       sync.Mutex
	nonEmpty sync.Cond
	queue    []queuedWrite
	queued   int
	closing  bool
}

// queuedWrite is a queued write, with a descriptor to pass or without one (0).
type queuedWrite struct {
	b  []byte
	fd int
}

// serveUnix starts serving a connection. It calls begin, which returns the handler, in a turn of the owner.
func (e *Engine) serveUnix(l *unixConn, std net.Conn, begin func() transport.Handler) {
	e.loop.Post(func() {
		if l.std = std; l.closed {
			l.release()
			return
		}
		if l.handler = begin(); l.closed {
			return
		}
		go l.write()
		go l.read()
	})
}

func newUnixConn(loop Turns, g *Gate) *unixConn {
	l := &unixConn{loop: loop, gate: g}
	l.nonEmpty.L = &l.mu
	return l
}

func (l *unixConn) read() {
	buf, rights := make([]byte, readBuffer), make([]byte, syscall.CmsgSpace(4*maxDescriptors))
	unix := l.std.(*net.UnixConn)
	for {
		n, m, _, _, err := unix.ReadMsgUnix(buf, rights)
		if n == 0 && err == nil {
			err = io.EOF
		}
		fds := descriptors(rights[:m])
		if n > 0 && l.loop.Begin() {
			if !l.closed {
				l.receivedFDs, fds = append(l.receivedFDs, fds...), nil
				l.handler.Data(buf[:n])
			}
			l.loop.End()
		}
		closeAll(fds)
		if err != nil {
			l.loop.Post(func() {
				if !l.closed {
					l.release()
					l.handler.Closed(err)
				}
			})
			return
		}
	}
}

func (l *unixConn) write() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		for len(l.queue) == 0 && !l.closing {
			l.nonEmpty.Wait()
		}
		if l.closing {
			return
		}
		all := l.queue
		l.queue = nil
		l.mu.Unlock()
		n, err := send(l.std.(*net.UnixConn), all)
		l.mu.Lock()
		l.queued -= n
		if err != nil {
			return // the reader reports it
		}
	}
}

// send writes parcels. It closes their descriptors even if a write fails.
func send(to *net.UnixConn, all []queuedWrite) (written int, err error) {
	for _, p := range all {
		if err != nil {
			p.close()
			continue
		}
		b := p.b
		if p.fd > 0 { // the descriptor is sent with the first byte
			var n int
			n, _, err = to.WriteMsgUnix(b, syscall.UnixRights(p.fd), nil)
			b, written = b[n:], written+n
			p.close()
		}
		if err == nil && len(b) > 0 {
			var n int
			n, err = to.Write(b)
			written += n
		}
	}
	return written, err
}

func (p *queuedWrite) close() {
	if p.fd > 0 {
		_ = syscall.Close(p.fd)
	}
}

// maxDescriptors is the maximum number of descriptors received by one read. The system ends a read after the
// descriptors of one write.
const maxDescriptors = 4

// descriptors returns the descriptors received with a read, from its control messages.
func descriptors(rights []byte) (all []int) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil {
		return nil
	}
	for i := range messages {
		fds, _ := syscall.ParseUnixRights(&messages[i])
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
		}
		all = append(all, fds...)
	}
	return all
}

func closeAll(fds []int) {
	for _, fd := range fds {
		_ = syscall.Close(fd)
	}
}

// SendConn implements transport.ConnSender.
func (l *unixConn) SendConn(b []byte, c transport.Conn) transport.PassedConn {
	n, ok := c.(*conn)
	if !ok || l.closed {
		return nil
	}
	fd, err := n.detach()
	if err != nil {
		return nil
	}
	duplicate, err := syscall.Dup(fd)
	if err != nil {
		duplicate = -1 // the connection can't be adopted again then
	}
	syscall.CloseOnExec(duplicate)
	l.enqueue(queuedWrite{append([]byte(nil), b...), fd})
	return passedConn(duplicate)
}

// ReceivedConn implements transport.ConnSender.
func (l *unixConn) ReceivedConn() transport.PassedConn {
	if len(l.receivedFDs) == 0 {
		return nil
	}
	g := passedConn(l.receivedFDs[0])
	l.receivedFDs = l.receivedFDs[1:]
	return g
}

// passedConn is the descriptor of a connection that is passed between processes.
type passedConn int

func (g passedConn) Drop() { _ = syscall.Close(int(g)) }

// Adopt serves a connection passed by another process. It calls accept before it returns, and must be called in a turn
// of the engine's loop. If gate is not nil, the connection counts towards the gate's limit.
func (e *Engine) Adopt(g transport.PassedConn, gate *Gate, accept func(transport.Conn) transport.Handler) error {
	fd, ok := g.(passedConn)
	if !ok || fd < 0 {
		return errNoDescriptor
	}
	f := os.NewFile(uintptr(fd), "given")
	std, err := net.FileConn(f) // duplicates the descriptor
	_ = f.Close()
	if err != nil {
		return fmt.Errorf("a connection that was given: %w", err)
	}
	c, err := nbio.NBConn(std)
	if err != nil {
		_ = std.Close()
		return fmt.Errorf("a connection that was given: %w", err)
	}
	n := &conn{engine: e, nb: c, open: true, gate: gate}
	if attachSession(c, n); gate != nil {
		gate.add()
	}
	if err := e.add(c); err != nil {
		n.closed = true
		n.release()
		return fmt.Errorf("a connection that was given: %w", err)
	}
	if n.handler = accept(n); n.closed {
		n.handler.Closed(net.ErrClosed)
	}
	return nil
}

var errNoDescriptor = errors.New("the connection to adopt has no descriptor")

// detach stops serving a connection without closing it, and returns a copy of its descriptor. nbio (v1.6.8,
// poller_epoll.go:138) relies on the system to remove a closed descriptor from epoll, but the system does that only once no
// process has the connection open. Until then, events of the connection would be attributed to the next connection with the
// same descriptor number and could close it. So detach first removes the descriptor from epoll, using the poller's epoll
// descriptor, which nbio does not export.
func (n *conn) detach() (int, error) {
	if n.closed || !n.open || n.Unwritten() > 0 {
		return 0, errNotTransferable
	}
	poller := reflect.ValueOf(n.nb).Elem().FieldByName("p")
	if !poller.IsValid() || poller.Kind() != reflect.Pointer || poller.IsNil() {
		return 0, errNoPoller
	}
	epoll := poller.Elem().FieldByName("epfd")
	if !epoll.IsValid() || !epoll.CanInt() {
		return 0, errNoPoller
	}
	n.nb.Lock()
	closed, _ := n.nb.IsClosed()
	fd, err := 0, net.ErrClosed
	if !closed {
		fd, err = copyOut(n.nb.Hash(), int(epoll.Int()))
	}
	n.nb.Unlock()
	if err == nil {
		n.closed = true
		closeIt := func() { _ = n.nb.Close() }
		if n.engine.Echo(closeIt) != nil { // the poller may still hold an event of this connection: see disconnect
			closeIt()
		}
	}
	return fd, err
}

// copyOut returns a copy of a descriptor and removes the original from epoll.
func copyOut(fd, epoll int) (int, error) {
	other, err := syscall.Dup(fd)
	if err != nil {
		return 0, err
	}
	syscall.CloseOnExec(other)
	if err := syscall.EpollCtl(epoll, syscall.EPOLL_CTL_DEL, fd, nil); err != nil {
		_ = syscall.Close(other)
		return 0, err
	}
	return other, nil
}

var (
	errNotTransferable = errors.New("the connection is not open, or has unwritten data")
	errNoPoller        = errors.New("cannot access nbio's epoll descriptor")
)

// maxQueued is the maximum number of bytes queued for the other process. Beyond it, the connection is closed: that
// process has stopped reading.
const maxQueued = 16 << 20

var errQueueFull = errors.New("write queue is full: the other process does not read")

func (l *unixConn) Write(b []byte) {
	if l.closed {
		return
	}
	l.enqueue(queuedWrite{b: append([]byte(nil), b...)})
}

func (l *unixConn) enqueue(p queuedWrite) {
	l.mu.Lock()
	l.queue = append(l.queue, p)
	l.queued += len(p.b)
	queueFull := l.queued > maxQueued
	l.mu.Unlock()
	l.nonEmpty.Signal()
	if queueFull {
		l.release()
		l.loop.Post(func() { l.handler.Closed(errQueueFull) })
	}
}

func (l *unixConn) Unwritten() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queued
}

func (l *unixConn) Ignore()      {}
func (l *unixConn) Peer() string { return "" }
func (l *unixConn) Finish()      {}

// Close closes the connection; the handler is not called any more.
func (l *unixConn) Close() {
	if !l.closed {
		l.release()
	}
}

// release closes the socket and all descriptors, and leaves the gate. It is called in a turn of the owner.
func (l *unixConn) release() {
	l.closed = true
	closeAll(l.receivedFDs)
	l.receivedFDs = nil
	l.mu.Lock()
	l.closing = true
	for _, p := range l.queue {
		p.close()
	}
	l.queue = nil
	l.mu.Unlock()
	l.nonEmpty.Signal()
	if l.std != nil {
		_ = l.std.Close()
	}
	if l.gate != nil {
		l.gate.release()
		l.gate = nil
	}
}
