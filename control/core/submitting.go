package core

import (
	"time"

	"ravendale/control/view"
)

// Submit takes a command, whose end is told in an output under the number that it returns.
func (n *node) Submit(now time.Duration, text []byte) uint64 {
	n.number++
	n.pending[n.number] = &command{number: n.number, command: text}
	if n.aside.from != "" {
		n.end(n.pending[n.number], nil, ErrUnavailable)
	}
	n.submitAll(now)
	n.finish(now)
	return n.number
}

// Cancel stops waiting for a command, and says whether it may still be applied; done means that it has ended already.
func (n *node) Cancel(number uint64) (err error, done bool) {
	pending := n.pending[number]
	if pending == nil {
		return nil, true
	}
	delete(n.pending, number)
	if pending.epoch == 0 {
		return ErrUnavailable, false
	}
	return ErrUnknown, false
}

// submitAll sends what waits to the head, again if that has not helped. Within an epoch the head orders a command once, and a
// later epoch is only tried when the earlier one is known to have ended without it.
func (n *node) submitAll(now time.Duration) {
	if len(n.pending) == 0 || n.aside.from != "" || !n.chain.Attached() || n.vote.Sealed(n.view.Epoch) || !n.config.Durability.Met(&n.view) {
		return
	}
	low := n.number
	for number := range n.pending {
		low = min(low, number)
	}
	for number := low; number <= n.number; number++ {
		pending := n.pending[number]
		if pending == nil || pending.epoch != 0 && (pending.epoch != n.view.Epoch || now-pending.sentAt < proposeAgain) {
			continue
		}
		n.pass(now, pending, low)
	}
}

func (n *node) pass(now time.Duration, pending *command, low uint64) {
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
// it on. Neighbours in a chain hear each other, though a cut may part others.
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
