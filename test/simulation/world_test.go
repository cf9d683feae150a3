package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// world is a simulated system in virtual time. Its events run one after the other in the order of their times.
type world struct {
	random         *rand.Rand
	mutant         mutant
	settings       worldSettings
	now            time.Duration
	queue          []event // heap by time, then by order of creation
	eventCount     uint64
	violation      string
	trace          uint64         // hash of the logged events and their times; equal seeds give equal hashes
	counts         map[string]int // number of faults that took effect, by name
	running        *task          // nil while no task runs
	machines       []*machine     // in the order of creation
	byHost         map[string]*machine
	network        *network
	history        *history
	workers        []string // listed by the platform in addition to the servers; they accept no messages
	servers        map[string]*server
	messages       *messages
	trafficStopped bool          // clients have stopped sending
	calmSince      time.Duration // start of the period without faults; negative: faults are active

	operators        []*operator
	raceCount        int
	ackLossPercent   int           // percentage of answers to operators that are lost
	operatorsStopped bool          // operators have stopped sending
	faultPeriod      int           // incremented when all faults are ended, which cancels pending faults
	storeWipedAt     time.Duration // last time a store lost its disk
	diskLostAt       time.Duration // last time a disk of the core was lost
	disksLost        int           // core disks lost within lossInterval
	slowDisks        bool          // all disks are slow for the whole run
	replaced         int           // number of control machines that were replaced
	coreDisturbedAt  time.Duration // time of the last fault or restart in the core
	nextNumbers      map[int]int   // next machine number, by network
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

func newWorld(seed uint64, settings worldSettings, m mutant) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 11)), mutant: m, settings: settings, counts: make(map[string]int), byHost: make(map[string]*machine),
		nextNumbers: make(map[int]int),
	}
	w.network = &network{world: w, partitioned: make(map[[2]*machine]int), slowCount: make(map[*machine]int)}
	w.history, w.messages, w.servers, w.calmSince = newHistory(w), newMessages(w), make(map[string]*server), -1
	w.slowDisks = w.random.IntN(4) == 0
	return w
}

// after schedules run after a delay.
func (w *world) after(wait time.Duration, run func()) {
	w.eventCount++
	w.queue = append(w.queue, event{w.now + wait, w.eventCount, run})
	for i := len(w.queue) - 1; i > 0; {
		parent := (i - 1) / 2
		if !w.before(i, parent) {
			break
		}
		w.queue[i], w.queue[parent] = w.queue[parent], w.queue[i]
		i = parent
	}
}

func (w *world) before(i, j int) bool {
	a, b := &w.queue[i], &w.queue[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}

func (w *world) pop() event {
	first := w.queue[0]
	last := len(w.queue) - 1
	w.queue[0] = w.queue[last]
	w.queue[last] = event{}
	w.queue = w.queue[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			break
		}
		if child+1 < last && w.before(child+1, child) {
			child++
		}
		if !w.before(child, i) {
			break
		}
		w.queue[i], w.queue[child] = w.queue[child], w.queue[i]
		i = child
	}
	return first
}

// runFor runs events for a duration, or until a rule is violated.
func (w *world) runFor(span time.Duration) {
	until := w.now + span
	for len(w.queue) > 0 && w.queue[0].at <= until && w.violation == "" {
		next := w.pop()
		w.now = next.at
		next.run()
	}
	if w.violation == "" {
		w.now = until
	}
}

// runUntil runs events until a condition holds or the time is over, and reports whether it holds.
func (w *world) runUntil(within time.Duration, met func() bool) bool {
	until := w.now + within
	for w.violation == "" && w.now < until {
		if met() {
			return true
		}
		w.runFor(min(10*time.Millisecond, until-w.now))
	}
	return met()
}

func (w *world) fail(format string, arguments ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, arguments...)
	}
}

// log adds an event and its time to the trace.
func (w *world) log(format string, arguments ...any) {
	w.trace = (w.trace^uint64(w.now))*1099511628211 + uint64(len(format))
	if debug != nil {
		_, _ = fmt.Fprintf(debug, "%12v "+format+"\n", append([]any{w.now}, arguments...)...)
	}
}

// countFault counts a fault that took effect.
func (w *world) countFault(fault string) {
	w.counts[fault]++
	w.log("fault %s", fault)
}

// drawUpTo draws a duration below most.
func (w *world) drawUpTo(most time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(max(most, 1))))
}

// drawBetween draws a duration from lo to hi.
func (w *world) drawBetween(lo, hi time.Duration) time.Duration { return lo + w.drawUpTo(hi-lo) }
