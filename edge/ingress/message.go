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

// parseMessage converts a request to a message without a body, and returns the limits for its put. It returns false for
// invalid fields.
func parseMessage(request *fasthttp.Request, route *catalog.Route) (m *wire.Message, limits queueclient.Limits, ok bool) {
	header := &request.Header
	id, unique := singleValue(header, "Request-Id")
	if !unique || !isRequestID(id) {
		return nil, limits, false
	}
	key, unique := singleValue(header, "Order-Key")
	if !unique {
		return nil, limits, false
	}
	delay, valid := parseNumber(header, "Delay-Ms")
	if !valid || delay > math.MaxUint32 {
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

// isRequestID reports whether the text is a valid request ID: not empty and without control characters.
func isRequestID(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' || text[i] == 0x7f {
			return false
		}
	}
	return text != ""
}

// parseNumber parses a field whose value is a non-negative number; it is 0 if the field is absent. It returns false for
// an invalid value.
func parseNumber(h *fasthttp.RequestHeader, name string) (float64, bool) {
	text, unique := singleValue(h, name)
	if text == "" || !unique {
		return 0, unique && len(h.PeekAll(name)) == 0
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) || value < 0 || strings.ContainsAny(text, "xX_pP") {
		return 0, false
	}
	return value, true
}
