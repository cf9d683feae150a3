package chain

import (
	"time"

	"ravendale/control/view"
)

// Intervals after which a message that may have been lost is sent again.
const (
	attachRetryInterval = 150 * time.Millisecond // of an Attach that no Fill has answered
	gapRetryInterval    = 50 * time.Millisecond  // between two Gaps
)

// AppendRetryInterval is after how long entries are sent again that the successor does not report as synced.
const AppendRetryInterval = 250 * time.Millisecond

// MaxUncommitted bounds the commands that are ordered and not committed, in bytes, the newest one apart: a head that has more takes no
// other. So a message among members, which carries them in one piece, stays under the bound of a frame.
const MaxUncommitted = 4 << 20

// Send is a message to another member: *Attach, *Fill, *Append, *Ack or *Gap.
type Send struct {
	To      view.ID
	Message any
}

// Actions are what the caller has to do, in the order of the fields. After the writes it takes a LogOffset, and hands that to OnSynced
// when they are on disk.
type Actions struct {
	Install *Fill // replace the machine's state by the snapshot; all that is on disk is to be written anew
	Writes  []Write
	Commits []Entry // apply to the machine
	Sends   []Send
}

// Machine is the state machine that applies what is committed.
type Machine interface {
	// Snapshot returns the complete state, as it is after the last entry that was handed out to be applied.
	Snapshot() []byte
}

// Chain is one member's replica: its log, its place in the chain and its links to both neighbours. It is not safe for concurrent use.
type Chain struct {
	self    view.ID
	machine Machine

	log           replicaLog
	configuration configuration
	upstream      upstream
	downstream    downstream
	proposals     map[uint64]*proposalWindow // of this epoch, by origin; used by the head
	actions       Actions                    // since the last Take
	applyDue      bool                       // see ApplyDue
	applyBatch    uint64                     // most entries handed out to be applied in one step
	earlyCommit   bool                       // a mutation of tests: commits are learnt before the member is attached
}

// configuration is what the view that was adopted last means for the member.
type configuration struct {
	epoch    uint64
	members  []view.ID // the head first
	position int       // the member's own, -1 if it has none
	durable  bool      // the chain has disks enough to commit
	sealed   bool      // a successor of the view was promised: the member's part in the epoch is over
}

func (c *configuration) predecessor() (view.ID, bool) {
	if c.position <= 0 {
		return 0, false
	}
	return c.members[c.position-1], true
}

func (c *configuration) successor() (view.ID, bool) {
	if c.position < 0 || c.position+1 >= len(c.members) {
		return 0, false
	}
	return c.members[c.position+1], true
}

func (c *configuration) isTail() bool { return c.position == len(c.members)-1 }

// New makes a member from the state on its disk. It takes part in the chain from Adopt on.
func New(self view.ID, state State, machine Machine) *Chain {
	return &Chain{
		self: self, machine: machine, log: newLog(state), configuration: configuration{position: -1},
		downstream: downstream{deferredAttaches: make(map[view.ID]*Attach)}, applyBatch: defaultApplyBatch,
	}
}

// State returns what has to be on disk beside the machine's snapshot, and compacts the log: entries that were applied are dropped, since
// the snapshot covers them.
func (c *Chain) State() State { return c.log.compact() }

// Last returns the sequence of the last entry.
func (c *Chain) Last() uint64 { return c.log.last() }

// Synced returns the sequence up to which the log is on disk.
func (c *Chain) Synced() uint64 { return c.log.synced }

// Committed returns the sequence up to which entries are known to be committed.
func (c *Chain) Committed() uint64 { return c.log.committed }

// Attached reports whether the member follows the chain of its epoch, on disk: then it may order, pass on and commit.
func (c *Chain) Attached() bool { return c.upstream.attached }

// Complete reports whether the member holds all that was committed before its epoch.
func (c *Chain) Complete() bool {
	return c.configuration.position >= 0 && c.log.state.CompleteEpoch == c.configuration.epoch
}

// Position returns the member's index in the chain, 0 at the head, -1 if it is not part of it.
func (c *Chain) Position() int { return c.configuration.position }

// Take returns the actions that came up since it was called last.
func (c *Chain) Take() Actions {
	actions := c.actions
	c.actions = Actions{}
	return actions
}

// Adopt moves to a decided view. A member that has restarted in its epoch can't know what it ordered before: as the head it stays idle,
// until the next epoch. Durable says whether the chain has enough disks to commit.
func (c *Chain) Adopt(now time.Duration, v *view.View, durable, restarted bool) {
	c.configuration = configuration{epoch: v.Epoch, members: v.Chain, position: v.Position(c.self), durable: durable}
	c.upstream.aligned, c.upstream.attached, c.downstream.attached = false, false, false
	c.proposals = make(map[uint64]*proposalWindow)
	c.log.state.Follow(c.self, v)
	switch {
	case c.configuration.position == 0 && !restarted:
		c.upstream.aligned = true
		c.write(Write{Entries: c.log.extend(Entry{Epoch: c.configuration.epoch})})
	case c.configuration.position > 0:
		c.sendAttach(now)
	}
}

// Seal ends the member's part in its epoch: it has promised a ballot for the next view, and orders, takes and passes on nothing more.
func (c *Chain) Seal() { c.configuration.sealed = true }

// Tick makes the next batch of committed entries due, and sends again what may have been lost. While HasUnapplied it is to be called again soon.
func (c *Chain) Tick(now time.Duration) {
	c.applyDue = true
	if c.configuration.position > 0 && !c.upstream.aligned && !c.configuration.sealed && now-c.upstream.attachSentAt >= attachRetryInterval {
		c.sendAttach(now)
	}
}

// Propose has the head order a command: number of its origin's commands, of which none below low will be proposed again. It returns false
// if this member can't order it now, and has not. A duplicate of a command that was ordered in this epoch is accepted and not ordered again.
func (c *Chain) Propose(now time.Duration, origin, number, low uint64, command []byte) bool {
	if c.configuration.position != 0 || !c.upstream.attached || c.configuration.sealed || !c.configuration.durable || c.log.uncommittedBytes() > MaxUncommitted {
		return false
	}
	if c.proposals[origin] == nil {
		c.proposals[origin] = &proposalWindow{admitted: make(map[uint64]bool)}
	}
	if !c.proposals[origin].admit(number, low) {
		return true
	}
	c.write(Write{Entries: c.log.extend(Entry{Epoch: c.configuration.epoch, Origin: origin, Number: number, Command: command})})
	return true
}

func (c *Chain) write(write Write) { c.actions.Writes = append(c.actions.Writes, write) }

func (c *Chain) send(to view.ID, message any) {
	c.actions.Sends = append(c.actions.Sends, Send{To: to, Message: message})
}
