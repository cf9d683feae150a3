package core

import (
	"time"

	"ravendale/control/view"
)

// commandTable holds the commands in flight: submitted here, and not ended.
type commandTable struct {
	pending    map[uint64]*command
	lastNumber uint64
}

// command is one that was submitted here.
type command struct {
	number  uint64
	command []byte
	epoch   uint64 // in which it was sent to the head; zero: it surely is not on its way
	sentAt  time.Duration
}

func newCommandTable() commandTable { return commandTable{pending: make(map[uint64]*command)} }

// fate is the error with which a command ends of which no more can be known.
func (c *command) fate() error {
	if c.epoch == 0 {
		return ErrUnavailable
	}
	return ErrUnknown
}

// add numbers a command.
func (t *commandTable) add(text []byte) *command {
	t.lastNumber++
	added := &command{number: t.lastNumber, command: text}
	t.pending[t.lastNumber] = added
	return added
}

// lowest is the number of the oldest command in flight.
func (t *commandTable) lowest() uint64 {
	low := t.lastNumber
	for number := range t.pending {
		low = min(low, number)
	}
	return low
}

// outlive tells that a command of an epoch was applied: what was ordered in earlier epochs has been applied, and those that have not were not
// in it.
func (t *commandTable) outlive(epoch uint64) {
	for _, pending := range t.pending {
		if pending.epoch != 0 && pending.epoch < epoch {
			pending.epoch = 0
		}
	}
}

// Submit takes a command, whose completion is in an output under the number that it returns.
func (n *node) Submit(now time.Duration, text []byte) uint64 {
	added := n.commands.add(text)
	if n.degraded() {
		n.end(added, nil, ErrUnavailable)
	}
	n.submitAll(now)
	n.finish(now)
	return added.number
}

// Cancel stops waiting for a command, and says by the error whether it may still be applied; done means that it has ended already.
func (n *node) Cancel(number uint64) (err error, done bool) {
	pending := n.commands.pending[number]
	if pending == nil {
		return nil, true
	}
	delete(n.commands.pending, number)
	return pending.fate(), false
}

// end ends a command in flight.
func (n *node) end(pending *command, result []byte, err error) {
	delete(n.commands.pending, pending.number)
	n.output.Completions = append(n.output.Completions, completion{Number: pending.number, Result: result, Err: err})
}

// submitAll sends what waits to the head, again if that has not helped. Within an epoch the head orders a command once, and a
// later epoch is only attempted when the earlier one is known to have ended without it.
func (n *node) submitAll(now time.Duration) {
	if len(n.commands.pending) == 0 || n.degraded() || !n.chain.Attached() || n.vote.Sealed(n.view.Epoch) || !n.config.Durability.Met(&n.view) {
		return
	}
	low := n.commands.lowest()
	for number := low; number <= n.commands.lastNumber; number++ {
		pending := n.commands.pending[number]
		if pending == nil || pending.epoch != 0 && (pending.epoch != n.view.Epoch || now-pending.sentAt < proposeRetryInterval) {
			continue
		}
		n.sendToHead(now, pending, low)
	}
}

func (n *node) sendToHead(now time.Duration, pending *command, low uint64) {
	if n.chain.Position() != 0 {
		pending.epoch, pending.sentAt = n.view.Epoch, now
		n.send(n.towardsHead(now), &propose{
			Epoch: n.view.Epoch, Origin: n.origin, Number: pending.number, Low: low, Command: pending.command,
		})
		return
	}
	if n.chain.Propose(now, n.origin, pending.number, low, pending.command) {
		pending.epoch, pending.sentAt = n.view.Epoch, now
	}
}

// towardsHead is the member that a command for the head is sent to: the head itself, or the first of the chain that this one hears, which passes
// it on. Neighbours in a chain hear each other, though a partition may part others.
func (n *node) towardsHead(now time.Duration) view.ID {
	for _, id := range n.view.Chain[:max(n.chain.Position(), 0)] {
		if n.hears(now, id) {
			return id
		}
	}
	return n.view.Head()
}

// onPropose orders a command of another member, or passes it on towards the head.
func (n *node) onPropose(now time.Duration, m *propose) {
	switch {
	case m.Epoch != n.view.Epoch:
	case n.chain.Position() > 0:
		n.send(n.towardsHead(now), m)
	default:
		n.chain.Propose(now, m.Origin, m.Number, m.Low, m.Command)
	}
}
