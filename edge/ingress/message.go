package ingress

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
	"ravendale/edge/queueclient"
)

// parseMessage makes a message of a request, without its body, and returns how long its put may take.
func parseMessage(request *fasthttp.Request, route *catalog.Route) (m *wire.Message, limits queueclient.Limits, ok bool) {
	header := &request.Header
	id, once := single(header, "Request-Id")
	if !once || !isRequestID(id) {
		return nil, limits, false
	}
	key, once := single(header, "Order-Key")
	if !once {
		return nil, limits, false
	}
	delay, fine := parseNumber(header, "Delay-Ms")
	if !fine || delay > math.MaxUint32 {
		return nil, limits, false
	}
	return &wire.Message{
		RequestID: id, Route: route.Name, Method: string(header.Method()), Host: string(header.Host()),
		Target: string(header.RequestURI()), ContentType: string(header.ContentType()), Key: key,
		SentUnixMs: time.Now().UnixMilli(), DelayMs: uint32(math.Ceil(delay)), RetentionMs: retention(route),
		Retries: uint16(min(max(route.Retries, 0), math.MaxUint16)), Ordered: route.Ordered && key != "",
	}, putLimits(route, deadlineOf(header)), true
}

func retention(route *catalog.Route) uint32 {
	const thousand = 1000
	return uint32(min(route.RetentionS*thousand, math.MaxUint32))
}

// isRequestID reports whether a text can be a request's id.
func isRequestID(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' || text[i] == 0x7f {
			return false
		}
	}
	return text != ""
}

// parseNumber parses a field that is a number of 0 or more; absent, it is 0.
func parseNumber(h *fasthttp.RequestHeader, name string) (float64, bool) {
	text, once := single(h, name)
	if text == "" || !once {
		return 0, once && len(h.PeekAll(name)) == 0
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) || value < 0 || strings.ContainsAny(text, "xX_pP") {
		return 0, false
	}
	return value, true
}
