// Package frontend is the client side of the platform's protocol: it turns requests into exchanges
// and answers into responses, each exactly once.
package frontend

import (
	"errors"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"ravendale/balancer/deadline"
	"ravendale/balancer/http1"
	"ravendale/balancer/platform"
	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
)

const (
	// LingerFor is how long the other side has to close a connection that was ended here: see conn.end.
	LingerFor = 500 * time.Millisecond

	maxAhead  = http1.MaxHead + http1.MaxBody // bytes kept of requests that came early
	maxUnread = 64 << 10                      // bytes of answers kept for a client that does not read them

	// patience is how long a connection may take to bring its first proper request, and any later one to arrive
	// whole: who sends nothing, or never ends, is to hear of it within 3 s of connecting.
	patience = 2500 * time.Millisecond
	// crowdedPatience is what is left of it while descriptors are short. A usual client sends as soon as it is
	// connected, but the limit on the processor can hold this process up for most of 100 ms.
	crowdedPatience = 150 * time.Millisecond

	// leaveBy is when, after clients were sent away, none is to be left that is idle or comes with a new job: new
	// connections stop after 0.2 s, and whatever is taken by then has time to be answered.
	leaveBy = 1500 * time.Millisecond
)

// Options say what a frontend works with.
type Options struct {
	Loop     *scheduler.Loop
	Accept   func(*scheduler.Exchange)
	Callback func(body []byte) Heard // what a backend server says on the same listener
	Ready    func() bool
	Class    func(name string) int
	Tenant   func(name string) int
	Deadline func(class int) time.Duration         // the longest that a client waits
	Keyed    func(class int) bool                  // requests of that class carry a key
	Limits   *ConnLimits                           // shared by the frontends of one listener
	Crowded  func()                                // tells the others that there is no room, and none to be made here
	Refused  func(class int, why scheduler.Unsent) // counts what is refused here, by why
	ComeBack func() time.Duration                  // when those are to come back, 0 where clients are not told
	Log      *slog.Logger
}

// Heard is what becomes of a call.
type Heard uint8

// What becomes of calls.
const (
	Taken Heard = iota
	Unreadable
	Swamped // whom it is for has too much to do: the server is to come again
)

// ConnLimits is what all frontends of one scheduler have together, whichever loops they are on.
type ConnLimits struct {
	open, active atomic.Int64 // connections, and requests that wait for their answers
	ending       atomic.Int64 // of those connections, that were ended here and linger

	maxIdle   atomic.Int64 // above so many connections idle ones are closed
	maxOpen   atomic.Int64 // above so many, those that have brought no request yet
	maxActive atomic.Int64 // above so many requests in progress, others are refused
}

// Limit sets how many connections there may be from now on. Requests take a half of them at most; what is above
// maxOpen is for call-backs and for clients that have something to say.
func (r *ConnLimits) Limit(accepted int) {
	r.maxIdle.Store(int64(accepted / 2))
	r.maxOpen.Store(int64(accepted * 3 / 4))
	r.maxActive.Store(int64(accepted * 3 / 4))
}

// Open is how many connections there are.
func (r *ConnLimits) Open() int { return int(r.open.Load()) }

// Frontend serves the connections of clients, and of backend servers that call back.
type Frontend struct {
	o          Options
	conns      map[*conn]struct{}
	idle       queue              // connections of clients between requests, longest idle first
	unproven   queue              // connections that have brought no proper request, oldest first
	crowded    *deadline.Deadline // when the oldest of those is to make room
	served     atomic.Int64       // requests and calls so far
	open       atomic.Int64       // connections
	shed       int                // so many of the next answers close their connections
	draining   bool               // answers close their connections, and nothing new is taken
	retired    bool               // another process accepts: answers close their connections
	away       bool               // clients are sent away
	leaveTimer *deadline.Deadline // when they are to be gone
}

// queue holds connections in the order in which they joined.
type queue []*conn

func (q *queue) join(c *conn) { *q = append(*q, c) }

func (q *queue) leave(c *conn) {
	if i := slices.Index(*q, c); i >= 0 {
		*q = slices.Delete(*q, i, i+1)
	}
}

// New returns a frontend.
func New(o Options) *Frontend { return &Frontend{o: o, conns: make(map[*conn]struct{})} }

// Open is how many connections there are here; other goroutines may ask.
func (f *Frontend) Open() int { return int(f.open.Load()) }

// Shed has the next answers, so many of them, close their connections: those on which most is asked come first. Clients and
// servers then connect anew, and may be dealt to a loop that has less to do.
func (f *Frontend) Shed(conns int) { f.shed = conns }

// Served is how many requests and calls have come so far; other goroutines may ask.
func (f *Frontend) Served() int64 { return f.served.Load() }

// Finishing says whether an answer is still being written, or a connection that was ended here still lingers.
func (f *Frontend) Finishing() bool {
	for c := range f.conns {
		if c.ending || c.net.Unwritten() > 0 {
			return true
		}
	}
	return false
}

// Drain ends idle connections of clients, and each of the others with its next answer; what comes from now on is
// refused at once.
func (f *Frontend) Drain() {
	f.draining = true
	f.endIdle()
}

// Retire has each answer close its connection, so that clients come back to the process that accepts in this one's
// place; what is idle is left for them to use. Jobs are taken as before.
func (f *Frontend) Retire(retired bool) { f.retired = retired }

// Clients is how many connections there are but those on which backend servers call back.
func (f *Frontend) Clients() (n int) {
	for c := range f.conns {
		if !c.server {
			n++
		}
	}
	return n
}

// SendAway sends clients away, or has them back; both may be asked again. From now on the scheduler says that it is
// not ready, and each answer closes its connection; what is left of those after a while is ended. Requests on the
// connections there are, are served until then. It is no stop: call-backs come as before.
func (f *Frontend) SendAway(away bool) {
	if away == f.away {
		return
	}
	f.away = away
	f.o.Loop.Deadlines.Drop(f.leaveTimer)
	if f.leaveTimer = nil; away {
		f.leaveTimer = f.o.Loop.After(leaveBy, f.endIdle)
	}
}

// Away says whether clients are sent away.
func (f *Frontend) Away() bool { return f.away }

// refuses says whether no new job is taken.
func (f *Frontend) refuses() bool {
	return f.draining || f.away && f.o.Loop.Now() >= f.leaveTimer.At()
}

// endIdle ends the connections of clients that are between requests.
func (f *Frontend) endIdle() {
	for len(f.idle) > 0 {
		f.idle[0].end()
	}
}

// conn is one accepted connection.
type conn struct {
	f        *Frontend
	net      transport.Conn
	in       http1.Requests
	since    time.Duration
	current  *scheduler.Exchange // the request that waits for its answer
	proven   bool                // it has brought a proper request
	closes   bool                // its answer closes the connection
	closing  bool                // nothing more is read
	ending   bool                // it was ended here, and counts among those
	flooded  bool                // more came than is kept
	server   bool                // a backend server calls back here
	isIdle   bool
	timer    *deadline.Deadline
	response []byte
}

// Opened takes a connection that was accepted.
func (f *Frontend) Opened(c transport.Conn) transport.Handler {
	n := &conn{f: f, net: c, since: f.o.Loop.Now()}
	f.conns[n] = struct{}{}
	f.unproven.join(n)
	n.timer = f.o.Loop.After(patience, n.overdue)
	f.o.Limits.open.Add(1)
	f.open.Add(1)
	f.ShedIdle()
	if r := f.o.Limits; f.o.Crowded != nil && r.open.Load() > r.maxIdle.Load() {
		f.o.Crowded()
	}
	return n
}

// ShedIdle guards the descriptors: first connections that brought nothing for some time make room, oldest first,
// then idle ones of clients, longest idle first. Without it silent connections fill the table, and clients and
// backend servers that call back wait unseen in the system's queue.
func (f *Frontend) ShedIdle() {
	now, r := f.o.Loop.Now(), f.o.Limits
	if r.open.Load() > r.maxOpen.Load() {
		for len(f.unproven) > 0 && now-f.unproven[0].since >= crowdedPatience {
			f.unproven[0].drop()
		}
	}
	for r.open.Load()-r.ending.Load() > r.maxIdle.Load() && len(f.idle) > 0 {
		f.idle[0].end()
	}
	if r.open.Load() > r.maxOpen.Load() && len(f.unproven) > 0 && f.crowded == nil {
		f.crowded = f.o.Loop.Deadlines.Add(f.unproven[0].since+crowdedPatience, func() {
			f.crowded = nil
			f.ShedIdle()
		})
	}
}

func (c *conn) Connected() {}

func (c *conn) Data(b []byte) {
	if c.closing || c.flooded {
		return
	}
	c.in.Feed(b)
	if c.current != nil {
		// A request that came before the last one's answer waits. Guards the memory against a client that
		// never stops sending: the answer owed is given, the rest is not read.
		if c.flooded = c.in.Buffered() > maxAhead; c.flooded {
			c.f.o.Log.Debug("flooded", "client", c.net.Peer(), "id", c.current.ID)
			c.net.Ignore()
		}
		return
	}
	c.pump()
}

// pump takes requests until one has to wait for its answer.
func (c *conn) pump() {
	for c.current == nil && !c.closing {
		req, err := c.in.Next()
		if err != nil {
			status := 400
			var e *http1.Error
			if errors.As(err, &e) {
				status = e.Status
			}
			c.reject(status, err.Error())
			return
		}
		if req == nil {
			if c.in.AwaitsContinue() {
				c.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
			c.await()
			return
		}
		c.setIdle(false)
		c.serve(req)
	}
}

// await bounds how long half a request may take, from its first byte on.
func (c *conn) await() {
	if c.in.Partial() && c.timer == nil {
		c.setIdle(false)
		c.timer = c.f.o.Loop.After(patience, c.overdue)
	}
}

// overdue ends a connection whose request did not come, or not whole.
func (c *conn) overdue() {
	if c.in.Partial() {
		c.reject(408, "the request did not come whole in time")
	} else {
		c.end()
	}
}

// prove tells that the connection has brought a proper request: only then does the time for that end.
func (c *conn) prove() {
	c.f.o.Loop.Deadlines.Drop(c.timer)
	c.timer = nil
	if !c.proven {
		c.proven = true
		c.f.unproven.leave(c)
	}
}

func (c *conn) serve(req *http1.Request) {
	path, query, _ := strings.Cut(req.Target, "?")
	c.f.served.Add(1)
	switch {
	case path == platform.PathCallback && req.Method == "POST":
		switch c.f.o.Callback(req.Body) {
		case Unreadable:
			c.reject(400, "the call can't be read")
			return
		case Swamped:
			c.drop() // not answered, it comes again
			return
		}
		// Whatever it says is answered, or it would come again.
		c.server = true
		c.prove()
		c.respond(204, nil, nil, req.Close)
	case path == platform.PathReady && req.Method == "GET":
		if c.prove(); c.f.o.Ready() && !c.f.away {
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
	c.prove()
	// Nothing of this request has run anywhere: it may be refused whatever its class. A scheduler that leaves does
	// not ask its clients to wait: another may have room.
	switch {
	case f.refuses():
		f.o.Refused(facts.Class, scheduler.Leaving)
		c.answer(scheduler.Answer{Kind: scheduler.Refused}, true)
		return
	case f.o.Limits.active.Load() >= f.o.Limits.maxActive.Load():
		f.o.Refused(facts.Class, scheduler.NoCapacity)
		c.answer(scheduler.Answer{Kind: scheduler.Refused, RetryAfter: f.o.ComeBack()}, true)
		return
	}
	ex := &scheduler.Exchange{ID: req.Header.Get(platform.HeaderID), Facts: facts, Message: &platform.Message{
		Method: req.Method, Target: req.Target, Key: req.Header.Get(platform.HeaderKey),
		ContentType: req.Header.Get("Content-Type"), Body: req.Body}}
	c.closes = req.Close
	c.serveBy(ex)
	f.o.Accept(ex)
}

// serveBy has a request of this connection answered by way of an exchange.
func (c *conn) serveBy(ex *scheduler.Exchange) {
	ex.Holder = c
	// Where the scheduler is on another loop, an answer may cross the end of its connection.
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

// Transferable returns the connection of a request in progress for another process to answer on, and whether the answer closes
// it. It returns false where this side has more to do with it: bytes of another request have come, or the answer to an earlier
// one is still being written.
func (f *Frontend) Transferable(ex *scheduler.Exchange) (net transport.Conn, closes, ok bool) {
	c, ours := ex.Holder.(*conn)
	if !ours || c.current != ex || c.closing || c.flooded || c.in.Buffered() > 0 || c.net.Unwritten() > 0 {
		return nil, false, false
	}
	return c.net, c.closes, true
}

// Release forgets the connection of a request that another process answers.
func (f *Frontend) Release(ex *scheduler.Exchange) {
	c := ex.Holder.(*conn)
	c.hold(nil)
	c.forget()
}

// Adopt takes a connection on which a request waits that another process read.
func (f *Frontend) Adopt(net transport.Conn, ex *scheduler.Exchange, closes bool) transport.Handler {
	c := &conn{f: f, net: net, since: f.o.Loop.Now(), proven: true, closes: closes}
	f.conns[c] = struct{}{}
	f.o.Limits.open.Add(1)
	f.open.Add(1)
	c.serveBy(ex)
	return c
}

// hold sets which request of the connection waits for its answer.
func (c *conn) hold(ex *scheduler.Exchange) {
	if c.current != nil {
		c.f.o.Limits.active.Add(-1)
	}
	if c.current = ex; ex != nil {
		c.f.o.Limits.active.Add(1)
	}
}

// facts reads what the decision module is told, or names what can't be read. Guards against serving what no usual
// client sends, and against passing it on: an id of another form, seen by a server, voids a day.
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

// queryValue returns the first value of a name. One that holds escapes is of another form than the hex that is wanted.
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

// isID says whether an id has the form that clients give it.
func isID(id string) bool {
	for i := range len(id) {
		if c := id[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(id) == 16
}

// answer writes the final answer to a request.
func (c *conn) answer(a scheduler.Answer, closes bool) {
	switch a.Kind {
	case scheduler.Served:
		c.respond(200, nil, a.Result, closes)
	case scheduler.Refused:
		var h http1.Header
		if a.RetryAfter > 0 {
			h = http1.Header{{Name: platform.HeaderRetryWait, Value: strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64)}}
		}
		c.respond(503, h, nil, closes)
	default:
		c.respond(504, nil, nil, closes)
	}
}

// reject answers what can't be read, and reads no more of it: what follows may be anything. The client is told why; a line of
// the log for each would have many bad ones fill that.
func (c *conn) reject(status int, reason string) {
	c.f.o.Log.Debug("rejected", "client", c.net.Peer(), "status", status, "why", reason)
	c.respond(status, nil, []byte(reason+"\n"), true)
}

// respond writes a response.
func (c *conn) respond(status int, h http1.Header, content []byte, closes bool) {
	closes = closes || (c.f.draining || c.f.away || c.f.retired) && !c.server
	if c.f.shed > 0 {
		c.f.shed--
		closes = true
	}
	if closes {
		h = append(h, http1.Field{Name: "Connection", Value: "close"})
	}
	c.response = http1.AppendResponse(c.response[:0], status, h, content)
	c.net.Write(c.response)
	if c.net.Unwritten() > maxUnread {
		c.drop() // guards the memory against a client that asks and does not read
		return
	}
	if !closes {
		c.setIdle(!c.server)
		return
	}
	c.end()
}

// end ends a connection to which nothing more is said. The other side sees what was, and then that nothing follows, and has
// LingerFor to close. What still comes crossed the end, as by the protocol a request may that its client then sends anew: it is
// read and goes nowhere. Unread, it had the system reset the connection, and answers on their way went with it (RFC 9112,
// section 9.6).
func (c *conn) end() {
	c.setIdle(false)
	c.f.unproven.leave(c)
	c.closing, c.ending = true, true
	c.f.o.Limits.ending.Add(1)
	c.net.Finish()
	c.f.o.Loop.Deadlines.Drop(c.timer)
	c.linger(c.net.Unwritten())
}

// linger looks again after LingerFor whether the other side still takes what is left of the last answer, and else closes.
func (c *conn) linger(left int) {
	c.timer = c.f.o.Loop.After(LingerFor, func() {
		if now := c.net.Unwritten(); now < left {
			c.linger(now)
		} else {
			c.drop()
		}
	})
}

// setIdle keeps the list of idle connections.
func (c *conn) setIdle(idle bool) {
	if idle == c.isIdle {
		return
	}
	c.isIdle = idle
	if idle {
		c.f.idle.join(c)
	} else {
		c.f.idle.leave(c)
	}
}

// drop closes a connection at once: one that lingered, or whose descriptor is wanted now.
func (c *conn) drop() {
	c.forget()
	c.net.Close()
}

func (c *conn) forget() {
	c.setIdle(false)
	c.f.unproven.leave(c)
	c.closing = true
	c.f.o.Loop.Deadlines.Drop(c.timer)
	if _, open := c.f.conns[c]; open {
		c.f.o.Limits.open.Add(-1)
		c.f.open.Add(-1)
		delete(c.f.conns, c)
		if c.ending {
			c.f.o.Limits.ending.Add(-1)
		}
	}
}

func (c *conn) Closed(error) {
	c.forget()
	if ex := c.current; ex != nil {
		c.hold(nil)
		ex.Left()
	}
}
