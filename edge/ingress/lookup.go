package ingress

import (
	"encoding/json"
	"errors"

	"github.com/valyala/fasthttp"

	"ravendale/cluster/wire"
	"ravendale/edge/queueclient"
)

type stateResponse struct {
	State     string `json:"state"`
	Signature string `json:"signature,omitempty"`
}

var stateNames = map[wire.State]string{
	wire.StatePending: "pending",
	wire.StateDone:    "done",
	wire.StateDead:    "dead_letter",
	wire.StateDropped: "dead_letter",
}

func (s *Server) serveState(ctx *fasthttp.RequestCtx, id string) {
	found := s.find(ctx, id, false)
	if found == nil {
		return
	}
	response := stateResponse{State: stateNames[found.State]}
	if found.State == wire.StateDone {
		response.Signature = found.Signature
	}
	text, err := json.Marshal(response)
	if err != nil {
		unavailable(ctx)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}

func (s *Server) serveBody(ctx *fasthttp.RequestCtx, id string) {
	found := s.find(ctx, id, true)
	if found == nil {
		return
	}
	if found.State == wire.StateDone {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(found.Body)
}

// find looks up a message. If that fails, it sends the error response and returns nil.
func (s *Server) find(ctx *fasthttp.RequestCtx, id string, body bool) *wire.FindReply {
	found, err := s.config.Queue.Find(id, body)
	switch {
	case err == nil:
		return found
	case errors.Is(err, queueclient.ErrNotFound):
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	default:
		unavailable(ctx)
	}
	return nil
}
