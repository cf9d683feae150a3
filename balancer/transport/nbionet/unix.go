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

// local is a connection on a Unix socket, by the standard library and two goroutines. nbio v1.6.8 throws away what the
// system does not take of a write at once to such a socket (conn_unix.go:719 keeps the rest for TCP alone): a state of more
// than the socket's buffer reached the process that took over cut short, which then began without it.
type local struct {
	std  net.Conn
	loop Turns
	gate *Gate

	handler transport.Handler // the owner's, like gone
	closed  bool

	given []int // descriptors that came, the owner's

	mu      sync.Mutex
	more    sync.Cond
	queue   []parcel
	queued  int
	closing bool
}

// parcel is what is written, with a descriptor or without (0).
type parcel struct {
	b  []byte
	fd int
}

// serveLocal takes a connection over; begin is called in the first turn, and returns its handler.
func (e *Engine) serveLocal(l *local, std net.Conn, begin func() transport.Handler) {
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

func newLocal(loop Turns, g *Gate) *local {
	l := &local{loop: loop, gate: g}
	l.more.L = &l.mu
	return l
}

func (l *local) read() {
	buf, rights := make([]byte, readBuffer), make([]byte, syscall.CmsgSpace(4*mostRights))
	unix := l.std.(*net.UnixConn)
	for {
		n, m, _, _, err := unix.ReadMsgUnix(buf, rights)
		if n == 0 && err == nil {
			err = io.EOF
		}
		given := descriptors(rights[:m])
		if n > 0 && l.loop.Begin() {
			if !l.closed {
				l.given, given = append(l.given, given...), nil
				l.handler.Data(buf[:n])
			}
			l.loop.End()
		}
		closeAll(given)
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

func (l *local) write() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		for len(l.queue) == 0 && !l.closing {
			l.more.Wait()
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
			return // the reader tells
		}
	}
}

// send writes parcels, and closes their descriptors, whatever comes of it.
func send(to *net.UnixConn, all []parcel) (written int, err error) {
	for _, p := range all {
		if err != nil {
			p.close()
			continue
		}
		b := p.b
		if p.fd > 0 { // the descriptor goes with the first byte
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

func (p *parcel) close() {
	if p.fd > 0 {
		_ = syscall.Close(p.fd)
	}
}

// mostRights is how many descriptors one read brings at most. The system ends a read after those of one write.
const mostRights = 4

// descriptors reads those that came with a read.
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
func (l *local) SendConn(b []byte, c transport.Conn) transport.Given {
	n, ok := c.(*conn)
	if !ok || l.closed {
		return nil
	}
	fd, err := n.detach()
	if err != nil {
		return nil
	}
	kept, err := syscall.Dup(fd)
	if err != nil {
		kept = -1 // it can't be taken back then
	}
	syscall.CloseOnExec(kept)
	l.enqueue(parcel{append([]byte(nil), b...), fd})
	return given(kept)
}

// Given implements transport.ConnSender.
func (l *local) Given() transport.Given {
	if len(l.given) == 0 {
		return nil
	}
	g := given(l.given[0])
	l.given = l.given[1:]
	return g
}

// given is the descriptor of a connection that goes from one process to another.
type given int

func (g given) Drop() { _ = syscall.Close(int(g)) }

// Adopt serves a connection that came from another process; accept is called at once. Its caller has the turn of the
// engine's loop. A gate, if there is one, counts it as its own.
func (e *Engine) Adopt(g transport.Given, gate *Gate, accept func(transport.Conn) transport.Handler) error {
	fd, ok := g.(given)
	if !ok || fd < 0 {
		return errNotGiven
	}
	f := os.NewFile(uintptr(fd), "given")
	std, err := net.FileConn(f) // a copy
	_ = f.Close()
	if err != nil {
		return fmt.Errorf("a connection that was given: %w", err)
	}
	c, err := nbio.NBConn(std)
	if err != nil {
		_ = std.Close()
		return fmt.Errorf("a connection that was given: %w", err)
	}
	n := &conn{e: e, nb: c, open: true, gate: gate}
	if hold(c, n); gate != nil {
		gate.admit()
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

var errNotGiven = errors.New("that connection came from nowhere")

// detach takes a connection out of this process, without its other side seeing it: what is returned is a descriptor of it
// that nobody serves. nbio (v1.6.8, poller_epoll.go:138) leaves it to the system to take a closed descriptor out of epoll,
// which it does only once no process has the connection: until then events of it would reach whoever gets the number
// next, and end an innocent connection. So it is taken out first, by the poller's own descriptor, which nbio does not show.
func (n *conn) detach() (int, error) {
	if n.closed || !n.open || n.Unwritten() > 0 {
		return 0, errIncomplete
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
		if n.e.Echo(closeIt) != nil { // the poller may have an event of it still: see leave
			closeIt()
		}
	}
	return fd, err
}

// copyOut returns a copy of a descriptor, which it takes out of epoll.
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
	errIncomplete = errors.New("something is still to be written")
	errNoPoller   = errors.New("nbio's poller is not known")
)

// maxQueued is how many bytes may wait for the other process. One that does not read is as good as gone.
const maxQueued = 16 << 20

var errBehind = errors.New("the other process does not read")

func (l *local) Write(b []byte) {
	if l.closed {
		return
	}
	l.enqueue(parcel{b: append([]byte(nil), b...)})
}

func (l *local) enqueue(p parcel) {
	l.mu.Lock()
	l.queue = append(l.queue, p)
	l.queued += len(p.b)
	behind := l.queued > maxQueued
	l.mu.Unlock()
	l.more.Signal()
	if behind {
		l.release()
		l.loop.Post(func() { l.handler.Closed(errBehind) })
	}
}

func (l *local) Unwritten() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queued
}

func (l *local) Ignore()      {}
func (l *local) Peer() string { return "" }
func (l *local) Finish()      {}

// Close ends the connection; the handler hears no more.
func (l *local) Close() {
	if !l.closed {
		l.release()
	}
}

// release gives back what it holds, in the owner's turn.
func (l *local) release() {
	l.closed = true
	closeAll(l.given)
	l.given = nil
	l.mu.Lock()
	l.closing = true
	for _, p := range l.queue {
		p.close()
	}
	l.queue = nil
	l.mu.Unlock()
	l.more.Signal()
	if l.std != nil {
		_ = l.std.Close()
	}
	if l.gate != nil {
		l.gate.left()
		l.gate = nil
	}
}
