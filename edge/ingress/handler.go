package ingress

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"ravendale/edge/dispatch"
	"ravendale/edge/queueclient"
)

// Paths for lookups of a message, which are followed by its ID.
const (
	statePath = "/v1/message/"
	bodyPath  = "/v1/message-body/"
)

func (s *Server) handleRequest(ctx *fasthttp.RequestCtx) {
	s.route(ctx)
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
}

func (s *Server) route(ctx *fasthttp.RequestCtx) {
	header := &ctx.Request.Header
	if !isUnambiguous(header) {
		badRequest(ctx)
		return
	}
	if limit := s.limits.Load().MaxHeaderBytes; limit > 0 && len(header.RawHeaders())+len(header.RequestURI()) > limit {
		ctx.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
		ctx.SetConnectionClose()
		return
	}
	path, _, _ := bytes.Cut(header.RequestURI(), []byte("?"))
	if header.IsGet() && bytes.HasPrefix(path, []byte(statePath)) {
		s.serveState(ctx, string(path[len(statePath):]))
		return
	}
	if header.IsGet() && bytes.HasPrefix(path, []byte(bodyPath)) {
		s.serveBody(ctx, string(path[len(bodyPath):]))
		return
	}
	s.serveRequest(ctx, string(path))
}

// serveRequest puts the request into the queue as a message.
func (s *Server) serveRequest(ctx *fasthttp.RequestCtx, path string) {
	index, waited := s.awaitIndex(&ctx.Request.Header)
	if index == nil {
		unavailable(ctx)
		return
	}
	route := index.Match(string(ctx.Request.Header.Host()), path)
	if route == nil || route.Type != dispatch.DeferredType {
		s.respondNoRoute(ctx)
		return
	}
	m, limits, ok := parseMessage(&ctx.Request, route)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	body := ctx.Request.Body()
	accepts := s.config.Accepts(route.Service, len(body))
	if m.Body = body; accepts {
		m.Body = bytes.Clone(body)
	}
	limits.Attempt = max(limits.Attempt-waited, limits.Attempt/minAttemptShare)
	switch s.config.Queue.Put(m, index.Config().Version, accepts, limits) {
	case queueclient.Accepted:
		ctx.Response.Header.Set("Msg-Id", m.ID)
		ctx.SetStatusCode(fasthttp.StatusAccepted)
	case queueclient.Rejected:
		unavailable(ctx)
	default: // the result is unknown: close the connection, which promises neither acceptance nor rejection
		_ = ctx.Conn().Close()
		ctx.SetConnectionClose()
	}
}

// respondNoRoute answers a request that has no route in this edge's configuration. The route may be new while this edge
// has lost contact with the control plane: the client must then try again, here or at another edge.
func (s *Server) respondNoRoute(ctx *fasthttp.RequestCtx) {
	if s.config.Confirmed != nil && !s.config.Confirmed() {
		unavailable(ctx)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNotFound)
}
