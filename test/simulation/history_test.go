package simulation

import (
	"bytes"
	"fmt"
	"math"
	"time"

	"ravendale/cluster/wire"
	"ravendale/control/state"
)

const noLimit = time.Duration(math.MaxInt64)

// history records what is checked: the commands in the order in which they were applied, and the answers to operators.
type history struct {
	world         *world
	order         [][]byte        // commands, as applied by the first control process to apply each
	firstAt       []time.Duration // time when each command was first applied by any control process
	results       [][]byte        // result of each command at the first control process to apply it
	changeNumbers []uint64        // version of the configuration that each command made; 0: none
	sequences     map[string]uint64
	operations    []*operation
	lastAckAt     time.Duration // last time an order was acknowledged
	acked         []acked       // acknowledged configurations, in order of time
	checks        int           // number of checks that a connected edge or store serves a recent configuration
}

// acked is a configuration that was acknowledged.
type acked struct {
	at       time.Duration
	sequence uint64
}

// answer is the kind of answer to an operator.
type answer int

// The answers.
const (
	answerUnknown     answer = iota // or no answer at all
	answerUnavailable               // the order was not and will not be applied
	answerAccepted
	answerRefusedVersion
	answerRefusedInvalid
)

// operation is one attempt of an operator to send an order.
type operation struct {
	command  []byte
	from, to time.Duration
	answer   answer
	version  uint64
	position int // of the command in the history; negative: answered without applying a command
	result   []byte
}

func newHistory(w *world) *history { return &history{world: w, sequences: make(map[string]uint64)} }

// applied records that a control process applied command number count, and checks it against the other control
// processes.
func (h *history) applied(c *control, count int, command, result []byte) {
	switch {
	case count == len(h.order):
		h.add(bytes.Clone(command), bytes.Clone(result))
	case count > len(h.order):
		h.world.fail("%s applies command %d, which leaves a gap in the sequence", c.name, count)
	case !bytes.Equal(h.order[count], command):
		h.world.fail("%s applies command %d as %s, another control process applied it as %s", c.name, count, nameOf(command), nameOf(h.order[count]))
	case !bytes.Equal(h.results[count], result):
		h.world.fail("%s has result %x of command %d, %s, another control process has %x", c.name, result, count, nameOf(command), h.results[count])
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
	h.firstAt, h.changeNumbers = append(h.firstAt, h.world.now), append(h.changeNumbers, change)
}

// checkLease fails if two control processes hold the leader lease at once. A frozen holder counts: it would act on its
// lease after a thaw.
func (h *history) checkLease() {
	holders := ""
	count := 0
	for _, m := range h.world.machines {
		if c, ok := m.program.(*control); ok && c.holdsLease() {
			holders += " " + c.name
			count++
		}
	}
	if count > 1 {
		h.world.fail("the leader lease is held by several control processes:%s", holders)
	}
}

func (h *history) orderSent(command []byte) *operation {
	o := &operation{command: command, from: h.world.now, to: noLimit, position: -1}
	h.operations = append(h.operations, o)
	return o
}

func (h *history) orderAnswered(o *operation) {
	o.to = h.world.now
	h.world.log("answer %d version %d to %x", o.answer, o.version, o.command)
}

// answerReceived records that an answer reached the operator.
func (h *history) answerReceived(o *operation) {
	if o.answer != answerAccepted {
		return
	}
	h.lastAckAt = h.world.now
	if sequence := h.sequences[string(o.command)]; sequence > 0 {
		h.acked = append(h.acked, acked{h.world.now, sequence})
	}
}

// checkServing checks that no edge or store returns to an older version within an incarnation, and that none that is
// connected to the core serves an older configuration than the newest one acknowledged more than convergeBound ago.
func (h *history) checkServing() {
	w := h.world
	needed := uint64(0)
	for _, a := range h.acked {
		if w.now-a.at > convergeBound {
			needed = max(needed, a.sequence)
		}
	}
	calm := w.coreStable()
	for _, p := range w.processes() {
		if !w.reachesCore(p) {
			p.disconnectedAt = w.now
		}
		versions, serves := p.serves()
		if !serves {
			continue
		}
		for topic := range versions {
			if versions[topic].Less(p.lastServed[topic]) {
				w.fail("%s returned from version %v to %v of topic %d", p.name, p.lastServed[topic], versions[topic], topic)
			}
		}
		p.lastServed = versions
		if !calm || w.now-p.disconnectedAt < contactBound || w.now-p.disturbedAt < contactBound || w.network.slowCount[p.machine] > 0 {
			continue
		}
		h.checks++
		if has := versions[wire.TopicConfig].Sequence; has < needed {
			w.fail("%s serves configuration %d, although %d was acknowledged over %v ago", p.name, has, needed, convergeBound)
		}
	}
}

// check checks the whole history.
func (h *history) check() {
	h.checkResults()
	h.checkTimes()
	h.checkCounts()
	h.checkDuplicates()
}

// checkResults checks that each answer is the result of its command in the history.
func (h *history) checkResults() {
	for _, o := range h.operations {
		if o.position < 0 {
			continue
		}
		if o.position >= len(h.order) || !bytes.Equal(h.order[o.position], o.command) {
			h.world.fail("%s was answered from position %d, which holds another command", nameOf(o.command), o.position)
			return
		}
		if !bytes.Equal(o.result, h.results[o.position]) {
			h.world.fail("%s was answered %x, its result is %x", nameOf(o.command), o.result, h.results[o.position])
		}
	}
}

// checkTimes checks that the order of commands agrees with real time: no command sent after another one was answered
// precedes it. Together with checkResults this makes the history linearizable.
func (h *history) checkTimes() {
	earliest := make([]time.Duration, len(h.order)+1) // earliest answer to an operation at this position or a later one
	from := make([]time.Duration, len(h.order))
	for i := range earliest {
		earliest[i] = noLimit
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

// checkCounts checks that no command was applied more often than it was sent, not counting attempts that were answered
// as not applied.
func (h *history) checkCounts() {
	sent := make(map[string]int)
	for _, o := range h.operations {
		if o.answer != answerUnavailable || o.position >= 0 {
			sent[string(o.command)]++
		}
	}
	for position, command := range h.order {
		if kind := state.Kind(command[0]); kind != state.KindSet && kind != state.KindPatch && kind != state.KindShow {
			continue // sent by the leader, not by an operator
		}
		if sent[string(command)]--; sent[string(command)] < 0 {
			h.world.fail("%s, command %d, was applied more often than it was sent without being answered as not applied", nameOf(command), position)
			return
		}
	}
}

// checkDuplicates checks that each version was confirmed to one order only, and that no repeated order is refused after
// it was applied.
func (h *history) checkDuplicates() {
	orders := make(map[uint64]string)
	takenAt := make(map[string]time.Duration)
	for position, command := range h.order {
		if _, known := takenAt[string(command)]; !known && h.changeNumbers[position] > 0 {
			takenAt[string(command)] = h.firstAt[position]
		}
	}
	for _, o := range h.operations {
		if state.Kind(o.command[0]) == state.KindShow {
			continue
		}
		at, wasApplied := takenAt[string(o.command)]
		switch o.answer {
		case answerAccepted:
			if known, ok := orders[o.version]; ok && known != string(o.command) {
				h.world.fail("version %d was confirmed to two orders: %s and %s", o.version, nameOf([]byte(known)), nameOf(o.command))
			}
			orders[o.version] = string(o.command)
			if !wasApplied {
				h.world.fail("%s was acknowledged but never applied", nameOf(o.command))
			}
		case answerRefusedVersion, answerRefusedInvalid:
			if wasApplied && at < o.from {
				h.world.fail("%s was applied at %v, but refused when it was sent again at %v", nameOf(o.command), at, o.from)
			}
		}
	}
}

// nameOf describes a command in failure messages.
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
