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

// Readiness answers the platform whether this edge takes new connections.
type Readiness struct {
	server   *fasthttp.Server
	listener net.Listener
}

// ListenReady starts to answer the platform.
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
	go func() { _ = r.server.Serve(listener) }() // it ends when the listener does
	return r, nil
}

// Address returns where the platform is answered.
func (r *Readiness) Address() string { return r.listener.Addr().String() }

// Close stops answering.
func (r *Readiness) Close() { _ = r.listener.Close() }
