package ingress

import (
	"errors"
	"strconv"

	"github.com/valyala/fasthttp"
)

// respondError responds to a request that could not be read.
func respondError(ctx *fasthttp.RequestCtx, err error) {
	var tooSmall *fasthttp.ErrSmallBuffer
	var timeout interface{ Timeout() bool }
	status := fasthttp.StatusBadRequest
	switch {
	case errors.As(err, &tooSmall):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, fasthttp.ErrTimeout), errors.As(err, &timeout) && timeout.Timeout():
		status = fasthttp.StatusRequestTimeout
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetConnectionClose()
}

func badRequest(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(fasthttp.StatusBadRequest)
	ctx.SetConnectionClose()
}

// unavailable responds with 503: the message was not accepted, and will not be.
func unavailable(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set("Retry-After", strconv.Itoa(retryAfterS))
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

const retryAfterS = 1 // the smallest useful value, in whole seconds
