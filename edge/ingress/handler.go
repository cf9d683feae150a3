package ingress

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
	"ravendale/edge/dispatch"
	"ravendale/edge/queueclient"
)

// Paths of questions about a message; its name follows.
const (
	statePath = "/v1/message/"
	bodyPath  = "/v1/message-body/"
)

// How long a message is tried to be kept.
const (
	targetsTried  = 5 // times the route's aim
	leastPutTime  = 250 * time.Millisecond
	mostPutTime   = 600 * time.Millisecond
	longestPut    = 2 * time.Second // for clients that say that they wait longer
	deadlinePart  = 0.42            // of what a client waits: refused by then, it may be taken elsewhere
	answerPart    = 0.47            // ... and closed by then, if no answer is likely to come
	hopePart      = 0.9             // ... or by then: it has to reach the client, too
	longestAnswer = 2500 * time.Millisecond
	unknownTarget = 100 * time.Millisecond
	longestHold   = 300 * time.Millisecond // for a configuration, of a request that comes before there is one
)

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.answer(ctx)
	if s.leaving.Load() {
		ctx.SetConnectionClose()
	}
}

func (s *Server) answer(ctx *fasthttp.RequestCtx) {
	header := &ctx.Request.Header
	if !wellFramed(header) {
		malformed(ctx)
		return
	}
	if limit := s.limits.Load().MaxHeaderBytes; limit > 0 && len(header.RawHeaders())+len(header.RequestURI()) > limit {
		ctx.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
		ctx.SetConnectionClose()
		return
	}
	path, _, _ := bytes.Cut(header.RequestURI(), []byte("?"))
	if header.IsGet() && bytes.HasPrefix(path, []byte(statePath)) {
		s.tellState(ctx, string(path[len(statePath):]))
		return
	}
	if header.IsGet() && bytes.HasPrefix(path, []byte(bodyPath)) {
		s.tellBody(ctx, string(path[len(bodyPath):]))
		return
	}
	s.take(ctx, string(path))
}

func malformed(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(fasthttp.StatusBadRequest)
	ctx.SetConnectionClose()
}

// take has a message kept.
func (s *Server) take(ctx *fasthttp.RequestCtx, path string) {
	index, held := s.awaitIndex(&ctx.Request.Header)
	if index == nil {
		refuse(ctx)
		return
	}
	route := index.Match(string(ctx.Request.Header.Host()), path)
	if route == nil || route.Type != dispatch.DeferredType {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	m, limits, ok := read(&ctx.Request, route)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	body := ctx.Request.Body()
	takes := s.config.Takes(route.Service, len(body))
	if m.Body = body; takes {
		m.Body = bytes.Clone(body)
	}
	limits.Try = max(limits.Try-held, 0)
	switch s.config.Queue.PutWithin(m, takes, limits) {
	case queueclient.Kept:
		ctx.Response.Header.Set("Msg-Id", m.ID)
		ctx.SetStatusCode(fasthttp.StatusAccepted)
	case queueclient.Refused:
		refuse(ctx)
	default: // no answer promises nothing
		_ = ctx.Conn().Close()
		ctx.SetConnectionClose()
	}
}

// read makes a message of a request, without its body, and says how long it may be tried to be kept.
func read(request *fasthttp.Request, route *catalog.Route) (m *wire.Message, limits queueclient.Limits, ok bool) {
	header := &request.Header
	id, once := single(header, "Request-Id")
	if !once || !isName(id) {
		return nil, limits, false
	}
	key, once := single(header, "Order-Key")
	if !once {
		return nil, limits, false
	}
	delay, fine := figure(header, "Delay-Ms")
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

// deadlineOf is how long the client waits, in milliseconds, 0 if it does not say so: it is only a hint.
func deadlineOf(header *fasthttp.RequestHeader) float64 {
	deadline, fine := figure(header, "Deadline-Ms")
	if !fine {
		return 0
	}
	return deadline
}

func retention(route *catalog.Route) uint32 {
	const thousand = 1000
	return uint32(min(route.RetentionS*thousand, math.MaxUint32))
}

func putLimits(route *catalog.Route, deadlineMs float64) queueclient.Limits {
	if deadlineMs > 0 {
		part := partOfDeadline(deadlineMs, deadlinePart)
		return queueclient.Limits{
			Try:    min(part, longestPut),
			Answer: min(partOfDeadline(deadlineMs, answerPart)-part, longestAnswer),
			Hope:   min(partOfDeadline(deadlineMs, hopePart)-part, longestAnswer),
		}
	}
	target := orElse(milliseconds(route.TargetMs), unknownTarget)
	try := min(max(targetsTried*target, leastPutTime), mostPutTime)
	return queueclient.Limits{Try: try, Answer: longestAnswer, Hope: longestAnswer}
}

func partOfDeadline(deadlineMs, part float64) time.Duration {
	return milliseconds(min(deadlineMs, math.MaxInt32) * part)
}

// isName says whether a text can be a request's id.
func isName(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' || text[i] == 0x7f {
			return false
		}
	}
	return text != ""
}

// figure reads a field that is a number of 0 or more; absent, it is 0.
func figure(h *fasthttp.RequestHeader, name string) (float64, bool) {
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

type stateAnswer struct {
	State     string `json:"state"`
	Signature string `json:"signature,omitempty"`
}

var stateNames = map[wire.State]string{
	wire.StatePending: "pending",
	wire.StateDone:    "done",
	wire.StateDead:    "dead_letter",
	wire.StateDropped: "dead_letter",
}

func (s *Server) tellState(ctx *fasthttp.RequestCtx, id string) {
	found := s.find(ctx, id, false)
	if found == nil {
		return
	}
	answer := stateAnswer{State: stateNames[found.State]}
	if found.State == wire.StateDone {
		answer.Signature = found.Signature
	}
	text, err := json.Marshal(answer)
	if err != nil {
		refuse(ctx)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}

func (s *Server) tellBody(ctx *fasthttp.RequestCtx, id string) {
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

// find asks the queue for a message, and answers the client if it can't be told.
func (s *Server) find(ctx *fasthttp.RequestCtx, id string, body bool) *wire.FindReply {
	found, err := s.config.Queue.Find(id, body)
	switch {
	case err == nil:
		return found
	case errors.Is(err, queueclient.ErrNotFound):
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	default:
		refuse(ctx)
	}
	return nil
}
