package node

import (
	"sync/atomic"
	"time"

	"ravendale"
	"ravendale/balancer/cores"
	"ravendale/balancer/platform/backend"
	"ravendale/balancer/platform/frontend"
	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
)

// On several cores the decider's loop has the module, the sessions, the server table and the operators' endpoint. Each core has
// a loop with a frontend and a backend, on a poller of its own: the bytes of clients and servers never meet the decider.
// See docs/cores.md.

// core is one of them.
type core struct {
	number   int
	loop     *scheduler.Loop
	network  transport.Network
	frontend *frontend.Frontend
	backend  *backend.Backend
}

// evenEvery is how often connections may be made to move, and loadFor how long what a core served counts for its load.
const evenEvery = 250 * time.Millisecond

// many is the client side and the server side on several cores, as the decider sees them.
type many struct {
	decider *scheduler.Loop
	sched   *scheduler.Scheduler
	board   *cores.Board
	all     []*core
	limits  *frontend.ConnLimits
	conns   *backend.Conns
	stray   func(body []byte) // the decider's
	away    bool
	waiting waiting // until the decider hears again

	served []int64                      // at the last look
	loads  atomic.Pointer[[]cores.Load] // since then
}

// at has f called on a core's loop; the decider calls it.
func (m *many) at(c *core, f func()) { m.decider.Send(c.loop, f) }

// each has f called on every core's loop.
func (m *many) each(f func(*core)) {
	for _, c := range m.all {
		m.at(c, func() { f(c) })
	}
}

// gather asks every core, and tells the sum.
func (m *many) gather(ask func(*core) int, reply func(sum int)) {
	sum, left := 0, len(m.all)
	m.each(func(c *core) {
		n := ask(c)
		c.loop.Send(m.decider, func() {
			sum += n
			if left--; left == 0 {
				reply(sum)
			}
		})
	})
}

func (m *many) Drain()              { m.each(func(c *core) { c.frontend.Drain() }) }
func (m *many) Retire(retired bool) { m.each(func(c *core) { c.frontend.Retire(retired) }) }
func (m *many) Away() bool          { return m.away }

func (m *many) SendAway(away bool) {
	m.away = away
	m.each(func(c *core) { c.frontend.SendAway(away) })
}

func (m *many) Clients(reply func(int)) {
	m.gather(func(c *core) int { return c.frontend.Clients() }, reply)
}

func (m *many) Finishing(reply func(bool)) {
	m.gather(func(c *core) int {
		if c.frontend.Finishing() {
			return 1
		}
		return 0
	}, func(sum int) { reply(sum > 0) })
}

// Give gives nothing: see Transferable.
func (m *many) Give(*scheduler.Exchange, func(transport.Conn, bool) bool) bool { return false }

// Adopt has a core answer a request that another process gave away. The core's frontend has an exchange of its own, as it
// may not touch the decider's.
func (m *many) Adopt(g transport.Given, ex *scheduler.Exchange, closes bool, serve adopter) error {
	c := m.all[m.Choose()]
	there := &scheduler.Exchange{ID: ex.ID}
	ex.Answer = func(a scheduler.Answer) { m.at(c, func() { there.Answer(a) }) }
	ex.Repeated = func() { m.at(c, func() { there.Repeated() }) }
	// The client's end is told of the decider's exchange, whatever the frontend tells of its own.
	there.Relay = func(func()) { c.loop.Send(m.decider, ex.Left) }
	m.at(c, func() {
		err := serve(c.number, g, func(conn transport.Conn) transport.Handler { return c.frontend.Adopt(conn, there, closes) })
		if err != nil {
			there.Answer = func(scheduler.Answer) {}
			there.Left()
		}
	})
	return nil
}

func (m *many) Targets() (to []accept) {
	for _, c := range m.all {
		to = append(to, c.frontend.Opened)
	}
	return to
}

// Choose deals a connection to a core; the goroutine that accepts calls it.
func (m *many) Choose() int {
	loads := append([]cores.Load(nil), *m.loads.Load()...)
	for i, c := range m.all {
		loads[i].Conns = c.frontend.Open()
	}
	return cores.Deal(loads)
}

// even looks at what the cores served, and has connections move where that is uneven.
func (m *many) even() {
	loads := make([]cores.Load, len(m.all))
	for i, c := range m.all {
		served := c.frontend.Served()
		loads[i] = cores.Load{Conns: c.frontend.Open(), Served: float64(served-m.served[i]) / evenEvery.Seconds()}
		m.served[i] = served
	}
	m.loads.Store(&loads)
	if move, any := cores.Even(loads); any {
		m.at(m.all[move.From], func() { m.all[move.From].frontend.Shed(move.Conns) })
	}
	m.decider.After(evenEvery, m.even)
}

// limits are two methods of one name, one for each side.
type (
	manyFrontends struct{ *many }
	manyBackends  struct{ *many }
)

func (m manyFrontends) Limit(accepted int) {
	m.limits.Limit(accepted)
	m.each(func(c *core) { c.frontend.ShedIdle() })
}

func (m manyBackends) Limit(conns int) {
	m.conns.Limit(conns)
	m.each(func(c *core) { c.backend.Trim() })
}

// Send hands a dispatch to the core that serves its server. While the decider does not hear, it waits: a core would turn it
// down, and each time cost the job one of its attempts.
func (m manyBackends) Send(d *scheduler.Dispatch) {
	if m.board.Deaf(m.decider.Now()) {
		m.waiting.join(d)
		return
	}
	permit := m.board.Permit(d.Worker, m.decider.Now(), m.sched.WarmingUp(d.Worker))
	if permit == nil {
		d.End(ravendale.NotSent, nil)
		return
	}
	c := m.all[permit.Core()]
	d.MayBegin = func() bool { return permit.MayBegin(c.loop.Now()) }
	d.Relay = func(f func()) { c.loop.Send(m.decider, f) }
	d.Core = c.number
	m.at(c, func() { c.backend.Send(d) })
}

// heard takes a pulse, and sends what waited for it.
func (m manyBackends) heard(at time.Duration) {
	if m.board.Heard(at); !m.board.Deaf(m.decider.Now()) {
		m.waiting.flush(m.Send)
	}
}

// Withdraw gives a dispatch up.
func (m manyBackends) Withdraw(d *scheduler.Dispatch) {
	m.waiting.leave(d)
	if d.Relay != nil { // it has come to a core
		c := m.all[d.Core]
		m.at(c, func() { c.backend.Withdraw(d) })
	}
}

// Retract ends a dispatch that has not begun. Until the core hears of it, Dispatch.Due keeps it from beginning.
func (m manyBackends) Retract(d *scheduler.Dispatch) {
	if !m.waiting.retract(d) && d.Relay != nil {
		c := m.all[d.Core]
		m.at(c, func() { c.backend.Retract(d) })
	}
}

// Transferable says no: on several cores a request's two sides are on loops of their own, and no other process can be given
// both in one turn. What is open is answered here.
func (m manyBackends) Transferable(*scheduler.Dispatch) bool { return false }

// Release is never asked for.
func (m manyBackends) Release(*scheduler.Dispatch) {}

// Adopt hands a dispatch that came from another process to the core that serves its server.
func (m manyBackends) Adopt(d *scheduler.Dispatch) {
	s := m.board.Server(d.Worker)
	if s == nil { // it is listed no more: its calls would be taken for an unknown attempt's
		m.decider.Post(func() { d.End(ravendale.Reset, nil) })
		return
	}
	c := m.all[s.Core]
	d.Relay = func(f func()) { c.loop.Send(m.decider, f) }
	d.Core = c.number
	m.at(c, func() { c.backend.Adopt(d) })
}

// Avoid undoes what has not begun: at once by the board, whatever the core does, and then in the core's own turn.
func (m manyBackends) Avoid(worker string) {
	m.waiting.avoid(worker)
	s := m.board.Server(worker)
	if s == nil {
		return
	}
	m.board.Avoid(worker)
	c := m.all[s.Core]
	m.at(c, func() { c.backend.Avoid(worker) })
}

func (m manyBackends) PassCallback(body []byte, unknown func()) {
	report := backend.Read(body)
	if report == nil {
		return
	}
	s := m.board.Server(report.From)
	if s == nil {
		unknown()
		return
	}
	c := m.all[s.Core]
	m.at(c, func() {
		if !c.backend.Hear(report) {
			c.loop.Send(m.decider, unknown)
		}
	})
}

// mostQueued is how much may wait for a core before calls for it are rejected: they are answered where they come, and so
// nothing else would bound what waits for a core that stands still. Requests are bounded by the room for them.
const mostQueued = 1 << 14

// callback takes a server's call on whatever core it came to.
func (m *many) callback(here *core, body []byte) frontend.Heard {
	report := backend.Read(body)
	if report == nil {
		return frontend.Unreadable
	}
	stray := func(from *scheduler.Loop) { from.Send(m.decider, func() { m.stray(body) }) }
	s := m.board.Server(report.From)
	switch {
	case s == nil:
		stray(here.loop)
	case s.Core == here.number:
		if !here.backend.Hear(report) {
			stray(here.loop)
		}
	default:
		there := m.all[s.Core]
		if there.loop.Queued() > mostQueued || m.decider.Queued() > mostQueued {
			return frontend.Swamped
		}
		here.loop.Send(there.loop, func() {
			if !there.backend.Hear(report) {
				stray(there.loop)
			}
		})
	}
	return frontend.Taken
}

// accept hands a request on to the decider, and its answer back.
func (m *many) accept(c *core, ex *scheduler.Exchange) {
	answer, repeated := ex.Answer, ex.Repeated
	ex.Answer = func(a scheduler.Answer) { m.at(c, func() { answer(a) }) }
	ex.Repeated = func() { m.at(c, repeated) }
	ex.Relay = func(f func()) { c.loop.Send(m.decider, f) }
	arrivedAt := c.loop.Now()
	c.loop.Send(m.decider, func() {
		// The client's time runs from when its request came, not from when the decider hears of it.
		ex.Facts.Left = max(ex.Facts.Left-max(m.decider.Now()-arrivedAt, 0), 0)
		m.sched.Accept(ex)
	})
}

// others has f called on every core's loop but one, whose turn the caller has.
func (m *many) others(c *core, f func(*core)) {
	for _, other := range m.all {
		if other != c {
			c.loop.Send(other.loop, func() { f(other) })
		}
	}
}

// pulse shows the cores that the decider hears: see cores.Silence.
func (m *many) pulse(echo func(func()) error, failed func(error)) {
	at := m.decider.Now()
	if err := echo(func() { manyBackends{m}.heard(at) }); err != nil {
		failed(err)
		return
	}
	m.decider.After(cores.Pulse, func() { m.pulse(echo, failed) })
}

// listed keeps the board up with the server table, before the module hears of it: what it then decides finds the
// server there, and what was decided before finds it avoided.
func (m *many) listed(entries []ravendale.Entry, address func(string) string) {
	for i := range entries {
		switch e := &entries[i]; e.State {
		case ravendale.Removed:
			manyBackends{m}.Avoid(e.Worker) // while the board still says on which core it is
			m.board.Drop(e.Worker)
		case ravendale.Ready:
			m.board.List(e.Worker, address(e.Worker))
		default:
			m.board.List(e.Worker, address(e.Worker))
			m.board.Avoid(e.Worker)
		}
	}
}
