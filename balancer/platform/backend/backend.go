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

// responseWithin bounds how long a connection waits for a response that no attempt depends on any more.
const responseWithin = 2 * time.Second

// minHold and maxHold bound how long the last byte of a request is held back: see link.hold.
const minHold, maxHold = time.Millisecond, 10 * time.Millisecond

// echoWithin is how long after a response the same server may send another one to the same request: a few milliseconds, according
// to the users' specification.
const echoWithin = 20 * time.Millisecond

// waryFor is how long after a kept-alive connection to a server broke during a request other such connections to it are
// expected to break as well.
const waryFor = 10 * time.Second

const maxStats = 1024

// acceptTimeout is how long after the request a server is reported as unresponsive if it has not answered: accepting a job takes
// 0.5 to 50 ms, and pauses of servers last 80 ms.
const acceptTimeout = 250 * time.Millisecond

// Options configure a Backend.
type Options struct {
	Loop           *scheduler.Loop
	Network        transport.Network
	Address        func(server string) string // "" if unknown
	ConnectTimeout time.Duration
	IdleClose      time.Duration     // how long a connection may be idle before servers close it
	Conns          *Conns            // shared by the backends of one scheduler
	Full           func()            // asks the other backends to close an idle connection, as this one needs one and has none idle; may be nil
	Stray          func(body []byte) // receives call-backs on attempts that this backend does not have
	Log            *slog.Logger
}

// Backend holds the connections to backend servers, and the attempts in flight.
type Backend struct {
	o     Options
	live  map[attemptKey]*attempt
	byJob map[*scheduler.Dispatch]*attempt
	idle  map[string][]*link    // by address, newest last
	stats map[string]*connStats // observations on connections, by server address
	// withdrawing holds the DELETEs in flight. A new attempt of the same request at the same server waits until the DELETE is
	// answered: a DELETE names only the request, and would end the new attempt too.
	withdrawing map[attemptKey]*withdrawal
}

type withdrawal struct{ waiting *attempt } // the attempt to start once the DELETE is answered, if any

// New returns a Backend without connections.
func New(o Options) *Backend {
	return &Backend{o: o, live: make(map[attemptKey]*attempt), byJob: make(map[*scheduler.Dispatch]*attempt),
		idle: make(map[string][]*link), withdrawing: make(map[attemptKey]*withdrawal), stats: make(map[string]*connStats)}
}

// Send starts an attempt for a dispatch.
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

// start begins an attempt on an idle connection or dials a new one.
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

// wary reports whether an attempt must use a new connection, which proves to be alive by being established. This holds for a
// request that may not be repeated, if a kept-alive connection to the server broke recently.
func (b *Backend) wary(a *attempt) bool {
	broke := b.statsFor(a.addr).brokeAt
	return !a.d.Repeatable() && broke > 0 && b.o.Loop.Now()-broke < waryFor
}

// end ends an attempt, once, and reports its outcome.
func (b *Backend) end(a *attempt, outcome ravendale.Outcome, result []byte) {
	if b.drop(a) {
		a.d.End(outcome, result)
	}
}

// drop removes an attempt; it returns false if the attempt is already over.
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

// Withdraw cancels an attempt: it closes the attempt's connection if the 202 has not arrived yet, and sends a DELETE if the
// server may have received the whole request. Between these two points it does both, as a 202 may be on its way, and a server
// that has sent the 202 does not treat the close as a cancellation. The close comes first: a DELETE that overtakes the request
// would find nothing to cancel.
func (b *Backend) Withdraw(d *scheduler.Dispatch) {
	a := b.byJob[d]
	if a == nil {
		return
	}
	was, begun := a.stage, a.begun()
	b.drop(a)
	switch was {
	case dialling:
		a.link.attempt = nil // the connection is established anyway, for later attempts
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

// Transferable reports whether a dispatch no longer needs a connection of this process: its server has accepted it.
func (b *Backend) Transferable(d *scheduler.Dispatch) bool {
	a := b.byJob[d]
	return a != nil && a.stage == accepted
}

// Release removes a dispatch that another process continues. Call-backs on it are treated as those on an unknown attempt.
func (b *Backend) Release(d *scheduler.Dispatch) {
	if a := b.byJob[d]; a != nil {
		b.drop(a)
	}
}

// Adopt continues a dispatch that another process released.
func (b *Backend) Adopt(d *scheduler.Dispatch) {
	a := &attempt{d: d, key: attemptKey{d.Exchange().ID, d.Worker}, addr: b.o.Address(d.Worker), stage: accepted, hasReport: true, sent: true}
	b.live[a.key], b.byJob[d] = a, a
}

// withdraw sends a DELETE. If an idle connection turns out to be closed, it tries once more on a new one.
func (b *Backend) withdraw(a *attempt) {
	if a.addr == "" {
		return // adopted, and its server is no longer listed: there is no address to send the DELETE to
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

// Avoid ends the attempts at a server that drains or is gone, unless they have begun. For a drain, an attempt begins with the
// first byte sent.
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
