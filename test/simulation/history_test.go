package simulation

import (
	"bytes"
	"fmt"
	"math"
	"time"

	"ravendale/cluster/wire"
	"ravendale/control/state"
)

const endless = time.Duration(math.MaxInt64)

// history is what is checked: the commands in the order in which they were applied, and what operators were answered.
type history struct {
	world      *world
	order      [][]byte        // commands, as the first to apply each saw it
	firstAt    []time.Duration // when each was first applied anywhere
	results    [][]byte        // of each, as the first had it
	changes    []uint64        // the number of the configuration that each made; 0: none
	sequences  map[string]uint64
	operations []*operation
	newest     time.Duration // when an order was last acknowledged
	acked      []acked       // versions of the configuration that were acknowledged, in time
	checks     int           // that an edge in touch served what it must
}

// acked is a configuration that was acknowledged.
type acked struct {
	at       time.Duration
	sequence uint64
}

// answer is what an operator may be answered.
type answer int

// The answers.
const (
	unsure      answer = iota // or nothing
	unavailable               // it was not and will not be done
	taken
	refusedVersion
	refusedInvalid
)

// operation is an order of an operator, sent once.
type operation struct {
	command  []byte
	from, to time.Duration
	answer   answer
	version  uint64
	position int // in the order of commands; negative: it was answered without
	result   []byte
}

func newHistory(w *world) *history { return &history{world: w, sequences: make(map[string]uint64)} }

// applied hears from a control process what it has applied as its count-th command.
func (h *history) applied(c *control, count int, command, result []byte) {
	switch {
	case count == len(h.order):
		h.add(bytes.Clone(command), bytes.Clone(result))
	case count > len(h.order):
		h.world.fail("%s applies command %d before the one in front of it", c.name, count)
	case !bytes.Equal(h.order[count], command):
		h.world.fail("%s applies command %d as %s, which was %s elsewhere", c.name, count, nameOf(command), nameOf(h.order[count]))
	case !bytes.Equal(h.results[count], result):
		h.world.fail("%s has %x of command %d, %s, which was %x elsewhere", c.name, result, count, nameOf(command), h.results[count])
	}
}

func (h *history) add(command, encoded []byte) {
	result, err := state.DecodeResult(encoded)
	if err != nil {
		h.world.fail("%s: %v", nameOf(command), err)
		return
	}
	change := uint64(0)
	if kind := state.Kind(command[0]); result.Outcome == state.OutcomeApplied && (kind == state.KindSet || kind == state.KindPatch) {
		change = result.Sequence
		h.sequences[string(command)] = change
	}
	h.world.log("command %d %s: %v", len(h.order), nameOf(command), result.Outcome)
	h.order, h.results = append(h.order, command), append(h.results, encoded)
	h.firstAt, h.changes = append(h.firstAt, h.world.now), append(h.changes, change)
}

// checkLease looks for two holders of the leader lease at once. A frozen one counts: it may be thawed and act.
func (h *history) checkLease() {
	holders := ""
	count := 0
	for _, m := range h.world.machines {
		if c, ok := m.program.(*control); ok && c.holds() {
			holders += " " + c.name
			count++
		}
	}
	if count > 1 {
		h.world.fail("the leader lease is held by%s at once", holders)
	}
}

func (h *history) began(command []byte) *operation {
	o := &operation{command: command, from: h.world.now, to: endless, position: -1}
	h.operations = append(h.operations, o)
	return o
}

func (h *history) answered(o *operation) {
	o.to = h.world.now
	h.world.log("answer %d version %d to %x", o.answer, o.version, o.command)
}

// heard tells that an answer reached the operator.
func (h *history) heard(o *operation) {
	if o.answer != taken {
		return
	}
	h.newest = h.world.now
	if sequence := h.sequences[string(o.command)]; sequence > 0 {
		h.acked = append(h.acked, acked{h.world.now, sequence})
	}
}

// checkServing sees whether no edge goes back within an incarnation, and none that is in touch serves an older configuration than it may.
func (h *history) checkServing() {
	w := h.world
	needed := uint64(0)
	for _, a := range h.acked {
		if w.now-a.at > converge {
			needed = max(needed, a.sequence)
		}
	}
	calm := w.coreStable()
	for _, p := range w.processes() {
		if !w.reachesCore(p) {
			p.outside = w.now
		}
		versions, serves := p.serves()
		if !serves {
			continue
		}
		for topic := range versions {
			if versions[topic].Less(p.served[topic]) {
				w.fail("%s goes back from %v to %v of topic %d", p.name, p.served[topic], versions[topic], topic)
			}
		}
		p.served = versions
		if !calm || w.now-p.outside < contact || w.now-p.harmed < contact || w.network.slow[p.machine] > 0 {
			continue
		}
		h.checks++
		if has := versions[wire.TopicConfig].Sequence; has < needed {
			w.fail("%s serves configuration %d, and %d was acknowledged over %v ago", p.name, has, needed, converge)
		}
	}
}

// check looks at the whole history.
func (h *history) check() {
	h.checkResults()
	h.checkTimes()
	h.checkCounts()
	h.checkDuplicates()
}

// checkResults sees whether the order explains each answer.
func (h *history) checkResults() {
	for _, o := range h.operations {
		if o.position < 0 {
			continue
		}
		if o.position >= len(h.order) || !bytes.Equal(h.order[o.position], o.command) {
			h.world.fail("%s was answered from place %d, where another command is", nameOf(o.command), o.position)
			return
		}
		if !bytes.Equal(o.result, h.results[o.position]) {
			h.world.fail("%s was answered %x and not %x", nameOf(o.command), o.result, h.results[o.position])
		}
	}
}

// checkTimes sees whether the order of commands is one of the answers' times too: then the history is linearizable.
func (h *history) checkTimes() {
	earliest := make([]time.Duration, len(h.order)+1) // end of an answered operation from a place on
	from := make([]time.Duration, len(h.order))
	for i := range earliest {
		earliest[i] = endless
	}
	for _, o := range h.operations {
		if o.position >= 0 {
			from[o.position] = o.from
			earliest[o.position] = min(earliest[o.position], o.to)
		}
	}
	for position := len(h.order) - 1; position >= 0; position-- {
		if from[position] > earliest[position+1] {
			h.world.fail("%s, command %d, was sent after a later one was answered", nameOf(h.order[position]), position)
		}
		earliest[position] = min(earliest[position], earliest[position+1])
	}
}

// checkCounts sees whether nothing was applied more often than it was sent, nor anything that surely was not.
func (h *history) checkCounts() {
	sent := make(map[string]int)
	for _, o := range h.operations {
		if o.answer != unavailable || o.position >= 0 {
			sent[string(o.command)]++
		}
	}
	for position, command := range h.order {
		if kind := state.Kind(command[0]); kind != state.KindSet && kind != state.KindPatch && kind != state.KindShow {
			continue // of a leader
		}
		if sent[string(command)]--; sent[string(command)] < 0 {
			h.world.fail("%s, command %d, was applied more often than it was sent and may have been", nameOf(command), position)
			return
		}
	}
}

// checkDuplicates sees whether one number names one order, and whether an order that was taken is never refused later.
func (h *history) checkDuplicates() {
	orders := make(map[uint64]string)
	takenAt := make(map[string]time.Duration)
	for position, command := range h.order {
		if _, known := takenAt[string(command)]; !known && h.changes[position] > 0 {
			takenAt[string(command)] = h.firstAt[position]
		}
	}
	for _, o := range h.operations {
		if state.Kind(o.command[0]) == state.KindShow {
			continue
		}
		at, was := takenAt[string(o.command)]
		switch o.answer {
		case taken:
			if known, ok := orders[o.version]; ok && known != string(o.command) {
				h.world.fail("number %d was confirmed to two orders: %s and %s", o.version, nameOf([]byte(known)), nameOf(o.command))
			}
			orders[o.version] = string(o.command)
			if !was {
				h.world.fail("%s was acknowledged and never taken", nameOf(o.command))
			}
		case refusedVersion, refusedInvalid:
			if was && at < o.from {
				h.world.fail("%s was taken at %v, and refused when it was sent again at %v", nameOf(o.command), at, o.from)
			}
		}
	}
}

// nameOf shows a command to a reader.
func nameOf(command []byte) string {
	decoded, err := state.Decode(command)
	if err != nil {
		return fmt.Sprintf("%x", command)
	}
	switch order := decoded.(type) {
	case *state.Set:
		return fmt.Sprintf("set on %d %s", order.Base, order.Body)
	case *state.Patch:
		return fmt.Sprintf("patch on %d %s", order.Base, order.Body)
	}
	return fmt.Sprintf("%T", decoded)
}
