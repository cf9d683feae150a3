package nbionet

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
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

// nbioLog passes on nbio's warnings and errors.
type nbioLog struct{ log *slog.Logger }

func (nbioLog) Debug(string, ...any) {}

func (nbioLog) Info(string, ...any) {}

func (l nbioLog) Warn(format string, v ...any) {
	l.log.Warn("network", "text", fmt.Sprintf(format, v...))
}

func (l nbioLog) Error(format string, v ...any) {
	l.log.Error("network", "text", fmt.Sprintf(format, v...))
}
