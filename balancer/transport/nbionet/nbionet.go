// Package nbionet serves package transport on the core engine of lesismal/nbio. What its poller reads it hands to the
// owner in a turn of its own (Turns.Begin); everything else is posted.
package nbionet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"ravendale/balancer/transport"
)

const (
	readBuffer  = 32 << 10
	closeWithin = 200 * time.Millisecond

	// readsATurn is how many buffers one connection is read before the others have their turn: a whole message at
	// least, for nbio drops what is unread when the other side has ended the connection after it.
	readsATurn = 4
	// maxIgnored is how much of what is thrown away is read, for the other side to see an answer before the end.
	maxIgnored = 1 << 20

	longestPath = 107 // of a Unix socket
)

// Turns is the owner of all state. Post takes work for it; between Begin, if that is true, and End the caller has the turn.
type Turns interface {
	Post(func())
	Begin() bool
	End()
}

// Engine owns the listeners and all connections.
type Engine struct {
	nb      *nbio.Engine
	loop    Turns
	timeout time.Duration
	started bool
	echo    *echo // nil until it is wanted
	gates   []*Gate

	dials    context.Context // of all dials
	endDials func()

	mu     sync.RWMutex // read-locked while a connection is handed to nb
	closed bool
}

// Options say how an Engine is to run.
type Options struct {
	Loop           Turns
	ConnectTimeout time.Duration
	Log            *slog.Logger
}

var setLogger sync.Once

// New returns an engine that is not started yet.
func New(o Options) *Engine {
	e := &Engine{loop: o.Loop, timeout: o.ConnectTimeout}
	e.dials, e.endDials = context.WithCancel(context.Background())
	// nbio has one logger for the whole process, which its pollers read as it stands: the first engine's.
	if o.Log != nil {
		setLogger.Do(func() { logging.SetLogger(nbioLog{o.Log}) })
	}
	e.nb = nbio.NewEngine(nbio.Config{Name: "ravendale", Network: "tcp", NPoller: 1,
		ReadBufferSize: readBuffer, MaxConnReadTimesPerEventLoop: readsATurn})
	// nbio leaves its buffer cut to the length of the last read: hand it out whole each time.
	full := make([]byte, readBuffer)
	buf := full
	e.nb.OnReadBufferAlloc(func(*nbio.Conn) *[]byte {
		buf = full
		return &buf
	})
	e.nb.OnData(func(c *nbio.Conn, data []byte) {
		switch session := c.Session().(type) {
		case *conn:
			e.took(c, session, data)
		case running:
			close(session)
		}
	})
	e.nb.OnWrittenSize(func(c *nbio.Conn, _ []byte, written int) {
		if n, ok := c.Session().(*conn); ok {
			if n.written.Add(int64(written)); n.finishing.Load() && n.Unwritten() == 0 {
				_ = syscall.Shutdown(c.Hash(), syscall.SHUT_WR) // nbio holds its lock here
			}
		}
	})
	e.nb.OnClose(func(c *nbio.Conn, err error) {
		if n, ok := c.Session().(*conn); ok {
			n.release()
			e.loop.Post(func() { n.onClosed(err) })
		}
	})
	return e
}

// took hands over what was read, in a turn of the poller's own. While another turn lasts nothing more is read, so that senders
// wait, and not in this process's memory.
func (e *Engine) took(c *nbio.Conn, n *conn, data []byte) {
	if n.ignoring.Load() {
		if n.ignored += len(data); n.ignored > maxIgnored {
			_ = c.Close()
		}
		return
	}
	if e.loop.Begin() {
		n.data(data)
		e.loop.End()
	}
}

// echo is a connection of an engine to itself.
type echo struct {
	fd      int // the far end
	pending []func()
}

// Echo has f called in a turn once all that had arrived by now, on any connection of this engine, has been handed over (up
// to readsATurn buffers of each). Its caller has the turn. It is a byte that goes through the poller twice: what was
// there before the first pass is brought in the same round as that at the latest, and the second is of a later round.
func (e *Engine) Echo(f func()) error {
	if e.echo == nil {
		near, far, err := pair()
		if err != nil {
			return fmt.Errorf("echo: %w", err)
		}
		e.echo = &echo{fd: far}
		hold(near, &conn{nb: near, open: true, handler: e.echo})
		if err := e.add(near); err != nil {
			return fmt.Errorf("echo: %w", err)
		}
	}
	e.echo.send(func() { e.echo.send(f) })
	return nil
}

// pair returns the two ends of a connection: one for the poller, and the descriptor of the other.
func pair() (near *nbio.Conn, far int, err error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, 0, err
	}
	file := os.NewFile(uintptr(fds[0]), "pair")
	defer func() { _ = file.Close() }()
	std, err := net.FileConn(file)
	if err == nil {
		near, err = nbio.NBConn(std)
	}
	if err != nil {
		_ = syscall.Close(fds[1])
		return nil, 0, err
	}
	return near, fds[1], nil
}

// send writes a byte. One that finds no room is not sent: so many are on their way already, and its f is lost with it.
func (c *echo) send(f func()) {
	if _, err := syscall.Write(c.fd, []byte{0}); err == nil {
		c.pending = append(c.pending, f)
	}
}

func (c *echo) Connected() {}

func (c *echo) Data(b []byte) {
	due := c.pending[:len(b)]
	c.pending = c.pending[len(b):]
	for _, f := range due {
		f()
	}
}

func (c *echo) Closed(error) {}

// Start begins to serve what is accepted and dialled.
func (e *Engine) Start() error {
	if err := e.nb.Start(); err != nil {
		return fmt.Errorf("poller: %w", err)
	}
	e.started = true
	if err := e.awaitPoller(); err != nil {
		return fmt.Errorf("poller: %w", err)
	}
	return nil
}

// running is closed once the poller reads. It is the session of a connection that is there for that alone.
type running chan struct{}

// awaitPoller waits until the poller runs. nbio (v1.6.8) clears the mark of a stop as its loop begins, and never ends if it is
// stopped before.
func (e *Engine) awaitPoller() error {
	near, far, err := pair()
	if err != nil {
		return err
	}
	reads := make(running)
	hold(near, reads)
	if err := e.add(near); err != nil {
		_ = syscall.Close(far)
		return err
	}
	_, err = syscall.Write(far, []byte{0})
	if err == nil {
		<-reads
	}
	_ = syscall.Close(far) // the poller closes its end
	return err
}

// add hands a connection to nbio, or closes it where the engine closes. nbio (v1.6.8) counts connections in a sync.WaitGroup, and
// one that is added while Shutdown waits for the last is a data race, and may panic: 'WaitGroup is reused'.
func (e *Engine) add(c *nbio.Conn) error {
	e.mu.RLock()
	defer e.mu.RUnlock()
	if e.closed {
		_ = c.Close()
		return net.ErrClosed
	}
	_, err := e.nb.AddConn(c)
	return err
}

// Close ends the listeners, all connections and the dials under way; a connection that comes up later is closed. nbio panics if
// told to end what never started, or has ended.
func (e *Engine) Close() {
	e.mu.Lock()
	before := e.closed
	e.closed = true
	e.mu.Unlock()
	e.endDials()
	for _, g := range e.gates {
		g.close()
	}
	if e.echo != nil {
		_ = syscall.Close(e.echo.fd)
	}
	if !e.started || before {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeWithin)
	defer cancel()
	_ = e.nb.Shutdown(ctx) // what is still open then ends with the process
}

// Serve accepts from a listener, which it owns from now on, up to room connections at once; more wait in the system's
// queue. The listener may be shared with other processes: it is closed, but never shut down.
func (e *Engine) Serve(ln net.Listener, limit int, accept func(transport.Conn) transport.Handler) *Gate {
	return e.Deal(ln, limit, []Target{{e, accept}}, func() int { return 0 })
}

// Target is where a connection may go that was accepted.
type Target struct {
	Engine *Engine
	Accept func(transport.Conn) transport.Handler
}

// Deal is Serve for connections that go to several engines: choose says to which, in a goroutine of its own.
func (e *Engine) Deal(ln net.Listener, limit int, targets []Target, choose func() int) *Gate {
	g := &Gate{ln: ln, targets: targets, choose: choose, limit: max(limit, 1)}
	g.cond.L = &g.mu
	e.gates = append(e.gates, g)
	go g.run()
	return g
}

// Gate is a listener and the connections that came by it. It guards against running out of descriptors.
type Gate struct {
	ln      net.Listener
	targets []Target
	choose  func() int

	mu             sync.Mutex
	cond           sync.Cond
	open, limit    int
	paused, closed bool
}

// Addr is where it listens.
func (g *Gate) Addr() net.Addr { return g.ln.Addr() }

// Close ends the listener; connections that came by it stay.
func (g *Gate) Close() { g.close() }

// Pause has nothing more accepted until Resume. What waits in the system's queue is left to others who listen on the
// same socket.
func (g *Gate) Pause() { g.set(func() { g.paused = true }, time.Unix(1, 0)) }

// Resume undoes Pause.
func (g *Gate) Resume() { g.set(func() { g.paused = false }, time.Time{}) }

// SetLimit sets how many connections there may be.
func (g *Gate) SetLimit(limit int) {
	g.mu.Lock()
	g.limit = max(limit, 1)
	g.mu.Unlock()
	g.cond.Signal()
}

func (g *Gate) set(change func(), until time.Time) {
	g.mu.Lock()
	change()
	if ln, ok := g.ln.(interface{ SetDeadline(time.Time) error }); ok {
		_ = ln.SetDeadline(until) // wakes an Accept that waits
	}
	g.mu.Unlock()
	g.cond.Signal()
}

func (g *Gate) close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	_ = g.ln.Close()
	g.cond.Signal()
}

func (g *Gate) run() {
	for g.enter() {
		c, err := g.ln.Accept()
		if err == nil {
			t := g.targets[g.choose()]
			t.Engine.accepted(c, g, t.Accept)
			continue
		}
		g.left()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		time.Sleep(time.Millisecond) // a moment's want of descriptors must not become a busy loop
	}
}

// enter waits for room, and returns false once the gate is closed.
func (g *Gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for !g.closed && (g.paused || g.open >= g.limit) {
		g.cond.Wait()
	}
	g.open++
	return !g.closed
}

// admit counts a connection that came by another way, whatever room there is.
func (g *Gate) admit() {
	g.mu.Lock()
	g.open++
	g.mu.Unlock()
}

func (g *Gate) left() {
	g.mu.Lock()
	g.open--
	g.mu.Unlock()
	g.cond.Signal()
}

func (e *Engine) accepted(std net.Conn, g *Gate, accept func(transport.Conn) transport.Handler) {
	if _, unix := std.(*net.UnixConn); unix {
		l := newLocal(e.loop, g)
		e.serveLocal(l, std, func() transport.Handler { return accept(l) })
		return
	}
	c, err := nbio.NBConn(std)
	if err != nil {
		_ = std.Close()
		g.left()
		return
	}
	n := &conn{e: e, nb: c, gate: g}
	hold(c, n)
	// In one turn: nbio fails upon a write to a connection that it was not given yet, and what is read waits for the turn.
	e.loop.Post(func() {
		n.open = true
		if err := e.add(c); err != nil {
			n.closed = true // it is closed
			n.release()
			return
		}
		if n.handler = accept(n); n.closed {
			n.handler.Closed(net.ErrClosed)
		}
	})
}

// Listen opens a listener; with a descriptor above 0 it takes that one, which the process inherited, instead.
func Listen(addr string, descriptor int) (net.Listener, error) {
	if descriptor <= 0 {
		return net.Listen("tcp", addr)
	}
	syscall.CloseOnExec(descriptor)
	f := os.NewFile(uintptr(descriptor), "listener")
	if f == nil {
		return nil, fmt.Errorf("descriptor %d is none", descriptor)
	}
	defer func() { _ = f.Close() }() // of the original; the listener has a copy
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", descriptor, err)
	}
	return ln, nil
}

// ListenUnix opens a Unix socket that only its owner may reach, in the place of whatever file is there. The file stays
// when the listener is closed: by then it may be another's.
func ListenUnix(path string) (net.Listener, error) {
	path, done, err := shorten(path)
	if err != nil {
		return nil, err
	}
	defer done()
	if err := os.Remove(path); err != nil && !os.IsNotExist(err) {
		return nil, err
	}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false)
	if err := os.Chmod(path, 0o600); err != nil {
		_ = ln.Close()
		return nil, err
	}
	return ln, nil
}

// shorten names a Unix socket by way of its open folder where its path is longer than the system takes, until done.
func shorten(path string) (short string, done func(), err error) {
	if len(path) <= longestPath {
		return path, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)), func() { _ = dir.Close() }, nil
}

// Dial connects to a TCP address, or the path of a Unix socket, with the standard library and hands the connection to nbio.
// nbio's own DialAsync takes the first four bytes of an IPv4 address that the standard library gives in sixteen
// (net_unix.go:136 in v1.6.8), and so connects to 0.0.0.0: seen as 'connection refused' by discovery at 127.8.200.1.
func (e *Engine) Dial(addr string, h transport.Handler) transport.Conn {
	if strings.HasPrefix(addr, "/") {
		return e.dialLocal(addr, h)
	}
	ctx, cancel := context.WithTimeout(e.dials, e.timeout)
	n := &conn{e: e, handler: h, cancel: cancel}
	go func() {
		defer cancel()
		c, err := e.dial(ctx, addr, n)
		e.loop.Post(func() { n.connected(c, err) })
	}()
	return n
}

// dialLocal connects to a Unix socket.
func (e *Engine) dialLocal(path string, h transport.Handler) transport.Conn {
	l := newLocal(e.loop, nil)
	l.handler = h
	go func() {
		short, done, err := shorten(path)
		var std net.Conn
		if err == nil {
			std, err = net.DialTimeout("unix", short, e.timeout)
			done()
		}
		if err != nil {
			e.loop.Post(func() {
				if !l.closed {
					l.closed = true
					h.Closed(err)
				}
			})
			return
		}
		e.serveLocal(l, std, func() transport.Handler {
			h.Connected()
			return h
		})
	}()
	return l
}

func (e *Engine) dial(ctx context.Context, addr string, n *conn) (*nbio.Conn, error) {
	std, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c, err := nbio.NBConn(std)
	if err != nil {
		_ = std.Close()
		return nil, err
	}
	hold(c, n)
	if err := e.add(c); err != nil {
		return nil, err
	}
	return c, nil
}

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

// nbioLog passes on nbio's warnings and errors.
type nbioLog struct{ log *slog.Logger }

func (nbioLog) Debug(string, ...any) {}
func (nbioLog) Info(string, ...any)  {}
func (l nbioLog) Warn(format string, v ...any) {
	l.log.Warn("network", "text", fmt.Sprintf(format, v...))
}
func (l nbioLog) Error(format string, v ...any) {
	l.log.Error("network", "text", fmt.Sprintf(format, v...))
}
