package frontend

import (
	"log/slog"
	"sync/atomic"
	"time"

	"ravendale/balancer/deadline"
	"ravendale/balancer/http1"
	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
)

const (
	// LingerFor is how long the peer has to close a connection that was ended on this side: see conn.end.
	LingerFor = 500 * time.Millisecond

	maxAhead  = http1.MaxHead + http1.MaxBody // maximum number of bytes buffered of requests that arrive before the current one is answered
	maxUnread = 64 << 10                      // maximum number of bytes of responses buffered for a client that does not read them

	// requestTimeout is how long a connection may take to send its first valid request, and any later one to arrive
	// completely: a client that sends nothing, or never ends its request, must be rejected within 3 s of connecting.
	requestTimeout = 2500 * time.Millisecond
	// crowdedRequestTimeout is the limit for the first valid request while descriptors are scarce. A usual client sends as
	// soon as it is connected, but the CPU quota can throttle this process for most of 100 ms.
	crowdedRequestTimeout = 150 * time.Millisecond

	// leaveBy is how long after SendAway idle connections are ended and new jobs are refused: new connections stop after
	// 0.2 s, and every request accepted by leaveBy has time to be answered.
	leaveBy = 1500 * time.Millisecond
)

// Options configure a Frontend.
type Options struct {
	Loop       *scheduler.Loop
	Accept     func(*scheduler.Exchange)
	Callback   func(body []byte) CallbackResult // handles a backend server's call-back on the same listener
	Ready      func() bool
	Class      func(name string) int
	Tenant     func(name string) int
	Deadline   func(class int) time.Duration         // the longest deadline of a client, 0 for no limit
	Keyed      func(class int) bool                  // whether requests of the class must carry a key
	Limits     *ConnLimits                           // shared by the frontends of one listener
	Crowded    func()                                // asks the other frontends to close idle connections, as there are still too many; may be nil
	Refused    func(class int, why scheduler.Unsent) // counts a request refused by the frontend, with the reason
	RetryAfter func() time.Duration                  // Retry-After of requests refused for lack of capacity, 0 for none
	Log        *slog.Logger
}

// CallbackResult is the result of handling a call-back.
type CallbackResult uint8

// The results of handling a call-back.
const (
	CallbackAccepted CallbackResult = iota
	CallbackMalformed
	CallbackOverloaded // the loop that it is for is overloaded: the server must retry
)

// Frontend serves the connections of clients, and of backend servers that call back.
type Frontend struct {
	o          Options
	conns      map[*conn]struct{}
	idle       queue              // connections of clients between requests, longest idle first
	unproven   queue              // connections that have received no valid request, oldest first
	crowded    *deadline.Deadline // when the oldest of unproven may be dropped
	served     atomic.Int64       // requests and calls so far
	open       atomic.Int64       // connections
	shedCount  int                // how many of the next responses close their connections
	draining   bool               // responses close their connections, and new jobs are refused
	retired    bool               // another process accepts connections: responses close theirs
	away       bool               // clients are sent away: see SendAway
	leaveTimer *deadline.Deadline // ends idle connections at leaveBy
}

// New returns a frontend.
func New(o Options) *Frontend { return &Frontend{o: o, conns: make(map[*conn]struct{})} }

// Open returns the number of connections of this frontend. Any goroutine may call it.
func (f *Frontend) Open() int { return int(f.open.Load()) }

// Shed makes the given number of next responses close their connections, which are most likely the busiest ones. Their clients and
// servers then reconnect, and may be assigned to a loop with less load.
func (f *Frontend) Shed(conns int) { f.shedCount = conns }

// Served returns the number of requests and call-backs so far. Any goroutine may call it.
func (f *Frontend) Served() int64 { return f.served.Load() }

// Finishing reports whether a response is still being written, or a connection that was ended on this side still lingers.
func (f *Frontend) Finishing() bool {
	for c := range f.conns {
		if c.ending || c.net.Unwritten() > 0 {
			return true
		}
	}
	return false
}

// Drain ends the idle connections of clients, and each other one with its next response. New jobs are refused at once.
func (f *Frontend) Drain() {
	f.draining = true
	f.endIdle()
}

// Retire sets whether each response closes its connection, so that clients reconnect to the process that accepts connections in
// this one's place. Idle connections stay open for their clients to use, and jobs are accepted as before.
func (f *Frontend) Retire(retired bool) { f.retired = retired }

// Clients returns the number of connections, without those that backend servers use for call-backs.
func (f *Frontend) Clients() (n int) {
	for c := range f.conns {
		if !c.hasCallbacks {
			n++
		}
	}
	return n
}

// SendAway starts or stops sending clients away; repeating a call has no effect. While clients are sent away, the readiness check
// fails and each response closes its connection. Requests on existing connections are served until leaveBy; then idle
// connections are ended and new jobs are refused. Call-backs are handled as before.
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

// Away reports whether clients are sent away.
func (f *Frontend) Away() bool { return f.away }

// refuses reports whether new jobs are refused.
func (f *Frontend) refuses() bool {
	return f.draining || f.away && f.o.Loop.Now() >= f.leaveTimer.At()
}

// endIdle ends the idle connections of clients.
func (f *Frontend) endIdle() {
	for len(f.idle) > 0 {
		f.idle[0].end()
	}
}

// Opened registers an accepted connection and returns its handler.
func (f *Frontend) Opened(c transport.Conn) transport.Handler {
	n := &conn{f: f, net: c, since: f.o.Loop.Now()}
	f.conns[n] = struct{}{}
	f.unproven.join(n)
	n.timer = f.o.Loop.After(requestTimeout, n.overdue)
	f.o.Limits.open.Add(1)
	f.open.Add(1)
	f.ShedIdle()
	if r := f.o.Limits; f.o.Crowded != nil && r.open.Load() > r.maxIdle.Load() {
		f.o.Crowded()
	}
	return n
}

// ShedIdle frees descriptors while there are too many connections. It closes first connections that have sent no valid request for
// some time, oldest first, then idle ones of clients, longest idle first. Otherwise silent connections could use up all
// descriptors, and clients and call-backs would wait in the listen queue of the operating system.
func (f *Frontend) ShedIdle() {
	now, r := f.o.Loop.Now(), f.o.Limits
	if r.open.Load() > r.maxOpen.Load() {
		for len(f.unproven) > 0 && now-f.unproven[0].since >= crowdedRequestTimeout {
			f.unproven[0].drop()
		}
	}
	for r.open.Load()-r.ending.Load() > r.maxIdle.Load() && len(f.idle) > 0 {
		f.idle[0].end()
	}
	if r.open.Load() > r.maxOpen.Load() && len(f.unproven) > 0 && f.crowded == nil {
		f.crowded = f.o.Loop.Deadlines.Add(f.unproven[0].since+crowdedRequestTimeout, func() {
			f.crowded = nil
			f.ShedIdle()
		})
	}
}
