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

// On several cores, the decider's loop runs the module, the sessions, the server table and the operators' endpoint. Each core has
// its own loop and poller, with a frontend and a backend, so that the decider never handles the bytes of clients and servers.
// See docs/cores.md.

// core is the loop, the frontend and the backend of one core.
type core struct {
	number   int
	loop     *scheduler.Loop
	network  transport.Network
	frontend *frontend.Frontend
	backend  *backend.Backend
}

// rebalanceEvery is the interval at which the loads of the cores are measured and connections may be moved.
const rebalanceEvery = 250 * time.Millisecond

// multiCore is the client side and the server side on several cores. Its methods belong to the decider unless they say otherwise.
type multiCore struct {
	decider *scheduler.Loop
	sched   *scheduler.Scheduler
	board   *cores.Board
	all     []*core
	limits  *frontend.ConnLimits
	conns   *backend.Conns
	stray   func(body []byte) // called in the decider's turns
	away    bool
	held    heldSends // sends that wait for the next pulse

	served []int64                      // requests served by each core, at the last measurement
	loads  atomic.Pointer[[]cores.Load] // loads at the last measurement; read by Choose
}

// at schedules f on a core's loop; it must be called in the decider's turn.
func (m *multiCore) at(c *core, f func()) { m.decider.Send(c.loop, f) }

// each schedules f on every core's loop.
func (m *multiCore) each(f func(*core)) {
	for _, c := range m.all {
		m.at(c, func() { f(c) })
	}
}

// gather calls ask on every core, and then reply with the sum.
func (m *multiCore) gather(ask func(*core) int, reply func(sum int)) {
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

func (m *multiCore) Drain()              { m.each(func(c *core) { c.frontend.Drain() }) }
func (m *multiCore) Retire(retired bool) { m.each(func(c *core) { c.frontend.Retire(retired) }) }
func (m *multiCore) Away() bool          { return m.away }

func (m *multiCore) SendAway(away bool) {
	m.away = away
	m.each(func(c *core) { c.frontend.SendAway(away) })
}

func (m *multiCore) Clients(reply func(int)) {
	m.gather(func(c *core) int { return c.frontend.Clients() }, reply)
}

func (m *multiCore) Finishing(reply func(bool)) {
	m.gather(func(c *core) int {
		if c.frontend.Finishing() {
			return 1
		}
		return 0
	}, func(sum int) { reply(sum > 0) })
}

// Give always returns false: see Transferable.
func (m *multiCore) Give(*scheduler.Exchange, func(transport.Conn, bool) bool) bool { return false }

// Adopt assigns a connection from another process to a core, on which the request ex is to be answered. The core's frontend gets a
// separate exchange, as it must not access the decider's.
func (m *multiCore) Adopt(g transport.PassedConn, ex *scheduler.Exchange, closes bool, serve adopter) error {
	c := m.all[m.Choose()]
	there := &scheduler.Exchange{ID: ex.ID}
	ex.Answer = func(a scheduler.Answer) { m.at(c, func() { there.Answer(a) }) }
	ex.Repeated = func() { m.at(c, func() { there.Repeated() }) }
	// The frontend calls ClientLeft on its exchange; that is relayed to the decider's exchange.
	there.Relay = func(func()) { c.loop.Send(m.decider, ex.ClientLeft) }
	m.at(c, func() {
		err := serve(c.number, g, func(conn transport.Conn) transport.Handler { return c.frontend.Adopt(conn, there, closes) })
		if err != nil {
			there.Answer = func(scheduler.Answer) {}
			there.ClientLeft()
		}
	})
	return nil
}

func (m *multiCore) Targets() (to []accept) {
	for _, c := range m.all {
		to = append(to, c.frontend.Opened)
	}
	return to
}

// Choose returns the core for a new connection; the accepting goroutine calls it.
func (m *multiCore) Choose() int {
	loads := append([]cores.Load(nil), *m.loads.Load()...)
	for i, c := range m.all {
		loads[i].Conns = c.frontend.Open()
	}
	return cores.PickCore(loads)
}

// rebalance measures the loads of the cores, and moves connections if the loads are uneven.
func (m *multiCore) rebalance() {
	loads := make([]cores.Load, len(m.all))
	for i, c := range m.all {
		served := c.frontend.Served()
		loads[i] = cores.Load{Conns: c.frontend.Open(), Served: float64(served-m.served[i]) / rebalanceEvery.Seconds()}
		m.served[i] = served
	}
	m.loads.Store(&loads)
	if move, any := cores.PlanMove(loads); any {
		m.at(m.all[move.From], func() { m.all[move.From].frontend.Shed(move.Conns) })
	}
	m.decider.After(rebalanceEvery, m.rebalance)
}

// clientSide and serverSide both have a method Limit, so that multiCore needs a type for each.
type (
	multiCoreFrontends struct{ *multiCore }
	multiCoreBackends  struct{ *multiCore }
)

func (m multiCoreFrontends) Limit(accepted int) {
	m.limits.Limit(accepted)
	m.each(func(c *core) { c.frontend.ShedIdle() })
}

func (m multiCoreBackends) Limit(conns int) {
	m.conns.Limit(conns)
	m.each(func(c *core) { c.backend.Trim() })
}

// Send passes a dispatch to the core that serves its server. While the last pulse is too old, the dispatch waits: the core would
// not begin it, and it would count as one of the job's attempts each time.
func (m multiCoreBackends) Send(d *scheduler.Dispatch) {
	if m.board.Stale(m.decider.Now()) {
		m.held.join(d)
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

// onPulse records a pulse, and sends the dispatches that waited for it.
func (m multiCoreBackends) onPulse(at time.Duration) {
	if m.board.RecordPulse(at); !m.board.Stale(m.decider.Now()) {
		m.held.flush(m.Send)
	}
}

// Withdraw cancels a dispatch.
func (m multiCoreBackends) Withdraw(d *scheduler.Dispatch) {
	m.held.leave(d)
	if d.Relay != nil { // it was passed to a core
		c := m.all[d.Core]
		m.at(c, func() { c.backend.Withdraw(d) })
	}
}

// Retract ends a dispatch that has not begun. Until the core receives the call, Dispatch.Due prevents the dispatch from beginning.
func (m multiCoreBackends) Retract(d *scheduler.Dispatch) {
	if !m.held.retract(d) && d.Relay != nil {
		c := m.all[d.Core]
		m.at(c, func() { c.backend.Retract(d) })
	}
}

// Transferable returns false: on several cores, the client side and the server side of a request run on different loops, so that
// they can't be transferred to another process in one turn. Open requests are answered by this process.
func (m multiCoreBackends) Transferable(*scheduler.Dispatch) bool { return false }

// Release is never called, as no dispatch is transferable.
func (m multiCoreBackends) Release(*scheduler.Dispatch) {}

// Adopt passes a dispatch from another process to the core that serves its server.
func (m multiCoreBackends) Adopt(d *scheduler.Dispatch) {
	s := m.board.Server(d.Worker)
	if s == nil { // it is no longer listed: its call-backs would be treated as those on an unknown attempt
		m.decider.Post(func() { d.End(ravendale.Reset, nil) })
		return
	}
	c := m.all[s.Core]
	d.Relay = func(f func()) { c.loop.Send(m.decider, f) }
	d.Core = c.number
	m.at(c, func() { c.backend.Adopt(d) })
}

// Avoid ends the dispatches to a server that have not begun. The board revokes their permits at once, whatever the core is doing;
// the core ends them in its next turn.
func (m multiCoreBackends) Avoid(worker string) {
	m.held.avoid(worker)
	s := m.board.Server(worker)
	if s == nil {
		return
	}
	m.board.Avoid(worker)
	c := m.all[s.Core]
	m.at(c, func() { c.backend.Avoid(worker) })
}

func (m multiCoreBackends) PassCallback(body []byte, unknown func()) {
	report := backend.ParseReport(body)
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
		if !c.backend.HandleReport(report) {
			c.loop.Send(m.decider, unknown)
		}
	})
}

// maxQueued is the length of a core's queue above which call-backs for that core are not accepted. As call-backs are answered on
// the core where they arrive, nothing else would bound the queue of a core that is paused. Requests are bounded by
// ConnLimits.
const maxQueued = 1 << 14

// callback handles a server's call-back on the core where it arrived, and passes it to the core that serves the server.
func (m *multiCore) callback(here *core, body []byte) frontend.CallbackResult {
	report := backend.ParseReport(body)
	if report == nil {
		return frontend.CallbackMalformed
	}
	stray := func(from *scheduler.Loop) { from.Send(m.decider, func() { m.stray(body) }) }
	s := m.board.Server(report.From)
	switch {
	case s == nil:
		stray(here.loop)
	case s.Core == here.number:
		if !here.backend.HandleReport(report) {
			stray(here.loop)
		}
	default:
		there := m.all[s.Core]
		if there.loop.Queued() > maxQueued || m.decider.Queued() > maxQueued {
			return frontend.CallbackOverloaded
		}
		here.loop.Send(there.loop, func() {
			if !there.backend.HandleReport(report) {
				stray(there.loop)
			}
		})
	}
	return frontend.CallbackAccepted
}

// accept passes a request from a core to the decider, and the answer back.
func (m *multiCore) accept(c *core, ex *scheduler.Exchange) {
	answer, repeated := ex.Answer, ex.Repeated
	ex.Answer = func(a scheduler.Answer) { m.at(c, func() { answer(a) }) }
	ex.Repeated = func() { m.at(c, repeated) }
	ex.Relay = func(f func()) { c.loop.Send(m.decider, f) }
	arrivedAt := c.loop.Now()
	c.loop.Send(m.decider, func() {
		// The client's time runs from the arrival of its request at the core, not from its arrival at the decider.
		ex.Facts.Left = max(ex.Facts.Left-max(m.decider.Now()-arrivedAt, 0), 0)
		m.sched.Accept(ex)
	})
}

// others schedules f on the loops of all cores but c, whose turn the caller must hold.
func (m *multiCore) others(c *core, f func(*core)) {
	for _, other := range m.all {
		if other != c {
			c.loop.Send(other.loop, func() { f(other) })
		}
	}
}

// pulse records a pulse on the board at regular intervals, each once all earlier input is processed: see cores.PulseTimeout.
func (m *multiCore) pulse(echo func(func()) error, failed func(error)) {
	at := m.decider.Now()
	if err := echo(func() { multiCoreBackends{m}.onPulse(at) }); err != nil {
		failed(err)
		return
	}
	m.decider.After(cores.Pulse, func() { m.pulse(echo, failed) })
}

// listed applies an update of the server table to the board, before the module receives the update. Later decisions then find new
// servers on the board, and permits for servers that drain or are gone are revoked.
func (m *multiCore) listed(entries []ravendale.Entry, address func(string) string) {
	for i := range entries {
		switch e := &entries[i]; e.State {
		case ravendale.Removed:
			multiCoreBackends{m}.Avoid(e.Worker) // while the board still has its core
			m.board.Drop(e.Worker)
		case ravendale.Ready:
			m.board.List(e.Worker, address(e.Worker))
		default:
			m.board.List(e.Worker, address(e.Worker))
			m.board.Avoid(e.Worker)
		}
	}
}
