// Package ingress takes clients' requests: it has those on deferred routes kept by the queue, and answers what became of them.
package ingress

import (
	"errors"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
	"ravendale/edge/queueclient"
)

// Queue keeps messages and knows what became of them.
type Queue interface {
	PutWithin(m *wire.Message, dispatch bool, limits queueclient.Limits) queueclient.Result
	Find(id string, body bool) (*wire.FindReply, error)
}

// Config of a Server.
type Config struct {
	Queue    Queue
	Index    func() *catalog.Index                    // nil until there is a configuration
	Ready    func() bool                              // the configuration is current; else messages are turned away
	Takes    func(service string, bodyBytes int) bool // this edge will deliver such a message itself
	MaxConns int                                      // connections open at once
	Log      *slog.Logger                             // nil: the default
}

// Limits that hold until a configuration names others, and where it names none.
const (
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 1 << 20
	defaultHeaderTime  = 5 * time.Second
	defaultIdleTime    = 15 * time.Second

	leastHeaderBuffer = 4 << 10
	writeBuffer       = 512
	bodyTime          = 15 * time.Second // for a whole body
	writeTime         = 10 * time.Second
	sweepEvery        = 100 * time.Millisecond
	acceptPause       = 20 * time.Millisecond
)

// Server takes connections of clients.
type Server struct {
	config  Config
	limits  atomic.Pointer[limits]
	leaving atomic.Bool
	changed signal
	slots   chan struct{} // one for each connection

	mu       sync.Mutex
	listener net.Listener
	conns    map[*clientConn]struct{}
}

// limits and the server of connections that began under them.
type limits struct {
	catalog.Limits
	server *fasthttp.Server
}

// clientConn knows whether a request is being read or answered on it.
type clientConn struct {
	net.Conn
	idle atomic.Bool
}

// New returns a Server that does not listen.
func New(config Config) *Server {
	if config.Log == nil {
		config.Log = slog.Default()
	}
	s := &Server{config: config, slots: make(chan struct{}, max(config.MaxConns, 1)), conns: make(map[*clientConn]struct{})}
	s.limits.Store(s.newLimits(catalog.Limits{}))
	return s
}

// Limit sets what clients may send; it holds for new connections, the size of bodies for all.
func (s *Server) Limit(next catalog.Limits) {
	if s.limits.Load().Limits != next {
		s.limits.Store(s.newLimits(next))
	}
}

func orElse[T int | time.Duration](figure, other T) T {
	if figure > 0 {
		return figure
	}
	return other
}

func milliseconds(figure float64) time.Duration {
	return time.Duration(figure * float64(time.Millisecond))
}

func (s *Server) newLimits(l catalog.Limits) *limits {
	return &limits{Limits: l, server: &fasthttp.Server{
		Handler:                       s.handle,
		ErrorHandler:                  answerError,
		HeaderReceived:                s.bodyLimits,
		ConnState:                     follow,
		ReadBufferSize:                max(orElse(l.MaxHeaderBytes, defaultHeaderBytes), leastHeaderBuffer),
		WriteBufferSize:               writeBuffer,
		ReadTimeout:                   orElse(milliseconds(l.HeaderTimeoutMs), defaultHeaderTime),
		IdleTimeout:                   orElse(milliseconds(l.IdleTimeoutMs), defaultIdleTime),
		WriteTimeout:                  writeTime,
		MaxRequestBodySize:            orElse(l.MaxBodyBytes, defaultBodyBytes),
		Concurrency:                   cap(s.slots) + 1,
		ReduceMemoryUsage:             true,
		DisablePreParseMultipartForm:  true,
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		NoDefaultContentType:          true,
		LogAllErrors:                  false,
		Logger:                        silent{},
		DisableHeaderNamesNormalizing: false,
	}}
}

// silent drops fasthttp's own lines, which tell of clients' mistakes.
type silent struct{}

func (silent) Printf(string, ...any) {}

func (s *Server) bodyLimits(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{
		ReadTimeout:        bodyTime,
		MaxRequestBodySize: orElse(s.limits.Load().MaxBodyBytes, defaultBodyBytes),
	}
}

func follow(conn net.Conn, state fasthttp.ConnState) {
	if c, ok := conn.(*clientConn); ok {
		c.idle.Store(state != fasthttp.StateActive)
	}
}

// Listen starts to take connections.
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

// Address is where the server listens.
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
			time.Sleep(acceptPause) // as when descriptors have run out
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
	_ = s.limits.Load().server.ServeConn(c) // what went wrong was answered
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	<-s.slots
}

// Leave has each answer end its connection from now on.
func (s *Server) Leave() { s.leaving.Store(true) }

// Close stops taking connections, ends idle ones, and waits until what is in hand is answered or done is closed.
func (s *Server) Close(done <-chan struct{}) {
	s.Leave()
	s.mu.Lock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mu.Unlock()
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for s.endIdle() > 0 {
		select {
		case <-ticker.C:
		case <-done:
			return
		}
	}
}

// endIdle ends the wait of idle connections for another request, and counts all that are open.
func (s *Server) endIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.idle.Load() {
			_ = c.SetReadDeadline(time.Now())
		}
	}
	return len(s.conns)
}

// answerError answers what could not be read.
func answerError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var late interface{ Timeout() bool }
	status := fasthttp.StatusBadRequest
	switch {
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, fasthttp.ErrTimeout), errors.As(err, &late) && late.Timeout():
		status = fasthttp.StatusRequestTimeout
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetConnectionClose()
}

// refuse answers that the request was not taken, and never will be.
func refuse(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set("Retry-After", strconv.Itoa(retryAfterS))
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

const retryAfterS = 1 // the smallest whole number that makes sense
