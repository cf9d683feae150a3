package ingress

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
	"ravendale/edge/queueclient"
)

// Queue stores messages and looks up their state.
type Queue interface {
	Put(m *wire.Message, configVersion uint64, dispatch bool, limits queueclient.Limits) queueclient.Result
	Find(id string, body bool) (*wire.FindReply, error)
}

// Config holds the options of a Server.
type Config struct {
	Queue    Queue
	Index    func() *catalog.Index                    // returns nil until there is a configuration
	Ready    func() bool                              // whether the configuration is current; requests are rejected otherwise
	Accepts  func(service string, bodyBytes int) bool // whether this edge will deliver such a message itself
	MaxConns int                                      // maximum number of open connections
	Log      *slog.Logger                             // nil: slog.Default

	// Confirmed reports whether the configuration was the newest recently enough to conclude that a route does not
	// exist. Otherwise a request without a route is rejected as temporarily unavailable. Nil: always confirmed.
	Confirmed func() bool
}

// Default limits, for those that the configuration does not set.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 1 << 20
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 15 * time.Second

	minHeaderBuffer = 4 << 10
	writeBuffer     = 512
	bodyTimeout     = 15 * time.Second // for receiving a complete body
	writeTimeout    = 10 * time.Second
	sweepInterval   = 100 * time.Millisecond
	acceptPause     = 20 * time.Millisecond
)

// Server accepts connections from clients and responds to their requests.
type Server struct {
	config   Config
	limits   atomic.Pointer[limits]
	draining atomic.Bool
	changed  broadcast
	slots    chan struct{} // one for each connection

	mu       sync.Mutex
	listener net.Listener
	conns    map[*clientConn]struct{}
}

// limits are limits on requests, and the server for connections that were accepted while they applied.
type limits struct {
	catalog.Limits
	server *fasthttp.Server
}

// clientConn is a connection of a client. It is idle while no request is being read or handled on it.
type clientConn struct {
	net.Conn
	idle atomic.Bool
}

// New returns a Server that does not listen yet.
func New(config Config) *Server {
	if config.Log == nil {
		config.Log = slog.Default()
	}
	s := &Server{config: config, slots: make(chan struct{}, max(config.MaxConns, 1)), conns: make(map[*clientConn]struct{})}
	s.limits.Store(s.newLimits(catalog.Limits{}))
	return s
}

// SetLimits sets the limits on requests. They apply to new connections; the limit on the body size applies to open
// connections too.
func (s *Server) SetLimits(next catalog.Limits) {
	if s.limits.Load().Limits != next {
		s.limits.Store(s.newLimits(next))
	}
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

func (s *Server) newLimits(l catalog.Limits) *limits {
	return &limits{Limits: l, server: &fasthttp.Server{
		Handler:                       s.handleRequest,
		ErrorHandler:                  respondError,
		HeaderReceived:                s.bodyLimits,
		ConnState:                     trackState,
		ReadBufferSize:                max(orDefault(l.MaxHeaderBytes, defaultHeaderBytes), minHeaderBuffer),
		WriteBufferSize:               writeBuffer,
		ReadTimeout:                   orDefault(milliseconds(l.HeaderTimeoutMs), defaultHeaderTimeout),
		IdleTimeout:                   orDefault(milliseconds(l.IdleTimeoutMs), defaultIdleTimeout),
		WriteTimeout:                  writeTimeout,
		MaxRequestBodySize:            orDefault(l.MaxBodyBytes, defaultBodyBytes),
		Concurrency:                   cap(s.slots) + 1,
		ReduceMemoryUsage:             true,
		DisablePreParseMultipartForm:  true,
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		NoDefaultContentType:          true,
		LogAllErrors:                  false,
		Logger:                        discardLogger{},
		DisableHeaderNamesNormalizing: false,
	}}
}

// discardLogger drops the log lines of fasthttp, which report errors of clients.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func (s *Server) bodyLimits(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{
		ReadTimeout:        bodyTimeout,
		MaxRequestBodySize: orDefault(s.limits.Load().MaxBodyBytes, defaultBodyBytes),
	}
}

func trackState(conn net.Conn, state fasthttp.ConnState) {
	if c, ok := conn.(*clientConn); ok {
		c.idle.Store(state != fasthttp.StateActive)
	}
}

// Listen starts to accept connections.
func (s *Server) Listen(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	go s.accept(listener)
	return nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

func (s *Server) accept(listener net.Listener) {
	for {
		s.slots <- struct{}{}
		conn, err := listener.Accept()
		if err != nil {
			<-s.slots
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptPause) // for example, the process has run out of file descriptors
			continue
		}
		c := &clientConn{Conn: conn}
		c.idle.Store(true)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Server) serve(c *clientConn) {
	_ = s.limits.Load().server.ServeConn(c) // respondError has responded to errors
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	<-s.slots
}

// Drain makes the server close each connection after its next response.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown stops accepting connections, closes idle ones, and waits until all requests in flight are finished or the
// context is done.
func (s *Server) Shutdown(ctx context.Context) {
	s.Drain()
	s.mu.Lock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mu.Unlock()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for s.closeIdle() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// closeIdle makes idle connections close by expiring their read deadline, and returns the number of open connections.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.idle.Load() {
			_ = c.SetReadDeadline(time.Now())
		}
	}
	return len(s.conns)
}
