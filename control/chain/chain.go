package chain

import (
	"time"

	"ravendale/control/view"
)

// Intervals after which a message that may have been lost is sent again.
const (
	attachRetryInterval = 150 * time.Millisecond // for an Attach that was not answered with a Fill
	gapRetryInterval    = 50 * time.Millisecond  // minimum between two Gap messages
)

// AppendRetryInterval is the time after which entries are sent again if the successor has not reported them as
// synced.
const AppendRetryInterval = 250 * time.Millisecond

// MaxUncommitted is the size in bytes of ordered but uncommitted commands above which the head refuses further
// commands. The newest command may exceed it. The limit keeps a message to another member that carries all of these
// commands below the maximum frame size.
const MaxUncommitted = 4 << 20

// Send is a message to another member: *Attach, *Fill, *Append, *Ack or *Gap.
type Send struct {
	To      view.ID
	Message any
}

// Actions are what the caller has to do, in the order of the fields. After the writes it calls LogOffset, and passes
// the result to OnSynced when the writes are on disk.
type Actions struct {
	Install *Fill // replace the machine's state by this snapshot, and rewrite everything on disk
	Writes  []Write
	Commits []Entry // apply to the machine
	Sends   []Send
}

// Machine is the state machine to which committed entries are applied.
type Machine interface {
	// Snapshot returns the complete state after the last entry that was handed out to be applied.
	Snapshot() []byte
}

// Chain is one member's replica: its log, its position in the chain, and its connections to the predecessor and the
// successor. It is not safe for concurrent use.
type Chain struct {
	self    view.ID
	machine Machine

	log           replicaLog
	configuration configuration
	upstream      upstream
	downstream    downstream
	proposals     map[uint64]*proposalWindow // by origin, in the current epoch; used only at the head
	actions       Actions                    // since the last Take
	applyDue      bool                       // see ApplyDue
	applyBatch    uint64                     // maximum number of entries handed out to be applied in one step
	earlyCommit   bool                       // fault injected by tests, see MutateEarlyCommit
}

// configuration is this member's part in the view that was adopted last.
type configuration struct {
	epoch    uint64
	members  []view.ID // the head first
	position int       // index of this member in members, -1 if it is not part of the chain
	durable  bool      // the chain has enough disks to commit
	sealed   bool      // a ballot for the next view is promised, see Seal
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

// New returns a member with the state that was read from its disk. It takes part in the chain once Adopt is called.
func New(self view.ID, state State, machine Machine) *Chain {
	return &Chain{
		self: self, machine: machine, log: newLog(state), configuration: configuration{position: -1},
		downstream: downstream{deferredAttaches: make(map[view.ID]*Attach)}, applyBatch: defaultApplyBatch,
	}
}

// State returns what the caller stores along with the machine's snapshot, and compacts the log: it drops the applied
// entries, which the snapshot covers.
func (c *Chain) State() State { return c.log.compact() }

// Last returns the sequence number of the last entry.
func (c *Chain) Last() uint64 { return c.log.last() }

// Synced returns the sequence number up to which the log is on disk.
func (c *Chain) Synced() uint64 { return c.log.synced }

// Committed returns the sequence number up to which entries are known to be committed.
func (c *Chain) Committed() uint64 { return c.log.committed }

// Attached reports whether the member's log on disk follows the chain of its epoch. Only then may the member order,
// forward and commit entries.
func (c *Chain) Attached() bool { return c.upstream.attached }

// Complete reports whether the member holds every entry that was committed before its epoch.
func (c *Chain) Complete() bool {
	return c.configuration.position >= 0 && c.log.state.CompleteEpoch == c.configuration.epoch
}

// Position returns the member's index in the chain: 0 for the head, -1 if it is not part of the chain.
func (c *Chain) Position() int { return c.configuration.position }

// Take returns the actions that were added since the last call of Take.
func (c *Chain) Take() Actions {
	actions := c.actions
	c.actions = Actions{}
	return actions
}

// Adopt switches to a decided view. A head that has restarted during the epoch doesn't know which entries it ordered
// before, so it stays idle until the next epoch. Durable is true if the chain has enough disks to commit.
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

// Seal ends the member's participation in its epoch, since it has promised a ballot for the next view. It no longer
// orders, accepts or forwards entries.
func (c *Chain) Seal() { c.configuration.sealed = true }

// Tick makes the next batch of committed entries due, and repeats an Attach that may have been lost. While
// HasUnapplied returns true, the caller should call Tick again soon.
func (c *Chain) Tick(now time.Duration) {
	c.applyDue = true
	if c.configuration.position > 0 && !c.upstream.aligned && !c.configuration.sealed && now-c.upstream.attachSentAt >= attachRetryInterval {
		c.sendAttach(now)
	}
}

// Propose appends a command to the log if this member is the head. Number identifies the command among those of its
// origin, which will not propose any number below low again. If this member can't order the command now, Propose
// returns false and appends nothing. For a duplicate of a command that was ordered in this epoch it returns true and
// appends nothing.
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
