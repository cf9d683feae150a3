// Package chain is one member's part in chain replication: the head orders entries, each member has them on disk before it passes them
// on, the tail commits them. It is pure: it says what to write and to send, and is told when a write is on disk.
package chain

import (
	"math"
	"time"

	"ravendale/control/view"
)

// Times after which something that may have been lost is sent again.
const (
	AttachAgain = 150 * time.Millisecond
	AppendAgain = 250 * time.Millisecond
	GapAgain    = 50 * time.Millisecond
)

// commitBatch is how many entries are handed out to be applied in one step: between two steps a member that has many of them to apply
// goes on to speak to the others.
const commitBatch = 4

// MaxUncommitted bounds the commands that are ordered and not committed, in bytes, the newest one apart: a head that has more takes no
// other. So a message among members, which carries them in one piece, stays under the bound of a frame.
const MaxUncommitted = 4 << 20

// Send is a message to another member: *Attach, *Fill, *Append, *Ack or *Gap.
type Send struct {
	To      view.ID
	Message any
}

// Actions are what the caller has to do, in the order of the fields. After the writes it takes a Mark, and hands that to OnDisk
// when they are on disk.
type Actions struct {
	Install *Fill // replace the machine's state by the snapshot; all that is on disk is to be written anew
	Writes  []Write
	Commits []Entry // apply to the machine
	Sends   []Send
}

// Mark remembers what a write covers.
type Mark struct {
	last  uint64
	fork  uint64
	taken uint64 // epoch in which the log had been made to follow the predecessor's
}

// Machine is the state machine that applies what is committed.
type Machine interface {
	// Snapshot is the whole state, as it is after the last commit.
	Snapshot() []byte
}

// Chain is one member's log and links.
type Chain struct {
	self    view.ID
	machine Machine

	state     State
	committed uint64 // known to be committed, of which some may not be handed out yet
	handedOut uint64 // to be applied: so far the machine's snapshot reaches
	synced    uint64
	fork      uint64 // climbs when entries are thrown away
	actions   Actions
	batch     uint64 // most entries handed out in one step
	eager     bool   // commits are learnt before the member is attached

	epoch    uint64
	members  []view.ID
	position int
	durable  bool
	sealed   bool
	taken    bool // the log follows the predecessor's, in memory
	attached bool // and on disk
	attachAt time.Duration
	waiting  map[view.ID]*Attach // newest from each, that could not be answered yet
	ordered  map[uint64]*numbers

	successor bool // the successor is attached
	next      uint64
	reached   uint64        // what it last said to have on disk
	reachedAt time.Duration // since when it has not said more
	gapAt     time.Duration // when a gap was last told
}

// New makes a member from what is on its disk. It takes no part before Adopt.
func New(self view.ID, state State, machine Machine) *Chain {
	c := &Chain{self: self, machine: machine, state: state, position: -1, waiting: make(map[view.ID]*Attach), batch: commitBatch}
	c.committed, c.handedOut = state.Base, state.Base
	c.synced = c.Last()
	return c
}

// Unbounded has all entries handed out at once, which only tests of tests may ask for.
func (c *Chain) Unbounded() { c.batch = math.MaxUint32 }

// Eager has commits learnt before the log follows the predecessor's, which only tests of tests may ask for.
func (c *Chain) Eager() { c.eager = true }

// Replay applies a write that was read from disk.
func (s *State) Replay(w *Write) {
	if w.Cut && w.Keep >= s.Base && w.Keep-s.Base < uint64(len(s.Entries)) {
		s.Entries = s.Entries[:w.Keep-s.Base]
	}
	s.Entries = append(s.Entries, w.Entries...)
	if w.Whole != 0 {
		s.Whole = w.Whole
	}
}

// Follow is what a decided view means for the State: members named whole in it are.
func (s *State) Follow(self view.ID, v *view.View) {
	if position := v.Position(self); position >= 0 && position < v.Whole {
		s.Whole = v.Epoch
	}
}

// State is what has to be on disk, the machine's snapshot apart. It drops the entries that were handed out, which that covers.
func (c *Chain) State() State {
	if c.handedOut > c.state.Base {
		epoch := c.epochAt(c.handedOut)
		kept := c.state.Entries[c.handedOut-c.state.Base:]
		c.state.Entries = append([]Entry(nil), kept...)
		c.state.Base, c.state.BaseEpoch = c.handedOut, epoch
	}
	return c.state
}

// Last is the sequence of the last entry.
func (c *Chain) Last() uint64 { return c.state.Base + uint64(len(c.state.Entries)) }

// Synced is up to where the log is on disk.
func (c *Chain) Synced() uint64 { return c.synced }

// Committed is up to where entries are known to be committed.
func (c *Chain) Committed() uint64 { return c.committed }

// Attached says whether the member follows the chain of its epoch: then it may order, pass on and commit.
func (c *Chain) Attached() bool { return c.attached }

// Whole says whether the member holds all that was committed before its epoch.
func (c *Chain) Whole() bool { return c.position >= 0 && c.state.Whole == c.epoch }

// Position is the member's place in the chain, -1 if it has none.
func (c *Chain) Position() int { return c.position }

// Take returns what there is to do since it was called last.
func (c *Chain) Take() Actions {
	actions := c.actions
	c.actions = Actions{}
	return actions
}

// Mark remembers the log as it is now.
func (c *Chain) Mark() Mark {
	mark := Mark{last: c.Last(), fork: c.fork}
	if c.taken {
		mark.taken = c.epoch
	}
	return mark
}

// Adopt moves to a decided view. A member that has just started in it can't know what it ordered before: as the head it
// stays idle. Durable says whether the chain has disks enough to commit.
func (c *Chain) Adopt(now time.Duration, v *view.View, durable, restarted bool) {
	c.epoch, c.members, c.position, c.durable = v.Epoch, v.Chain, v.Position(c.self), durable
	c.sealed, c.taken, c.attached, c.successor = false, false, false, false
	c.ordered = make(map[uint64]*numbers)
	c.state.Follow(c.self, v)
	switch {
	case c.position == 0 && !restarted:
		c.taken = true
		c.write(Write{Entries: c.extend(0, 0, nil)})
	case c.position > 0:
		c.attach(now)
	}
}

// Seal ends the member's part in its epoch, after it has promised another.
func (c *Chain) Seal() { c.sealed = true }

// Behind says whether entries are known to be committed that were not handed out yet: Tick does so.
func (c *Chain) Behind() bool { return c.handedOut < c.committed }

// Unapplied is how many entries the machine's snapshot does not cover.
func (c *Chain) Unapplied() int { return int(c.Last() - c.handedOut) }

// Tick hands out what is left to be applied, and sends again what may have been lost.
func (c *Chain) Tick(now time.Duration) {
	c.handOut()
	if c.position > 0 && !c.taken && !c.sealed && now-c.attachAt >= AttachAgain {
		c.attach(now)
	}
}

func (c *Chain) attach(now time.Duration) {
	c.attachAt = now
	c.send(c.members[c.position-1], &Attach{
		Epoch: c.epoch, Last: c.Last(), LastEpoch: c.epochAt(c.Last()), Committed: c.committed,
	})
}

// Order appends a command, at the head. False: this member can't, now, and has not. A command ordered before in the epoch is not
// ordered again; below the origin's low none will be submitted again.
func (c *Chain) Order(now time.Duration, origin, number, low uint64, command []byte) bool {
	if c.position != 0 || !c.attached || c.sealed || !c.durable || c.uncommitted() > MaxUncommitted {
		return false
	}
	if c.ordered[origin] == nil {
		c.ordered[origin] = &numbers{taken: make(map[uint64]bool)}
	}
	if !c.ordered[origin].take(number, low) {
		return true
	}
	c.write(Write{Entries: c.extend(origin, number, command)})
	return true
}

// uncommitted is how many bytes of commands wait to be committed.
func (c *Chain) uncommitted() int {
	size := 0
	for i := c.committed - c.state.Base; i < uint64(len(c.state.Entries)); i++ {
		size += len(c.state.Entries[i].Command)
	}
	return size
}

// numbers are those of an origin's commands that were ordered in the epoch.
type numbers struct {
	low   uint64 // all below were ordered, or never will be submitted
	taken map[uint64]bool
}

// take says whether a number is new. What an origin says of its low may come out of order.
func (n *numbers) take(number, low uint64) bool {
	if low > n.low {
		n.low = low
		for old := range n.taken {
			if old < low {
				delete(n.taken, old)
			}
		}
	}
	if number < n.low || n.taken[number] {
		return false
	}
	n.taken[number] = true
	return true
}

func (c *Chain) extend(origin, number uint64, command []byte) []Entry {
	entry := Entry{Sequence: c.Last() + 1, Epoch: c.epoch, Origin: origin, Number: number, Command: command}
	c.state.Entries = append(c.state.Entries, entry)
	return []Entry{entry}
}

// OnDisk tells that all that was written up to a mark is on disk.
func (c *Chain) OnDisk(now time.Duration, mark Mark) {
	if mark.fork != c.fork {
		return
	}
	c.synced = max(c.synced, mark.last)
	if mark.taken == c.epoch && c.taken && !c.attached {
		c.attached = true
		c.answerWaiting(now)
	}
	c.forward()
	c.commitTail()
}

func (c *Chain) answerWaiting(now time.Duration) {
	if to, ok := c.successorID(); ok && c.waiting[to] != nil {
		c.OnAttach(now, to, c.waiting[to])
	}
}

func (c *Chain) successorID() (view.ID, bool) {
	if c.position < 0 || c.position+1 >= len(c.members) {
		return 0, false
	}
	return c.members[c.position+1], true
}

// OnAttach answers a successor; one that comes too early is answered later.
func (c *Chain) OnAttach(now time.Duration, from view.ID, message *Attach) {
	if message.Epoch < c.epoch {
		return
	}
	to, ok := c.successorID()
	if message.Epoch > c.epoch || !c.attached {
		c.waiting[from] = message
		return
	}
	delete(c.waiting, from)
	if !ok || to != from || c.sealed {
		return
	}
	fill := c.fill(message)
	c.successor, c.next, c.reached, c.reachedAt = true, c.synced+1, fill.From, now
	c.send(from, fill)
}

func (c *Chain) fill(message *Attach) *Fill {
	fill := &Fill{Epoch: c.epoch, Committed: c.committed}
	switch {
	case c.has(message.Last) && c.epochAt(message.Last) == message.LastEpoch:
		fill.From = message.Last
	case c.has(message.Committed):
		fill.From = message.Committed
	default:
		fill.Whole, fill.Snapshot, fill.From = true, c.machine.Snapshot(), c.handedOut
	}
	fill.FromEpoch = c.epochAt(fill.From)
	fill.Entries = c.between(fill.From, c.synced)
	return fill
}

// has says whether the epoch of an entry is known, and what follows it.
func (c *Chain) has(sequence uint64) bool { return sequence >= c.state.Base && sequence <= c.synced }

func (c *Chain) epochAt(sequence uint64) uint64 {
	if sequence == c.state.Base {
		return c.state.BaseEpoch
	}
	return c.state.Entries[sequence-c.state.Base-1].Epoch
}

// between returns the entries after from, up to to.
func (c *Chain) between(from, to uint64) []Entry {
	if from >= to {
		return nil
	}
	return append([]Entry(nil), c.state.Entries[from-c.state.Base:to-c.state.Base]...)
}

// OnFill makes the log follow the predecessor's.
func (c *Chain) OnFill(now time.Duration, from view.ID, message *Fill) {
	if message.Epoch != c.epoch || c.sealed || c.taken || c.position <= 0 || c.members[c.position-1] != from {
		return
	}
	if message.Whole {
		c.install(message)
	} else if !c.follow(message) {
		return
	}
	c.taken = true
	c.state.Whole = c.epoch
	c.commit(min(message.Committed, c.synced)) // of the rest it hears once that is on its own disk, too
}

func (c *Chain) install(message *Fill) {
	c.state = State{Base: message.From, BaseEpoch: message.FromEpoch, Entries: message.Entries}
	c.committed, c.handedOut = message.From, message.From
	c.fork++
	c.synced = message.From
	c.actions = Actions{Install: message}
}

func (c *Chain) follow(message *Fill) bool {
	if message.From < c.committed || message.From > c.Last() || c.epochAt(message.From) != message.FromEpoch {
		return false // an answer to an older question
	}
	write := Write{Entries: message.Entries, Whole: c.epoch}
	if message.From < c.Last() {
		write.Cut, write.Keep = true, message.From
		c.fork++
		c.synced = min(c.synced, message.From)
	}
	c.state.Replay(&write)
	c.write(write)
	return true
}

// OnAppend takes entries from the predecessor.
func (c *Chain) OnAppend(now time.Duration, from view.ID, message *Append) {
	if message.Epoch != c.epoch || c.sealed || !c.taken || c.position <= 0 || c.members[c.position-1] != from {
		return
	}
	if message.Previous > c.Last() {
		c.tellGap(now) // something between was lost
		return
	}
	if known := c.Last() - message.Previous; known < uint64(len(message.Entries)) {
		entries := message.Entries[known:]
		c.state.Entries = append(c.state.Entries, entries...)
		c.write(Write{Entries: entries})
	}
	c.learn(message.Committed)
}

// OnAck learns what is committed.
func (c *Chain) OnAck(message *Ack) {
	if message.Epoch == c.epoch {
		c.learn(message.Committed)
	}
}

// Beat is what a member tells all others now and then about itself.
type Beat struct {
	Epoch     uint64
	Attached  bool
	Synced    uint64
	Committed uint64
}

// OnBeat learns what is committed, and whether the successor misses anything.
func (c *Chain) OnBeat(now time.Duration, from view.ID, beat Beat) {
	if beat.Epoch != c.epoch {
		return
	}
	c.learn(beat.Committed)
	to, ok := c.successorID()
	if !ok || to != from || !beat.Attached || !c.attached || c.sealed {
		return
	}
	if beat.Synced > c.reached || beat.Synced+1 >= c.next {
		c.reached, c.reachedAt = beat.Synced, now
	}
	if !c.successor || beat.Synced+1 < c.next && now-c.reachedAt >= AppendAgain {
		c.resume(now, beat.Synced)
	}
	c.forward()
}

// resume goes on after what the successor has.
func (c *Chain) resume(now time.Duration, last uint64) {
	c.successor, c.next = true, min(last, c.synced)+1
	c.reached, c.reachedAt = last, now
}

func (c *Chain) tellGap(now time.Duration) {
	if c.gapAt != 0 && now-c.gapAt < GapAgain {
		return
	}
	c.gapAt = now
	c.send(c.members[c.position-1], &Gap{Epoch: c.epoch, Last: c.Last()})
}

// OnGap sends the successor again what it lacks.
func (c *Chain) OnGap(now time.Duration, from view.ID, message *Gap) {
	to, ok := c.successorID()
	if message.Epoch != c.epoch || !ok || to != from || !c.successor || message.Last+1 >= c.next {
		return
	}
	c.resume(now, message.Last)
	c.forward()
}

func (c *Chain) forward() {
	to, ok := c.successorID()
	if !ok || !c.attached || !c.successor || c.sealed || c.next > c.synced {
		return
	}
	if c.next <= c.state.Base { // it lies too far back
		c.successor = false
		return
	}
	c.send(to, &Append{Epoch: c.epoch, Previous: c.next - 1, Entries: c.between(c.next-1, c.synced), Committed: c.committed})
	c.next = c.synced + 1
}

func (c *Chain) commitTail() {
	if c.attached && c.position == len(c.members)-1 && c.durable {
		c.commit(c.synced)
	}
}

// learn takes what another member of the epoch says is committed.
func (c *Chain) learn(committed uint64) {
	if c.attached || c.eager {
		c.commit(min(committed, c.synced))
	}
}

func (c *Chain) commit(to uint64) {
	if to = min(to, c.Last()); to <= c.committed {
		return
	}
	behind := c.Behind()
	c.committed = to
	if !behind || c.batch == math.MaxUint32 {
		c.handOut() // else Tick does, a batch at a time: a step may commit many times
	}
	if c.position > 0 {
		c.send(c.members[c.position-1], &Ack{Epoch: c.epoch, Committed: to})
	}
}

// handOut gives the next batch of committed entries to be applied. The others do not wait for it: they hear what is committed.
func (c *Chain) handOut() {
	to := min(c.committed, c.handedOut+c.batch)
	if to <= c.handedOut {
		return
	}
	c.actions.Commits = append(c.actions.Commits, c.between(c.handedOut, to)...)
	c.handedOut = to
}

func (c *Chain) write(write Write) { c.actions.Writes = append(c.actions.Writes, write) }

func (c *Chain) send(to view.ID, message any) {
	c.actions.Sends = append(c.actions.Sends, Send{To: to, Message: message})
}
