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

// machine runs one process, in one incarnation after another.
type machine struct {
	world        *world
	name         string
	zone         string
	address      string // of its process
	rate         float64
	offset       time.Duration // of its steady clock
	incarnation  *incarnation  // nil while no process runs
	dark         bool          // it has no power: nobody answers for it
	frozen       bool
	removed      bool // for good
	program      program
	harmed       time.Duration // when something was last done to it
	incarnations int
}

// program is what runs on a machine.
type program interface {
	// start makes the process of a new incarnation.
	start(l *incarnation)
	// stopped tells that the process has ended, of a loss of power or a kill.
	stopped(powerLoss bool)
}

func (w *world) newMachine(name, zone, address string, program program) *machine {
	m := &machine{
		world: w, name: name, zone: zone, address: address, rate: 0.965 + 0.07*w.random.Float64(),
		offset: w.upTo(time.Hour), program: program, harmed: w.now,
	}
	w.machines = append(w.machines, m)
	w.byHost[address] = m
	return m
}

// clock is the machine's steady clock.
func (m *machine) clock() time.Duration {
	return m.offset + time.Duration(float64(m.world.now)*m.rate)
}

func (m *machine) start() {
	if m.incarnation != nil || m.removed {
		return
	}
	m.incarnations++
	m.dark, m.frozen = false, false
	m.harm()
	l := &incarnation{
		machine: m, number: m.incarnations, random: rand.New(rand.NewPCG(m.world.random.Uint64(), 5)), sleeping: make(map[*task]bool),
	}
	m.incarnation = l
	m.world.log("%s starts", m.name)
	m.program.start(l)
}

// end ends the process; with a loss of power nobody answers for the machine from then on.
func (m *machine) end(powerLoss bool) {
	l := m.incarnation
	m.harm()
	m.dark = m.dark || powerLoss
	if l == nil {
		return
	}
	m.world.log("%s ends, power lost: %v", m.name, powerLoss)
	m.incarnation, m.frozen = nil, false
	l.dead, l.thawed = true, nil
	m.program.stopped(powerLoss)
	l.endTasks()
	m.world.network.stopped(l)
}

func (m *machine) freeze() bool {
	if m.incarnation == nil || m.frozen {
		return false
	}
	m.frozen = true
	m.harm()
	return true
}

func (m *machine) thaw() {
	if !m.frozen {
		return
	}
	m.frozen = false
	m.harm()
	l := m.incarnation
	pending := l.thawed
	l.thawed = nil
	for _, run := range pending {
		run()
	}
}

// harm notes that something is done to the machine.
func (m *machine) harm() {
	m.harmed = m.world.now
	if _, ok := m.program.(*control); ok {
		m.world.coreHarmed = m.world.now
	}
}

// incarnation is one process. It implements host.Host.
type incarnation struct {
	machine  *machine
	number   int
	dead     bool
	random   *rand.Rand
	tasks    []*task
	sleeping map[*task]bool
	thawed   []func()
	ends     []*end // of connections, in the order of their making
}

// guard runs something unless the process has ended; while it is frozen that waits.
func (l *incarnation) guard(run func()) func() {
	var guarded func()
	guarded = func() {
		switch {
		case l.dead:
		case l.machine.frozen:
			l.thawed = append(l.thawed, guarded)
		default:
			run()
		}
	}
	return guarded
}

// after has the process do something after a while of the world's time.
func (l *incarnation) after(wait time.Duration, run func()) {
	l.machine.world.after(wait, l.guard(run))
}

func (l *incarnation) now() time.Duration { return l.machine.clock() }

// real is the world's time for a span of the process's clock.
func (l *incarnation) real(span time.Duration) time.Duration {
	return max(0, time.Duration(float64(span)/l.machine.rate)) + time.Microsecond
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
	turn        int
	set         bool
}

// Reset implements host.Timer.
func (t *timer) Reset(pause time.Duration) bool {
	was := t.Stop()
	t.set = true
	turn := t.turn
	t.incarnation.after(t.incarnation.real(pause), func() {
		if t.turn == turn && t.set {
			t.set = false
			t.run()
		}
	})
	return was
}

// Stop implements host.Timer.
func (t *timer) Stop() bool {
	was := t.set
	t.turn++
	t.set = false
	return was
}

// signal implements host.Signal.
type signal struct {
	incarnation *incarnation
	given       bool
	waiter      *task
}

// Give implements host.Signal.
func (s *signal) Give() {
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
		s.waiter.wake(s.incarnation.real(until - s.incarnation.now()))
		s.waiter.pause()
		s.waiter = nil
	}
	given := s.given
	s.given = false
	return given
}

// logger passes what a process logs to the trace.
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
