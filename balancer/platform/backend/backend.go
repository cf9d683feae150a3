// Package backend is the server side of the platform's protocol: it carries dispatches to backend servers and
// hears from them, by their responses and by their call-backs, what became of each.
package backend

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"ravendale"
	"ravendale/balancer/deadline"
	"ravendale/balancer/http1"
	"ravendale/balancer/platform"
	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
)

// responseWithin bounds how long a connection waits for a response that nothing depends on any more.
const responseWithin = 2 * time.Second

// holdLeast and holdMost bound how long the last byte of a request is held back: see link.hold.
const holdLeast, holdMost = time.Millisecond, 10 * time.Millisecond

// echoWithin is how long after an answer the same server may give another to the same request: some milliseconds, by the users' page.
const echoWithin = 20 * time.Millisecond

// waryFor is how long after a kept connection to a server broke under a request others are thought to break as well.
const waryFor = 10 * time.Second

const mostHabits = 1024

// silentAfter is when a server should long have said that it took a job: it takes 0.5 to 50 ms, and servers that stand
// still do so for 80 ms.
const silentAfter = 250 * time.Millisecond

// Options say what the backend works with.
type Options struct {
	Loop           *scheduler.Loop
	Network        transport.Network
	Address        func(server string) string // "" if unknown
	ConnectTimeout time.Duration
	IdleClose      time.Duration     // servers close what has been idle so long
	Conns          *Conns            // shared by the backends of one scheduler
	Full           func()            // tells the others that a connection is wanted, and none here is idle
	Stray          func(body []byte) // takes calls on attempts that are not out here
	Log            *slog.Logger
}

// Conns bounds the connections to all servers together, whichever loops they are on.
type Conns struct{ open, most atomic.Int64 }

// Limit sets how many there may be from now on.
func (c *Conns) Limit(most int) { c.most.Store(int64(most)) }

// Open is how many there are.
func (c *Conns) Open() int { return int(c.open.Load()) }

// Backend holds the connections to all backend servers, and the attempts that are out.
type Backend struct {
	o      Options
	live   map[place]*attempt
	byJob  map[*scheduler.Dispatch]*attempt
	idle   map[string][]*link // by address, newest last
	habits map[string]*habit  // of servers, by address
	// withdrawing are the DELETEs on their way. A new attempt of that request at that server waits
	// behind them: they name only the request, and would end the new attempt too.
	withdrawing map[place]*withdrawal
}

// place is where one request is at one server; there is one attempt at a time.
type place struct{ id, server string }

type withdrawal struct{ waiting *attempt }

// New returns a backend without connections.
func New(o Options) *Backend {
	return &Backend{o: o, live: make(map[place]*attempt), byJob: make(map[*scheduler.Dispatch]*attempt),
		idle: make(map[string][]*link), withdrawing: make(map[place]*withdrawal), habits: make(map[string]*habit)}
}

// habit is what was seen of a server's connections.
type habit struct {
	prompt  time.Duration // the shortest time in which it has answered on a kept one, 0 until seen
	brokeAt time.Duration // when a kept one last broke under a request, 0 for never
}

// habit returns what is known of an address. Servers come and go: past a bound all is learnt anew.
func (b *Backend) habit(addr string) *habit {
	h := b.habits[addr]
	if h == nil {
		if len(b.habits) >= mostHabits {
			clear(b.habits)
		}
		h = &habit{}
		b.habits[addr] = h
	}
	return h
}

// stage is how far an attempt has come.
type stage uint8

const (
	waiting  stage = iota // behind a withdrawal
	dialling              // nothing is written
	held                  // all but the last byte is written: it can't have run
	written               // it may have run
	accepted              // the server answered 202
	over
)

// attempt is a dispatch as this side sees it.
type attempt struct {
	d     *scheduler.Dispatch
	at    place
	addr  string
	stage stage
	link  *link // until its response has come
	heard bool  // the server has called back about it
	sent  bool  // counted as written whole
}

// Send begins a dispatch.
func (b *Backend) Send(d *scheduler.Dispatch) {
	a := &attempt{d: d, at: place{d.Exchange().ID, d.Worker}, addr: b.o.Address(d.Worker)}
	if a.addr == "" || b.live[a.at] != nil {
		a.stage = over
		d.End(ravendale.NotSent, nil)
		return
	}
	b.live[a.at], b.byJob[d] = a, a
	if w := b.withdrawing[a.at]; w != nil {
		w.waiting = a
		return
	}
	b.start(a)
}

// start finds a connection for an attempt.
func (b *Backend) start(a *attempt) {
	a.stage = dialling
	if !b.wary(a) {
		if l := b.take(a.addr); l != nil {
			l.carry(a)
			return
		}
	}
	l := b.dial(a.addr)
	if l == nil {
		b.end(a, ravendale.NotSent, nil)
		return
	}
	l.attempt, a.link = a, l
}

// wary says whether an attempt is to go on a new connection, which shows first that it is alive: one that may not be
// repeated, while the server's kept connections break.
func (b *Backend) wary(a *attempt) bool {
	broke := b.habit(a.addr).brokeAt
	return !a.d.Repeatable() && broke > 0 && b.o.Loop.Now()-broke < waryFor
}

// end ends an attempt, once, and tells its outcome.
func (b *Backend) end(a *attempt, outcome ravendale.Outcome, result []byte) {
	if b.drop(a) {
		a.d.End(outcome, result)
	}
}

// drop forgets an attempt; it returns false for one that is over already.
func (b *Backend) drop(a *attempt) bool {
	if a.stage == over {
		return false
	}
	a.stage = over
	delete(b.live, a.at)
	delete(b.byJob, a.d)
	if w := b.withdrawing[a.at]; w != nil && w.waiting == a {
		w.waiting = nil
	}
	return true
}

// Withdraw gives up an attempt: by DELETE where the server may have the whole request, and by closing its connection until the 202 has
// come. A 202 may be on its way then, and a server that has sent it takes the close for no cancel: so until the 202 it is both. The
// close goes first, for a DELETE that overtakes the request finds nothing to end.
func (b *Backend) Withdraw(d *scheduler.Dispatch) {
	a := b.byJob[d]
	if a == nil {
		return
	}
	was, begun := a.stage, a.begun()
	b.drop(a)
	switch was {
	case dialling:
		a.link.attempt = nil // the connection is made all the same, for the next
	case held, written:
		a.link.close()
	}
	if begun {
		b.withdraw(a)
	}
}

// Retract ends a dispatch that has not begun.
func (b *Backend) Retract(d *scheduler.Dispatch) {
	if a := b.byJob[d]; a != nil && !a.begun() {
		b.Withdraw(d)
		d.End(ravendale.NotSent, nil)
	}
}

// begun says whether the server may have the whole request, with the last byte of which it begins.
func (a *attempt) begun() bool {
	return a.stage > written || a.stage == written && a.link.net.Unwritten() == 0
}

// Settled says whether a dispatch lives on without any connection of this process: its server has taken it.
func (b *Backend) Settled(d *scheduler.Dispatch) bool {
	a := b.byJob[d]
	return a != nil && a.stage == accepted
}

// Release forgets a dispatch that another process goes on with. Calls on it are a stranger's from now on.
func (b *Backend) Release(d *scheduler.Dispatch) {
	if a := b.byJob[d]; a != nil {
		b.drop(a)
	}
}

// Adopt goes on with a dispatch that another process released.
func (b *Backend) Adopt(d *scheduler.Dispatch) {
	a := &attempt{d: d, at: place{d.Exchange().ID, d.Worker}, addr: b.o.Address(d.Worker), stage: accepted, heard: true, sent: true}
	b.live[a.at], b.byJob[d] = a, a
}

// withdraw sends a DELETE, once more on a new connection where an idle one turned out to be closed.
func (b *Backend) withdraw(a *attempt) {
	if a.addr == "" {
		return // adopted, and its server is listed no more: nobody is there to be told
	}
	w := &withdrawal{}
	b.withdrawing[a.at] = w
	done := func() {
		delete(b.withdrawing, a.at)
		if w.waiting != nil {
			b.start(w.waiting)
		}
	}
	request := http1.AppendRequest(nil, "DELETE", platform.PathJobs+a.at.id, a.addr, nil, nil)
	attempt := func(l *link, lost func()) {
		l.request, l.replied, l.failed = request, done, lost
	}
	if l := b.take(a.addr); l != nil {
		attempt(l, func() {
			if again := b.dial(a.addr); again != nil {
				attempt(again, done)
			} else {
				done()
			}
		})
		l.Connected()
	} else if l := b.dial(a.addr); l != nil {
		attempt(l, done)
	} else {
		done()
	}
}

// Avoid keeps what is not yet on its way from a server that drains or has gone: a drain counts
// from a send's first byte.
func (b *Backend) Avoid(server string) {
	for at, a := range b.live {
		if at.server != server || a.stage > dialling {
			continue
		}
		if a.link != nil {
			a.link.attempt = nil
		}
		b.end(a, ravendale.NotSent, nil)
	}
}

// MakeRoom closes idle connections while there are more than there may be.
func (b *Backend) MakeRoom() {
	for b.o.Conns.open.Load() > b.o.Conns.most.Load() && b.closeIdle() {
	}
}

// Callback takes what a server says of a job, and returns false for what can't be read. Words on attempts that
// are not out, late or repeated ones say, change nothing here: while two processes are one scheduler, they may be meant
// for the other. A server calls whoever accepts, or on the connection that it has.
func (b *Backend) Callback(body []byte) bool {
	s := Read(body)
	if s != nil && !b.Hear(s) {
		b.o.Stray(body)
	}
	return s != nil
}

// Hear takes what a server says, and returns false where that attempt is not out here.
func (b *Backend) Hear(s *Said) bool {
	a := b.live[place{s.ID, s.From}]
	if a != nil {
		b.word(a, s)
	}
	return a != nil
}

func (b *Backend) word(a *attempt, s *Said) {
	if a.stage < written {
		return // it has not run here: a stranger's word, or another attempt's
	}
	a.heard = true
	switch s.State {
	case "started":
		a.d.Started()
	case "running":
		a.d.Progressed(s.Share)
	case "done":
		b.settle(a, ravendale.OK, result(s.Result))
	case "failed":
		b.settle(a, ravendale.Error, nil)
	case "returned":
		b.settle(a, ravendale.Overloaded, nil)
	case "lost":
		b.settle(a, ravendale.Reset, nil)
	}
}

// result is the text of a JSON string, or the JSON itself where it is none.
func result(raw json.RawMessage) []byte {
	if n := len(raw); n >= 2 && raw[0] == '"' && bytes.IndexByte(raw, '\\') < 0 {
		return raw[1 : n-1] // no escapes: the usual case, in which the JSON is read only once
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return []byte(text)
	}
	return raw
}

// settle ends an attempt by the server's word. Its connection may still wait for the 202.
func (b *Backend) settle(a *attempt, outcome ravendale.Outcome, result []byte) {
	if a.link != nil {
		a.link.expect(responseWithin)
	}
	b.end(a, outcome, result)
}

// take returns the newest idle connection to an address, or nil.
func (b *Backend) take(addr string) *link {
	stack := b.idle[addr]
	if len(stack) == 0 {
		return nil
	}
	l := stack[len(stack)-1]
	l.unidle()
	return l
}

// dial begins a connection, or returns nil where there is no descriptor left for it.
func (b *Backend) dial(addr string) *link {
	if c := b.o.Conns; c.open.Add(1) > c.most.Load() && !b.closeIdle() {
		c.open.Add(-1)
		b.o.Log.Warn("no connection left for a backend server", "open", c.Open())
		if b.o.Full != nil {
			b.o.Full()
		}
		return nil
	}
	b.o.Log.Debug("dial", "addr", addr)
	l := &link{b: b, addr: addr}
	l.timer = b.o.Loop.After(b.o.ConnectTimeout, func() { l.lost() })
	l.net = b.o.Network.Dial(addr, l)
	return l
}

// CloseIdle closes one idle connection, if there is any: another loop wants one.
func (b *Backend) CloseIdle() { b.closeIdle() }

// closeIdle makes room for one connection.
func (b *Backend) closeIdle() bool {
	for _, stack := range b.idle {
		if len(stack) > 0 {
			stack[0].close()
			return true
		}
	}
	return false
}

// link is one connection to a backend server. It carries one request at a time: an attempt, or a DELETE.
type link struct {
	b       *Backend
	addr    string
	net     transport.Conn
	in      http1.Responses
	up      bool
	busy    bool // a response is awaited
	isIdle  bool
	closed  bool
	uses    int // requests that it has carried
	wroteAt time.Duration
	readAt  time.Duration // when its last response came
	attempt *attempt
	request []byte // a DELETE, with what is to happen upon its response or its loss
	replied func()
	failed  func()
	timer   *deadline.Deadline
}

func (l *link) Connected() {
	l.up = true
	l.b.o.Loop.Deadlines.Drop(l.timer)
	switch {
	case l.attempt != nil:
		l.carry(l.attempt)
	case l.request != nil:
		l.busy = true
		l.expect(responseWithin)
		l.net.Write(l.request)
	default:
		l.rest()
	}
}

// carry writes an attempt, if it may still begin.
func (l *link) carry(a *attempt) {
	if !a.d.Due(l.b.o.Loop.Now()) || a.d.MayBegin != nil && !a.d.MayBegin() {
		l.attempt = nil
		l.rest()
		l.b.end(a, ravendale.NotSent, nil)
		return
	}
	l.attempt, a.link, l.busy = a, l, true
	l.uses++
	m, ok := a.d.Exchange().Message.(*platform.Message)
	if !ok {
		l.attempt = nil
		l.b.end(a, ravendale.NotSent, nil)
		l.close()
		return
	}
	left := max(a.d.Deadline-l.b.o.Loop.Now(), 0)
	h := append(make(http1.Header, 0, 4), http1.Field{Name: platform.HeaderID, Value: a.at.id},
		http1.Field{Name: platform.HeaderLeft, Value: strconv.FormatInt(int64(left/time.Millisecond), 10)})
	if m.Key != "" {
		h = append(h, http1.Field{Name: platform.HeaderKey, Value: m.Key})
	}
	if m.ContentType != "" {
		h = append(h, http1.Field{Name: "Content-Type", Value: m.ContentType})
	}
	request := http1.AppendRequest(nil, m.Method, m.Target, l.addr, h, m.Body)
	if a.d.Repeatable() {
		l.finish(request)
		return
	}
	// A server begins a request when its last byte has come, and a connection that is gone unseen breaks at the first
	// bytes. With the last byte held back until that would have shown, a break proves that nothing ran, and the
	// request may go elsewhere; in doubt it could not be sent again.
	last := len(request) - 1
	a.stage = held
	l.net.Write(request[:last])
	l.timer = l.b.o.Loop.After(l.hold(), func() { l.finish(request[last:]) })
}

// hold is how long a break takes to show: a round trip, and so no longer than the server's fastest answer. On a connection that was
// answered on just now it is for as long as a second answer may come to the request before. Nothing tells that from the answer to this
// one, once this is whole: taken for 'turned away', it had what ran sent again.
func (l *link) hold() time.Duration {
	hold := min(max(l.b.habit(l.addr).prompt, holdLeast), holdMost)
	if l.readAt > 0 {
		hold = max(hold, l.readAt+echoWithin-l.b.o.Loop.Now())
	}
	return hold
}

// finish writes the rest of an attempt's request: from now on it may run.
func (l *link) finish(rest []byte) {
	a := l.attempt
	if !a.d.Due(l.b.o.Loop.Now()) { // its time ran out while the byte was held back
		l.attempt = nil
		l.close()
		l.b.end(a, ravendale.NotSent, nil)
		return
	}
	a.stage, l.wroteAt = written, l.b.o.Loop.Now()
	l.net.Write(rest)
	l.count(a)
	// Guards against connections that fell silent, whose end nobody tells: the job would wait for its client's time.
	l.b.o.Loop.Deadlines.Drop(l.timer)
	l.timer = l.b.o.Loop.After(silentAfter, func() {
		if a.stage == written && !a.heard {
			a.d.Silent()
		}
	})
}

// count counts an attempt once all of it has been handed to the system, which may be later than it was written.
func (l *link) count(a *attempt) {
	if !a.sent && l.net.Unwritten() == 0 {
		a.sent = true
		a.d.Sent()
	}
}

func (l *link) Data(data []byte) {
	if !l.busy { // a server that speaks unasked is of no use
		l.b.o.Log.Info("a backend server spoke unasked", "addr", l.addr, "after", l.b.o.Loop.Now()-l.readAt)
		l.close()
		return
	}
	l.in.Feed(data)
	resp, err := l.in.Next()
	if err != nil {
		l.b.o.Log.Info("an answer of a backend server can't be read", "addr", l.addr, "err", err)
		l.lost()
		return
	}
	if resp == nil {
		return
	}
	l.busy, l.readAt = false, l.b.o.Loop.Now()
	l.b.o.Loop.Deadlines.Drop(l.timer)
	a, replied := l.attempt, l.replied
	l.attempt, l.request, l.replied, l.failed = nil, nil, nil, nil
	if resp.Close || l.in.Buffered() > 0 || a != nil && a.stage == held {
		l.close()
	} else {
		l.rest()
	}
	if a != nil && a.stage >= written {
		l.count(a)
	}
	switch {
	case replied != nil:
		replied()
	case a != nil && a.stage == held: // answered before the request was whole
		l.b.end(a, ravendale.ConnectFailed, nil)
	case a == nil || a.stage != written:
	case resp.Status == 202:
		a.stage, a.link = accepted, nil
		if took, h := l.b.o.Loop.Now()-l.wroteAt, l.b.habit(l.addr); l.uses > 1 && (h.prompt == 0 || took < h.prompt) {
			h.prompt = took
		}
	case (resp.Status == 503 || resp.Status == 504) && resp.Header.Get(platform.HeaderNotRun) == "1":
		l.b.end(a, ravendale.Overloaded, nil)
	default:
		if resp.Status != 500 {
			l.b.o.Log.Warn("unexpected answer of a backend server", "server", a.at.server, "status", resp.Status)
		}
		if resp.Status/100 == 4 {
			l.b.end(a, ravendale.Rejected, nil)
		} else {
			l.b.end(a, ravendale.Error, nil)
		}
	}
}

// rest puts a connection among the idle ones, until safely before its server would close it.
func (l *link) rest() {
	l.isIdle = true
	l.b.idle[l.addr] = append(l.b.idle[l.addr], l)
	l.timer = l.b.o.Loop.After(l.b.o.IdleClose-l.b.o.IdleClose/5, l.close)
}

func (l *link) unidle() {
	if !l.isIdle {
		return
	}
	l.isIdle = false
	l.b.o.Loop.Deadlines.Drop(l.timer)
	stack := l.b.idle[l.addr]
	for i := len(stack) - 1; i >= 0; i-- {
		if stack[i] == l {
			stack = append(stack[:i], stack[i+1:]...)
			break
		}
	}
	if l.b.idle[l.addr] = stack; len(stack) == 0 {
		delete(l.b.idle, l.addr)
	}
}

// expect closes the connection unless a response comes in time.
func (l *link) expect(within time.Duration) {
	l.b.o.Loop.Deadlines.Drop(l.timer)
	l.timer = l.b.o.Loop.After(within, l.lost)
}

// close ends the connection from this side; nothing depends on it.
func (l *link) close() {
	if l.closed {
		return
	}
	l.closed = true
	l.unidle()
	l.b.o.Conns.open.Add(-1)
	l.b.o.Loop.Deadlines.Drop(l.timer)
	l.net.Close()
}

func (l *link) Closed(error) { l.lost() }

// lost ends the connection and what it carried. That never ran where no connection came up, or where
// the request's last byte is known not to have left; in doubt it may have run.
func (l *link) lost() {
	if l.closed {
		return
	}
	a, failed := l.attempt, l.failed
	l.attempt, l.failed, l.replied = nil, nil, nil
	l.close()
	if a != nil && a.stage != over && l.uses > 1 {
		l.b.habit(l.addr).brokeAt = l.b.o.Loop.Now()
	}
	switch {
	case failed != nil:
		failed()
	case a == nil || a.stage == over:
	case !l.up || a.stage < written || l.net.Unwritten() > 0:
		if l.uses > 1 {
			l.b.end(a, ravendale.NotSent, nil) // a kept connection had ended: that says nothing of the server
		} else {
			l.b.end(a, ravendale.ConnectFailed, nil)
		}
	default:
		l.b.end(a, ravendale.Reset, nil)
	}
}
