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

	// maxReadsPerConn is the number of buffers read from one connection before the poller goes on to the next. It must
	// cover a whole message, since nbio drops unread data when the other end has closed the connection after it.
	maxReadsPerConn = 4
	// maxIgnored is the number of discarded bytes after which the connection is closed. Up to that they are read, so
	// that the other end can receive an answer before the end of the connection.
	maxIgnored = 1 << 20

	maxSocketPath = 107 // maximum length of a Unix socket's path
)

// Turns is the event loop that owns all state. Post queues work for it. If Begin returns true, the caller may access
// the state until it calls End.
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
	echo    *echo // nil until Echo is first called
	gates   []*Gate

	dials    context.Context // canceled by Close
	endDials func()

	mu     sync.RWMutex // read-locked while a connection is added to nb
	closed bool
}

// Options configures an Engine.
type Options struct {
	Loop           Turns
	ConnectTimeout time.Duration
	Log            *slog.Logger
}

var setLogger sync.Once

// New returns an engine that has not been started.
func New(o Options) *Engine {
	e := &Engine{loop: o.Loop, timeout: o.ConnectTimeout}
	e.dials, e.endDials = context.WithCancel(context.Background())
	// nbio has a single logger per process, which its pollers read without a lock: it is set once, by the first engine.
	if o.Log != nil {
		setLogger.Do(func() { logging.SetLogger(nbioLog{o.Log}) })
	}
	e.nb = nbio.NewEngine(nbio.Config{Name: "ravendale", Network: "tcp", NPoller: 1,
		ReadBufferSize: readBuffer, MaxConnReadTimesPerEventLoop: maxReadsPerConn})
	// nbio truncates its buffer to the length of the last read, so each allocation returns the full buffer again.
	full := make([]byte, readBuffer)
	buf := full
	e.nb.OnReadBufferAlloc(func(*nbio.Conn) *[]byte {
		buf = full
		return &buf
	})
	e.nb.OnData(func(c *nbio.Conn, data []byte) {
		switch session := c.Session().(type) {
		case *conn:
			e.received(c, session, data)
		case pollerRunning:
			close(session)
		}
	})
	e.nb.OnWrittenSize(func(c *nbio.Conn, _ []byte, written int) {
		if n, ok := c.Session().(*conn); ok {
			if n.written.Add(int64(written)); n.finishing.Load() && n.Unwritten() == 0 {
				_ = syscall.Shutdown(c.Hash(), syscall.SHUT_WR) // nbio holds its lock in this callback
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

// received passes on data that was read, in a turn of the poller. While another turn lasts, the poller waits and reads
// nothing, so that senders are held back instead of their data piling up in this process's memory.
func (e *Engine) received(c *nbio.Conn, n *conn, data []byte) {
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

// Start starts the poller. It returns once the poller runs.
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

// pollerRunning is the session of a connection that is used only by awaitPoller. It is closed once the poller reads
// that connection.
type pollerRunning chan struct{}

// awaitPoller waits until the poller runs. nbio (v1.6.8) clears its stop flag when its loop begins, so a stop before
// that would be lost and the loop would never end.
func (e *Engine) awaitPoller() error {
	near, far, err := pair()
	if err != nil {
		return err
	}
	started := make(pollerRunning)
	attachSession(near, started)
	if err := e.add(near); err != nil {
		_ = syscall.Close(far)
		return err
	}
	_, err = syscall.Write(far, []byte{0})
	if err == nil {
		<-started
	}
	_ = syscall.Close(far) // the poller then closes the other end
	return err
}

// add adds a connection to nbio, or closes it if the engine is closed. nbio (v1.6.8) counts connections in a
// sync.WaitGroup: adding one while Shutdown waits for the last is a data race and may panic with 'WaitGroup is reused'.
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

// Close closes the listeners and all connections, and cancels dials; a connection established later is closed. nbio
// panics if it is shut down without having been started, or twice.
func (e *Engine) Close() {
	e.mu.Lock()
	wasClosed := e.closed
	e.closed = true
	e.mu.Unlock()
	e.endDials()
	for _, g := range e.gates {
		g.close()
	}
	if e.echo != nil {
		_ = syscall.Close(e.echo.fd)
	}
	if !e.started || wasClosed {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeWithin)
	defer cancel()
	_ = e.nb.Shutdown(ctx) // connections that are still open then end with the process
}

// Dial connects to a TCP address or, if addr begins with a slash, to a Unix socket. It dials TCP with the standard
// library and adds the connection to nbio. nbio's own DialAsync uses the first four bytes of an IPv4 address that the
// standard library returns in sixteen (net_unix.go:136 in v1.6.8), and so connects to 0.0.0.0: seen as 'connection
// refused' when dialling discovery at 127.8.200.1.
func (e *Engine) Dial(addr string, h transport.Handler) transport.Conn {
	if strings.HasPrefix(addr, "/") {
		return e.dialUnix(addr, h)
	}
	ctx, cancel := context.WithTimeout(e.dials, e.timeout)
	n := &conn{engine: e, handler: h, cancel: cancel}
	go func() {
		defer cancel()
		c, err := e.dial(ctx, addr, n)
		e.loop.Post(func() { n.connected(c, err) })
	}()
	return n
}

// dialUnix connects to a Unix socket.
func (e *Engine) dialUnix(path string, h transport.Handler) transport.Conn {
	l := newUnixConn(e.loop, nil)
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
		e.serveUnix(l, std, func() transport.Handler {
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
	attachSession(c, n)
	if err := e.add(c); err != nil {
		return nil, err
	}
	return c, nil
}

// nbioLog passes nbio's warnings and errors to a slog.Logger.
type nbioLog struct{ log *slog.Logger }

func (nbioLog) Debug(string, ...any) {}

func (nbioLog) Info(string, ...any) {}

func (l nbioLog) Warn(format string, v ...any) {
	l.log.Warn("nbio warning", "text", fmt.Sprintf(format, v...))
}

func (l nbioLog) Error(format string, v ...any) {
	l.log.Error("nbio error", "text", fmt.Sprintf(format, v...))
}
