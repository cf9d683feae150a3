package simulation

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"ravendale/cluster/host"
	"ravendale/cluster/relay/mailbox"
	"ravendale/cluster/rpc"
)

// machine runs one process at a time; each start of it is a new incarnation.
type machine struct {
	world        *world
	name         string
	zone         string
	address      string // listen address of its process
	clockRate    float64
	clockOffset  time.Duration // offset of its monotonic clock
	incarnation  *incarnation  // nil while no process runs
	poweredOff   bool          // it has lost power: neither process nor kernel answers
	frozen       bool
	removed      bool // permanently
	program      program
	disturbedAt  time.Duration // time of the last fault or restart
	incarnations int
}

// program is the software that runs on a machine.
type program interface {
	// start creates the state of a new incarnation.
	start(l *incarnation)
	// stopped is called when the process has ended by a power loss or a kill.
	stopped(powerLoss bool)
}

func (w *world) newMachine(name, zone, address string, program program) *machine {
	m := &machine{
		world: w, name: name, zone: zone, address: address, clockRate: 0.965 + 0.07*w.random.Float64(),
		clockOffset: w.drawUpTo(time.Hour), program: program, disturbedAt: w.now,
	}
	w.machines = append(w.machines, m)
	w.byHost[address] = m
	return m
}

// clock returns the time of the machine's monotonic clock.
func (m *machine) clock() time.Duration {
	return m.clockOffset + time.Duration(float64(m.world.now)*m.clockRate)
}

func (m *machine) start() {
	if m.incarnation != nil || m.removed {
		return
	}
	m.incarnations++
	m.poweredOff, m.frozen = false, false
	m.noteDisturbance()
	l := &incarnation{
		machine: m, number: m.incarnations, random: rand.New(rand.NewPCG(m.world.random.Uint64(), 5)), sleeping: make(map[*task]bool),
	}
	m.incarnation = l
	m.world.log("%s starts", m.name)
	m.program.start(l)
}

// end ends the process. With a power loss the machine no longer answers to anything, until it is started again.
func (m *machine) end(powerLoss bool) {
	l := m.incarnation
	m.noteDisturbance()
	m.poweredOff = m.poweredOff || powerLoss
	if l == nil {
		return
	}
	m.world.log("%s ends, power lost: %v", m.name, powerLoss)
	m.incarnation, m.frozen = nil, false
	l.ended, l.onThaw = true, nil
	m.program.stopped(powerLoss)
	l.endTasks()
	m.world.network.closeConnections(l)
}

func (m *machine) freeze() bool {
	if m.incarnation == nil || m.frozen {
		return false
	}
	m.frozen = true
	m.noteDisturbance()
	return true
}

func (m *machine) thaw() {
	if !m.frozen {
		return
	}
	m.frozen = false
	m.noteDisturbance()
	l := m.incarnation
	pending := l.onThaw
	l.onThaw = nil
	for _, run := range m.world.interleave(pending) {
		run()
	}
}

// postponed is what a frozen process has to do once it runs again.
type postponed struct {
	from *endpoint // the end of the connection from which it reads; nil for a timer
	run  func()
}

// interleave returns in a random order what waited for a process. Each connection is read in its own order, and the
// timers fire in the order in which they were due; nothing orders one connection before another.
func (w *world) interleave(waiting []postponed) (runs []func()) {
	var sources []*endpoint
	bySource := make(map[*endpoint][]func())
	for _, one := range waiting {
		if bySource[one.from] == nil {
			sources = append(sources, one.from)
		}
		bySource[one.from] = append(bySource[one.from], one.run)
	}
	for len(sources) > 0 {
		i := w.random.IntN(len(sources))
		source := sources[i]
		runs = append(runs, bySource[source][0])
		if bySource[source] = bySource[source][1:]; len(bySource[source]) == 0 {
			sources = append(sources[:i], sources[i+1:]...)
		}
	}
	return runs
}

// noteDisturbance records that a fault or a restart affects the machine now.
func (m *machine) noteDisturbance() {
	m.disturbedAt = m.world.now
	if _, ok := m.program.(*control); ok {
		m.world.coreDisturbedAt = m.world.now
	}
}

// incarnation is one process: a machine's program from one start to its end. It implements host.Host.
type incarnation struct {
	machine  *machine
	number   int
	ended    bool
	random   *rand.Rand
	tasks    []*task
	sleeping map[*task]bool
	onThaw   []postponed
	ends     []*endpoint // endpoints of its connections, in the order of creation
}

// guard wraps run: the result does nothing once the process has ended, and is postponed until the thaw while the
// process is frozen.
func (l *incarnation) guard(run func()) func() { return l.guardRead(nil, run) }

// guardRead is guard for something that the process reads from an end of a connection.
func (l *incarnation) guardRead(from *endpoint, run func()) func() {
	var guarded func()
	guarded = func() {
		switch {
		case l.ended:
		case l.machine.frozen:
			l.onThaw = append(l.onThaw, postponed{from, guarded})
		default:
			run()
		}
	}
	return guarded
}

// after runs something in the process after a delay of virtual time.
func (l *incarnation) after(wait time.Duration, run func()) {
	l.machine.world.after(wait, l.guard(run))
}

func (l *incarnation) now() time.Duration { return l.machine.clock() }

// worldDuration converts a duration of the machine's clock to virtual time.
func (l *incarnation) worldDuration(span time.Duration) time.Duration {
	return max(0, time.Duration(float64(span)/l.machine.clockRate)) + time.Microsecond
}

// Now implements host.Host.
func (l *incarnation) Now() time.Duration { return l.now() }

// Uint64 implements host.Host.
func (l *incarnation) Uint64() uint64 { return l.random.Uint64() }

// Sleep implements host.Host.
func (l *incarnation) Sleep(ctx context.Context, pause time.Duration) error {
	return l.sleep(ctx, pause)
}

// Serve implements host.Host.
func (l *incarnation) Serve(ctx context.Context, box *mailbox.Mailbox, tick func() time.Duration) {
	l.serve(ctx, box, tick)
}

// Tasks implements host.Host.
func (l *incarnation) Tasks() host.Tasks { return &tasks{incarnation: l} }

// Connect implements host.Host.
func (l *incarnation) Connect(address string, options rpc.Options, up func(*rpc.Conn), down func(error)) host.Link {
	return l.machine.world.network.connect(l, address, options, up, down)
}

// AfterFunc implements host.Host.
func (l *incarnation) AfterFunc(pause time.Duration, run func()) host.Timer {
	t := &timer{incarnation: l, run: run}
	t.Reset(pause)
	return t
}

// Signal implements host.Host.
func (l *incarnation) Signal() host.Signal { return &signal{incarnation: l} }

// timer implements host.Timer.
type timer struct {
	incarnation *incarnation
	run         func()
	resets      int
	set         bool
}

// Reset implements host.Timer.
func (t *timer) Reset(pause time.Duration) bool {
	wasSet := t.Stop()
	t.set = true
	resets := t.resets
	t.incarnation.after(t.incarnation.worldDuration(pause), func() {
		if t.resets == resets && t.set {
			t.set = false
			t.run()
		}
	})
	return wasSet
}

// Stop implements host.Timer.
func (t *timer) Stop() bool {
	wasSet := t.set
	t.resets++
	t.set = false
	return wasSet
}

// signal implements host.Signal.
type signal struct {
	incarnation *incarnation
	given       bool
	waiter      *task
}

// Notify implements host.Signal.
func (s *signal) Notify() {
	s.given = true
	if s.waiter != nil {
		s.waiter.wake(0)
	}
}

// Wait implements host.Signal.
func (s *signal) Wait(most time.Duration) bool {
	until := s.incarnation.now() + most
	for !s.given && s.incarnation.now() < until {
		s.waiter = s.incarnation.machine.world.running
		s.waiter.wake(s.incarnation.worldDuration(until - s.incarnation.now()))
		s.waiter.pause()
		s.waiter = nil
	}
	given := s.given
	s.given = false
	return given
}

// logger writes the log records of a process to the debug trace.
type logger struct {
	slog.Handler
	incarnation *incarnation
}

func (l *incarnation) log() *slog.Logger {
	return slog.New(&logger{Handler: slog.DiscardHandler, incarnation: l})
}

// Enabled implements slog.Handler.
func (h *logger) Enabled(context.Context, slog.Level) bool { return debug != nil }

// Handle implements slog.Handler.
func (h *logger) Handle(_ context.Context, record slog.Record) error {
	text := record.Message
	record.Attrs(func(a slog.Attr) bool {
		text += " " + a.String()
		return true
	})
	if debug != nil {
		_, _ = debug.Write([]byte(h.incarnation.machine.world.now.String() + " " + h.incarnation.machine.name + " " + text + "\n"))
	}
	return nil
}

// WithAttrs implements slog.Handler.
func (h *logger) WithAttrs([]slog.Attr) slog.Handler { return h }

// WithGroup implements slog.Handler.
func (h *logger) WithGroup(string) slog.Handler { return h }

var errReset = errors.New("simulation: connection reset")
