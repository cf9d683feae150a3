package core

import (
	"time"

	"ravendale/control/view"
)

// commandTable holds the commands that were submitted to this node and have not completed.
type commandTable struct {
	pending    map[uint64]*command
	lastNumber uint64
}

// command is a command that was submitted to this node.
type command struct {
	number  uint64
	command []byte
	epoch   uint64 // in which it was sent to the head; zero if it was not sent, or is known not to have been ordered
	sentAt  time.Duration
}

func newCommandTable() commandTable { return commandTable{pending: make(map[uint64]*command)} }

// abandonError returns the error of a command whose outcome will not become known.
func (c *command) abandonError() error {
	if c.epoch == 0 {
		return ErrUnavailable
	}
	return ErrUnknown
}

// add assigns a number to a command and adds it to the table.
func (t *commandTable) add(payload []byte) *command {
	t.lastNumber++
	added := &command{number: t.lastNumber, command: payload}
	t.pending[t.lastNumber] = added
	return added
}

// lowestPending returns the number of the oldest pending command.
func (t *commandTable) lowestPending() uint64 {
	low := t.lastNumber
	for number := range t.pending {
		low = min(low, number)
	}
	return low
}

// markUnordered marks pending commands that were sent in earlier epochs as not sent. It is called when a command of the
// given epoch is applied: all commands that were ordered in earlier epochs have then been applied, so that those still
// pending were not ordered.
func (t *commandTable) markUnordered(epoch uint64) {
	for _, pending := range t.pending {
		if pending.epoch != 0 && pending.epoch < epoch {
			pending.epoch = 0
		}
	}
}

// Submit adds a command and returns its number, under which a later output reports its completion.
func (n *node) Submit(now time.Duration, payload []byte) uint64 {
	added := n.commands.add(payload)
	if n.degraded() {
		n.complete(added, nil, ErrUnavailable)
	}
	n.submitAll(now)
	n.finishStep(now)
	return added.number
}

// Cancel stops waiting for a command. The error tells whether the command may still be applied; done is true if it has
// already completed.
func (n *node) Cancel(number uint64) (err error, done bool) {
	pending := n.commands.pending[number]
	if pending == nil {
		return nil, true
	}
	delete(n.commands.pending, number)
	return pending.abandonError(), false
}

// complete reports the outcome of a pending command and removes it from the table.
func (n *node) complete(pending *command, result []byte, err error) {
	delete(n.commands.pending, pending.number)
	n.output.Completions = append(n.output.Completions, completion{Number: pending.number, Result: result, Err: err})
}

// submitAll sends pending commands to the head, and sends those again that are still pending after
// proposeRetryInterval. The head orders a command once per epoch; a command is only sent in a later epoch once it is
// known that it was not ordered in the earlier one.
func (n *node) submitAll(now time.Duration) {
	if len(n.commands.pending) == 0 || n.degraded() || !n.chain.Attached() || n.vote.Sealed(n.view.Epoch) || !n.config.Durability.Met(&n.view) {
		return
	}
	low := n.commands.lowestPending()
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
		n.send(n.proposalTarget(now), &propose{
			Epoch: n.view.Epoch, Origin: n.origin, Number: pending.number, Low: low, Command: pending.command,
		})
		return
	}
	if n.chain.Propose(now, n.origin, pending.number, low, pending.command) {
		pending.epoch, pending.sentAt = n.view.Epoch, now
	}
}

// proposalTarget returns the member to which a command for the head is sent: the first responsive member of the chain
// in front of this one, which passes the command on if it is not the head. During a partial partition this node may
// receive nothing from the head, but neighbours in a chain receive one another's messages.
func (n *node) proposalTarget(now time.Duration) view.ID {
	for _, id := range n.view.Chain[:max(n.chain.Position(), 0)] {
		if n.isResponsive(now, id) {
			return id
		}
	}
	return n.view.Head()
}

// onPropose orders another member's command, or passes it on towards the head.
func (n *node) onPropose(now time.Duration, m *propose) {
	switch {
	case m.Epoch != n.view.Epoch:
	case n.chain.Position() > 0:
		n.send(n.proposalTarget(now), m)
	default:
		n.chain.Propose(now, m.Origin, m.Number, m.Low, m.Command)
	}
}
