// Package nbionet serves package transport on the core engine of lesismal/nbio. Its callbacks copy
// bytes and post to the loop; they touch no state of the program.
package nbionet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"ravendale/transport"
)

const (
	readBuffer  = 32 << 10
	closeWithin = 200 * time.Millisecond
)

// Poster takes work for the owner's goroutine.
type Poster interface{ Post(func()) }

// Engine owns the listener and all connections.
type Engine struct {
	nb       *nbio.Engine
	loop     Poster
	timeout  time.Duration
	accept   func(transport.Conn) transport.Handler
	slots    chan struct{} // one for each client connection that may be open
	listener net.Listener
}

// Options say how an Engine is to run.
type Options struct {
	Loop           Poster
	Listen         string
	ConnectTimeout time.Duration
	MaxAccepted    int // connections of clients at once; more wait in the system's queue
	Accept         func(transport.Conn) transport.Handler
	Log            *slog.Logger
}

// New returns an engine that is not started yet.
func New(o Options) *Engine {
	e := &Engine{loop: o.Loop, timeout: o.ConnectTimeout, accept: o.Accept, slots: make(chan struct{}, max(o.MaxAccepted, 1))}
	logging.SetLogger(nbioLog{o.Log})
	e.nb = nbio.NewEngine(nbio.Config{Name: "ravendale", Network: "tcp", Addrs: []string{o.Listen}, NPoller: 1,
		ReadBufferSize: readBuffer, MaxConnReadTimesPerEventLoop: 64, Listen: e.listen})
	// nbio leaves its buffer cut to the length of the last read: hand it out whole each time.
	whole := make([]byte, readBuffer)
	buf := whole
	e.nb.OnReadBufferAlloc(func(*nbio.Conn) *[]byte {
		buf = whole
		return &buf
	})
	e.nb.OnOpen(e.opened)
	e.nb.OnData(func(c *nbio.Conn, data []byte) {
		if n, ok := c.Session().(*conn); ok {
			b := append([]byte(nil), data...)
			e.loop.Post(func() { n.data(b) })
			runtime.Gosched() // lets the owner run before the poller blocks its processor in a wait
		}
	})
	e.nb.OnWrittenSize(func(c *nbio.Conn, _ []byte, written int) {
		if n, ok := c.Session().(*conn); ok {
			n.written.Add(int64(written))
		}
	})
	e.nb.OnClose(func(c *nbio.Conn, err error) {
		if n, ok := c.Session().(*conn); ok {
			n.release()
			e.loop.Post(func() { n.lost(err) })
		}
	})
	return e
}

// Start listens and serves.
func (e *Engine) Start() error {
	if err := e.nb.Start(); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return nil
}

// Close ends the listener and all connections.
func (e *Engine) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeWithin)
	defer cancel()
	_ = e.nb.Shutdown(ctx) // what is still open then ends with the process
}

// Addr is where the engine listens.
func (e *Engine) Addr() net.Addr { return e.listener.Addr() }

func (e *Engine) listen(network, addr string) (net.Listener, error) {
	ln, err := net.Listen(network, addr)
	if err != nil {
		return nil, err
	}
	e.listener = &limited{Listener: ln, slots: e.slots}
	return e.listener, nil
}

// limited accepts while there are slots. It guards against running out of descriptors, upon
// which nbio would try again without a pause.
type limited struct {
	net.Listener
	slots chan struct{}
}

func (l *limited) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			return c, nil
		}
		if errors.Is(err, net.ErrClosed) {
			<-l.slots
			return nil, err
		}
		time.Sleep(time.Millisecond) // a moment's want of descriptors must not become a busy loop
	}
}

func (e *Engine) opened(c *nbio.Conn) {
	if c.Session() != nil {
		return // dialled
	}
	n := &conn{nb: c, slots: e.slots}
	c.SetSession(n)
	e.loop.Post(func() {
		n.open = true
		if n.handler = e.accept(n); n.gone {
			n.handler.Closed(net.ErrClosed)
		}
	})
}

// Dial connects with the standard library and hands the connection to nbio. nbio's own DialAsync takes the
// first four bytes of an IPv4 address that the standard library gives in sixteen (net_unix.go:136 in
// v1.6.8), and so connects to 0.0.0.0: seen as 'connection refused' by discovery at 127.8.200.1.
func (e *Engine) Dial(addr string, h transport.Handler) transport.Conn {
	ctx, cancel := context.WithTimeout(context.Background(), e.timeout)
	n := &conn{handler: h, cancel: cancel}
	go func() {
		defer cancel()
		c, err := e.dial(ctx, addr, n)
		e.loop.Post(func() { n.connected(c, err) })
	}()
	return n
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
	c.SetSession(n)
	return e.nb.AddConn(c)
}

// conn is a connection as the owner sees it. Only written is shared with nbio's goroutines.
type conn struct {
	nb      *nbio.Conn
	handler transport.Handler
	open    bool
	gone    bool // closed by either side
	queued  int64
	written atomic.Int64
	slots   chan struct{}
	freed   atomic.Bool
	cancel  func() // ends a dial
}

func (n *conn) connected(c *nbio.Conn, err error) {
	switch {
	case n.gone && c != nil:
		_ = c.Close() // given up while it was being made
		return
	case err != nil:
		n.lost(err)
		return
	case n.gone:
		return
	}
	n.nb, n.open = c, true
	n.handler.Connected()
}

func (n *conn) data(b []byte) {
	if !n.gone {
		n.handler.Data(b)
	}
}

func (n *conn) lost(err error) {
	if n.gone {
		return
	}
	n.gone = true
	if n.handler != nil {
		n.handler.Closed(err)
	}
}

func (n *conn) release() {
	if n.slots != nil && n.freed.CompareAndSwap(false, true) {
		<-n.slots
	}
}

func (n *conn) Write(b []byte) {
	if n.gone || !n.open {
		return
	}
	n.queued += int64(len(b))
	_, _ = n.nb.Write(b) // an error closes the connection, and that is reported
}

func (n *conn) Unwritten() int { return int(n.queued - n.written.Load()) }

// Close ends the connection, at once for the other side too. The shutdown guards against a close that meets the
// poller's epoll_wait while that looks at the socket: the system (seen on Linux 6.18) then releases the
// socket only when that call returns, which without other traffic is never. nbio's lock keeps the
// descriptor from being closed, and used again, meanwhile.
func (n *conn) Close() {
	if !n.gone {
		n.gone = true
		if n.cancel != nil {
			n.cancel()
		}
		if n.open {
			n.nb.Lock()
			if closed, _ := n.nb.IsClosed(); !closed {
				_ = syscall.Shutdown(n.nb.Hash(), syscall.SHUT_RDWR)
			}
			n.nb.Unlock()
			_ = n.nb.Close()
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
