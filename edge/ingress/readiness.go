package ingress

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	readyPath     = "/v1/readyz"
	readyBuffer   = 1 << 10
	readyTimeout  = 10 * time.Second
	maxReadyConns = 16
)

// Readiness is an HTTP server on which the platform probes whether this edge accepts new connections.
type Readiness struct {
	server   *fasthttp.Server
	listener net.Listener
}

// ListenReady starts a Readiness server. The probe fails with 503 while ready returns false.
func ListenReady(address string, ready func() bool) (*Readiness, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	r := &Readiness{listener: listener, server: &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			switch {
			case string(ctx.Path()) != readyPath:
				ctx.SetStatusCode(fasthttp.StatusNotFound)
			case !ready():
				ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			}
		},
		ReadBufferSize: readyBuffer, WriteBufferSize: writeBuffer, ReadTimeout: readyTimeout, WriteTimeout: readyTimeout,
		Concurrency: maxReadyConns, ReduceMemoryUsage: true, GetOnly: true, Logger: discardLogger{},
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
	}}
	go func() { _ = r.server.Serve(listener) }() // Serve returns when the listener is closed
	return r, nil
}

// Address returns the address that the server listens on.
func (r *Readiness) Address() string { return r.listener.Addr().String() }

// Close stops accepting connections.
func (r *Readiness) Close() { _ = r.listener.Close() }
