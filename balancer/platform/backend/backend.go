package backend

import (
	"log/slog"
	"time"

	"ravendale"
	"ravendale/balancer/http1"
	"ravendale/balancer/platform"
	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
)

// responseWithin bounds how long a connection waits for a response that nothing depends on any more.
const responseWithin = 2 * time.Second

// holdLeast and holdMost bound how long the last byte of a request is held back: see link.hold.
const holdLeast, holdMost = time.Millisecond, 10 * time.Millisecond

// echoWithin is how long after an answer the same server may give another to the same request: some milliseconds, by the users'
// page.
const echoWithin = 20 * time.Millisecond

// waryFor is how long after a kept connection to a server broke under a request others are thought to break as well.
const waryFor = 10 * time.Second

const mostHabits = 1024

// acceptTimeout is when a server should long have said that it took a job: it takes 0.5 to 50 ms, and servers that stand
// still do so for 80 ms.
const acceptTimeout = 250 * time.Millisecond

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

// Backend holds the connections to all backend servers, and the attempts that are out.
type Backend struct {
	o      Options
	live   map[attemptKey]*attempt
	byJob  map[*scheduler.Dispatch]*attempt
	idle   map[string][]*link // by address, newest last
	habits map[string]*habit  // of servers, by address
	// withdrawing are the DELETEs on their way. A new attempt of that request at that server waits
	// behind them: they name only the request, and would end the new attempt too.
	withdrawing map[attemptKey]*withdrawal
}

type withdrawal struct{ waiting *attempt }

// New returns a backend without connections.
func New(o Options) *Backend {
	return &Backend{o: o, live: make(map[attemptKey]*attempt), byJob: make(map[*scheduler.Dispatch]*attempt),
		idle: make(map[string][]*link), withdrawing: make(map[attemptKey]*withdrawal), habits: make(map[string]*habit)}
}

// Send begins a dispatch.
func (b *Backend) Send(d *scheduler.Dispatch) {
	a := &attempt{d: d, key: attemptKey{d.Exchange().ID, d.Worker}, addr: b.o.Address(d.Worker)}
	if a.addr == "" || b.live[a.key] != nil {
		a.stage = over
		d.End(ravendale.NotSent, nil)
		return
	}
	b.live[a.key], b.byJob[d] = a, a
	if w := b.withdrawing[a.key]; w != nil {
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
			l.begin(a)
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
	delete(b.live, a.key)
	delete(b.byJob, a.d)
	if w := b.withdrawing[a.key]; w != nil && w.waiting == a {
		w.waiting = nil
	}
	return true
}

// Withdraw gives up an attempt: by DELETE where the server may have the whole request, and by closing its connection until the
// 202 has come. A 202 may be on its way then, and a server that has sent it takes the close for no cancel: so until the 202 it
// is both. The close goes first, for a DELETE that overtakes the request finds nothing to end.
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
	case lastByteDue, written:
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

// Transferable says whether a dispatch lives on without any connection of this process: its server has taken it.
func (b *Backend) Transferable(d *scheduler.Dispatch) bool {
	a := b.byJob[d]
	return a != nil && a.stage == accepted
}

// Release forgets a dispatch that another process goes on with. Calls on it are an unknown attempt's from now on.
func (b *Backend) Release(d *scheduler.Dispatch) {
	if a := b.byJob[d]; a != nil {
		b.drop(a)
	}
}

// Adopt goes on with a dispatch that another process released.
func (b *Backend) Adopt(d *scheduler.Dispatch) {
	a := &attempt{d: d, key: attemptKey{d.Exchange().ID, d.Worker}, addr: b.o.Address(d.Worker), stage: accepted, heard: true, sent: true}
	b.live[a.key], b.byJob[d] = a, a
}

// withdraw sends a DELETE, once more on a new connection where an idle one turned out to be closed.
func (b *Backend) withdraw(a *attempt) {
	if a.addr == "" {
		return // adopted, and its server is listed no more: nobody is there to be told
	}
	w := &withdrawal{}
	b.withdrawing[a.key] = w
	done := func() {
		delete(b.withdrawing, a.key)
		if w.waiting != nil {
			b.start(w.waiting)
		}
	}
	request := http1.AppendRequest(nil, "DELETE", platform.PathJobs+a.key.id, a.addr, nil, nil)
	attempt := func(l *link, failed func()) {
		l.request, l.replied, l.failed = request, done, failed
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
