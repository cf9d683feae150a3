package ingress

import (
	"errors"
	"strconv"

	"github.com/valyala/fasthttp"
)

// answerError answers a request that could not be read.
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

func badRequest(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(fasthttp.StatusBadRequest)
	ctx.SetConnectionClose()
}

// unavailable answers that the request was not accepted, and never will be.
func unavailable(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set("Retry-After", strconv.Itoa(retryAfterS))
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

const retryAfterS = 1 // the smallest whole number that makes sense
