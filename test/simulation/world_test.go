package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// world is a system in virtual time: events run one after the other, in the order of their times.
type world struct {
	random   *rand.Rand
	mutant   mutant
	settings worldSettings
	now      time.Duration
	queue    []event // heap by time, then by order of making
	made     uint64
	broken   string
	trace    uint64         // of all that happened: equal seeds have equal ones
	counts   map[string]int // faults that took effect, by kind
	running  *task          // nil while no task runs
	machines []*machine     // in the order of their making
	byHost   map[string]*machine
	network  *network
	history  *history
	workers  []string // on the platform's list beside the servers
	servers  map[string]*server
	messages *messages
	quiet    bool          // clients send no more
	calmAt   time.Duration // since when nothing is in the way; negative: something is

	operators  []*operator
	races      int
	ackLoss    int           // of answers to operators, in hundredths
	ordersDone bool          // operators send no more
	period     int           // counts up when calm comes
	wipedAt    time.Duration // when a store lost its disk last
	diskLostAt time.Duration // when a disk of the core was lost last
	disksLost  int           // with it
	slowDisks  bool          // all of them, always
	replaced   int           // control machines that were replaced
	coreHarmed time.Duration // when something was last done to the core
	numbers    map[int]int   // of machines, by net
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

func newWorld(seed uint64, settings worldSettings, m mutant) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 11)), mutant: m, settings: settings, counts: make(map[string]int), byHost: make(map[string]*machine),
		numbers: make(map[int]int),
	}
	w.network = &network{world: w, partitioned: make(map[[2]*machine]int), slow: make(map[*machine]int)}
	w.history, w.messages, w.servers, w.calmAt = newHistory(w), newMessages(w), make(map[string]*server), -1
	w.slowDisks = w.random.IntN(4) == 0
	return w
}

// after has something done after a while.
func (w *world) after(wait time.Duration, run func()) {
	w.made++
	w.queue = append(w.queue, event{w.now + wait, w.made, run})
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

// play runs for a while, or until a rule is broken.
func (w *world) play(span time.Duration) {
	until := w.now + span
	for len(w.queue) > 0 && w.queue[0].at <= until && w.broken == "" {
		next := w.pop()
		w.now = next.at
		next.run()
	}
	if w.broken == "" {
		w.now = until
	}
}

// awaits plays until a condition holds, for so long at most, and says whether it does.
func (w *world) awaits(within time.Duration, met func() bool) bool {
	until := w.now + within
	for w.broken == "" && w.now < until {
		if met() {
			return true
		}
		w.play(min(10*time.Millisecond, until-w.now))
	}
	return met()
}

func (w *world) fail(format string, arguments ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, arguments...)
	}
}

// log adds something that happened, and when, to the trace.
func (w *world) log(format string, arguments ...any) {
	w.trace = (w.trace^uint64(w.now))*1099511628211 + uint64(len(format))
	if debug != nil {
		_, _ = fmt.Fprintf(debug, "%12v "+format+"\n", append([]any{w.now}, arguments...)...)
	}
}

// took counts a fault that took effect.
func (w *world) took(fault string) {
	w.counts[fault]++
	w.log("fault %s", fault)
}

// upTo draws a span.
func (w *world) upTo(most time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(max(most, 1))))
}

// between draws a span.
func (w *world) between(least, most time.Duration) time.Duration { return least + w.upTo(most-least) }
