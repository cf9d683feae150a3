package frontend

import (
	"strconv"
	"strings"
	"time"

	"ravendale/balancer/http1"
	"ravendale/balancer/platform"
	"ravendale/balancer/scheduler"
)

func (c *conn) serve(req *http1.Request) {
	path, query, _ := strings.Cut(req.Target, "?")
	c.f.served.Add(1)
	switch {
	case path == platform.PathCallback && req.Method == "POST":
		switch c.f.o.Callback(req.Body) {
		case CallbackMalformed:
			c.reject(400, "the call can't be read")
			return
		case CallbackOverloaded:
			c.drop() // without an answer, the server will retry the call
			return
		}
		// Every readable call is answered, or the server would repeat it.
		c.hasCallbacks = true
		c.markValid()
		c.respond(204, nil, nil, req.Close)
	case path == platform.PathReady && req.Method == "GET":
		if c.markValid(); c.f.o.Ready() && !c.f.away {
			c.respond(200, nil, []byte("ready\n"), req.Close)
		} else {
			c.respond(503, nil, []byte("not ready\n"), req.Close)
		}
	case req.Method != "POST" && req.Header.Get(platform.HeaderID) == "":
		c.reject(404, "nothing is here")
	case req.Method != "POST":
		c.reject(405, "jobs come by POST")
	default:
		c.job(req, query)
	}
}

// job hands a client's request to the scheduler.
func (c *conn) job(req *http1.Request, query string) {
	f := c.f
	facts, problem := f.facts(req, query)
	if problem != "" {
		c.reject(400, problem)
		return
	}
	c.markValid()
	// The request has not been sent anywhere, so it may be refused whatever its class. A scheduler that is leaving sends no
	// Retry-After: another one may have capacity now.
	switch {
	case f.refuses():
		f.o.Refused(facts.Class, scheduler.Leaving)
		c.answer(scheduler.Answer{Kind: scheduler.Refused}, true)
		return
	case f.o.Limits.active.Load() >= f.o.Limits.maxActive.Load():
		f.o.Refused(facts.Class, scheduler.NoCapacity)
		c.answer(scheduler.Answer{Kind: scheduler.Refused, RetryAfter: f.o.RetryAfter()}, true)
		return
	}
	ex := &scheduler.Exchange{ID: req.Header.Get(platform.HeaderID), Facts: facts, Message: &platform.Message{
		Method: req.Method, Target: req.Target, Key: req.Header.Get(platform.HeaderKey),
		ContentType: req.Header.Get("Content-Type"), Body: req.Body}}
	c.closes = req.Close
	c.serveBy(ex)
	f.o.Accept(ex)
}

// serveBy makes ex the current request of the connection, and sets its callbacks to answer there.
func (c *conn) serveBy(ex *scheduler.Exchange) {
	ex.Holder = c
	// If the scheduler runs on another loop, the connection may have ended before the answer arrives.
	ex.Answer = func(a scheduler.Answer) {
		if c.current == ex {
			c.hold(nil)
			c.answer(a, c.closes || c.flooded)
			c.pump()
		}
	}
	ex.Repeated = func() {
		if c.current == ex {
			c.hold(nil)
			c.reject(409, "that id was here before")
		}
	}
	c.hold(ex)
}

// facts parses what the decision module needs from a request, and returns the problem if the request is invalid. It is strict, so
// that no request is served or forwarded that a usual client would not send: an ID of another form that reaches a server
// voids a day.
func (f *Frontend) facts(req *http1.Request, query string) (facts scheduler.Facts, problem string) {
	h := req.Header
	for _, name := range []string{platform.HeaderID, platform.HeaderClass, platform.HeaderLeft, platform.HeaderKey} {
		if h.Count(name) > 1 {
			return facts, name + " is given twice"
		}
	}
	if !isID(h.Get(platform.HeaderID)) {
		return facts, platform.HeaderID + " is not 16 hex digits"
	}
	facts = scheduler.Facts{Class: f.o.Class(h.Get(platform.HeaderClass)), Tenant: f.o.Tenant(h.Get(platform.HeaderTenant)),
		Retry: h.Get(platform.HeaderRetry) == "1"}
	if facts.Class < 0 {
		return facts, platform.HeaderClass + " names no class"
	}
	if f.o.Keyed(facts.Class) && h.Get(platform.HeaderKey) == "" {
		return facts, platform.HeaderKey + " is missing"
	}
	ms, err := strconv.ParseUint(h.Get(platform.HeaderLeft), 10, 31)
	if err != nil {
		return facts, platform.HeaderLeft + " is no time in milliseconds"
	}
	facts.Left = time.Duration(ms) * time.Millisecond
	if longest := f.o.Deadline(facts.Class); longest > 0 {
		facts.Left = min(facts.Left, longest)
	}
	facts.Key, _ = strconv.ParseUint(queryValue(query, platform.QueryKey), 16, 64)
	if ms, err := strconv.ParseFloat(h.Get(platform.HeaderHint), 64); err == nil && ms > 0 && ms < 1e9 {
		facts.Work = time.Duration(ms * float64(time.Millisecond))
	}
	labels := h.Get(platform.HeaderLabels)
	for labels != "" {
		var label string
		label, labels, _ = strings.Cut(labels, ",")
		name, value, _ := strings.Cut(strings.TrimSpace(label), "=")
		var figure *float64
		switch name {
		case "slots":
			figure = &facts.Slots
		case "memory":
			figure = &facts.Memory
		default:
			continue
		}
		if *figure, err = strconv.ParseFloat(value, 64); err != nil || !(*figure >= 0 && *figure < 1e9) {
			return facts, platform.HeaderLabels + ": " + name + " is no figure"
		}
	}
	return facts, ""
}

// queryValue returns the first value of a query parameter. It does not decode escapes, since the hex digits expected in it
// need none.
func queryValue(query, name string) string {
	for query != "" {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		if value, found := strings.CutPrefix(pair, name); found && strings.HasPrefix(value, "=") {
			return value[1:]
		}
	}
	return ""
}

// isID reports whether an ID has the form that clients use: 16 lower-case hex digits.
func isID(id string) bool {
	for i := range len(id) {
		if c := id[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(id) == 16
}
