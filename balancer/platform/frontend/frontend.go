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
