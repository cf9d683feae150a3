package core

import (
	"fmt"
	"time"

	"github.com/tinylib/msgp/msgp"

	"ravendale/control/chain"
	"ravendale/control/lease"
	"ravendale/control/view"
)

// node is a member of the core without clock, sockets or disk, as raft's RawNode is: each method takes the steady time, and Take returns what is to be
// done. It only coordinates: who is heard, what is durable, the change of view, the leader lease and the commands in flight are parts
// of their own, each in the file of that name.
type node struct {
	config           nodeConfig
	self             view.Member
	bootstrapMembers []string // rpc addresses of the seeds, if this disk may bootstrap the core
	origin           uint64   // of commands submitted in this incarnation, and of its ballots and lease requests
	started          time.Duration
	lastTick         time.Duration

	view        view.View // the newest that is known to be decided
	vote        view.Vote // as an acceptor of the view that follows
	chain       *chain.Chain
	cannotOrder bool // it is the head, and was started in this epoch: it may have ordered commands that it does not know

	peers          peerTracker
	durability     durability
	viewChange     viewChange
	lease          leaderLease
	commands       commandTable
	departure      departure
	quorum         quorumWatch
	storeBootstrap *storeBootstrap // at seeds without a disk, in the first incarnation of the system; nil: not here

	inbox  []inboundMessage // from itself, handled before the step ends
	output output           // gathered until Take
}

// newNode makes a node from what is on its disk, nil if nothing is; then the first output has a write, and the node sends nothing before
// that is on disk.
func newNode(now time.Duration, config nodeConfig, snapshot []byte, records [][]byte) (*node, error) {
	n := &node{
		config: config, started: now, lastTick: now, origin: config.Random() | 1,
		peers: newPeerTracker(now), commands: newCommandTable(), quorum: quorumWatch{unavailableSince: -1},
	}
	n.viewChange.reset()
	n.self = view.Member{Address: config.Address, Zone: config.Zone, Storage: config.Storage}
	if !config.Disk {
		n.chain = chain.New(0, chain.State{}, config.Machine)
		n.lease = newLeaderLease(now, config.Terms, n.origin, lease.PreviousGrant{Unknown: true})
		n.storeBootstrap = newStoreBootstrap(&config)
		return n, nil
	}
	kept, err := n.load(snapshot, records)
	if err != nil {
		return nil, err
	}
	n.self.ID, n.bootstrapMembers, n.view, n.vote = kept.ID, kept.BootstrapMembers, kept.View, kept.Vote
	n.chain = chain.New(n.self.ID, kept.Chain, config.Machine)
	if config.mutations.appliesAll {
		n.chain.MutateUnboundedApply()
	}
	if config.mutations.learnsDetached {
		n.chain.MutateEarlyCommit()
	}
	if config.mutations.forgetsGrant {
		kept.Lease = lease.PreviousGrant{}
	}
	n.lease = newLeaderLease(now, config.Terms, n.origin, kept.Lease)
	if n.view.Epoch > 0 {
		n.follow(now, true)
	}
	if snapshot == nil {
		n.durability.snapshotDue, n.durability.uninitialized = true, true
	}
	if config.DiskFault != "" {
		n.lease.grantBatch = n.durability.lastBatch + 1
		n.degrade(now, config.DiskFault)
		n.durability.degradation.retryAt = now + diskRetryInterval
	}
	n.finish(now)
	return n, nil
}

// ready says whether the node's identity is on disk, so that it may speak.
func (n *node) ready() bool { return !n.durability.uninitialized }

// Take returns what is to be done.
func (n *node) Take() output {
	taken := n.output
	n.output = output{}
	return taken
}

// finish ends each step: it delivers what the node sent to itself, and gives the changes to the disk.
func (n *node) finish(now time.Duration) {
	n.drain()
	for len(n.inbox) > 0 {
		message := n.inbox[0]
		n.inbox = n.inbox[1:]
		n.dispatch(now, message.from, message.message)
		n.drain()
	}
	n.flush(now)
}

// drain turns the chain's actions into the node's.
func (n *node) drain() {
	for {
		actions := n.chain.Take()
		if actions.Install == nil && len(actions.Writes)+len(actions.Commits)+len(actions.Sends) == 0 {
			return
		}
		if actions.Install != nil {
			n.install(actions.Install)
		}
		for i := range actions.Writes {
			n.durability.append(&record{Write: &actions.Writes[i]})
		}
		for i := range actions.Commits {
			n.apply(&actions.Commits[i])
		}
		for _, send := range actions.Sends {
			n.send(send.To, send.Message.(msgp.Marshaler))
		}
	}
}

// install replaces the machine's state by another member's. Commands that were sent may be part of it: their outcome is unknown.
func (n *node) install(fill *chain.Fill) {
	if n.config.mutations.keepsStaleState {
		n.durability.requireSnapshot()
		return
	}
	if err := n.config.Machine.Restore(fill.Snapshot); err != nil {
		panic(fmt.Sprintf("core: snapshot of another member: %v", err)) // its state can't be trusted any more
	}
	n.durability.requireSnapshot()
	n.output.Applied = true
	for _, pending := range n.commands.pending {
		if pending.epoch != 0 {
			n.end(pending, nil, ErrUnknown)
		}
	}
}

// ApplyDue says whether Apply is to be called now that the output of the last step is carried out.
func (n *node) ApplyDue() bool { return n.chain.ApplyDue() && !n.degraded() }

// Apply applies some of the committed commands. It is a step of its own, after the output of the one that committed them is carried out: the
// others hear of the commit before this member takes the time to apply it, and the members of a chain apply at the same time and not in turn.
func (n *node) Apply(now time.Duration) {
	n.chain.Apply()
	n.finish(now)
}

// apply applies a committed command, and ends it if it was submitted here.
func (n *node) apply(entry *chain.Entry) {
	n.commands.outlive(entry.Epoch)
	if entry.Origin == 0 {
		return
	}
	result := n.config.Machine.Apply(entry.Command)
	n.output.Applied = true
	if entry.Origin != n.origin {
		return
	}
	if pending := n.commands.pending[entry.Number]; pending != nil {
		n.end(pending, result, nil)
	}
}

// follow makes the chain follow the node's view.
func (n *node) follow(now time.Duration, restarted bool) {
	n.chain.Adopt(now, &n.view, n.config.Durability.Met(&n.view), restarted)
	n.cannotOrder = restarted && n.chain.Position() == 0
	if n.vote.Sealed(n.view.Epoch) {
		n.chain.Seal()
	}
	n.viewChange.reset()
}

// adopt moves to a view that is decided.
func (n *node) adopt(now time.Duration, next *view.View) {
	if next.Epoch <= n.view.Epoch {
		return
	}
	n.output.ChainChanges = append(n.output.ChainChanges, n.chainChange(now, next))
	n.lease.voter.Adopt(now, &n.view, next)
	n.view = *next
	n.durability.append(&record{View: next})
	n.follow(now, false)
	n.drain()
	if n.chain.Position() < 0 && n.lease.holder.Valid(now) {
		n.dropLease(lossChain)
	}
	n.peers.heartbeatDue = now
}

// Tick does what is due, and returns when to call it again at the latest.
func (n *node) Tick(now time.Duration) time.Duration {
	if now-n.lastTick > pauseThreshold {
		n.peers.suspectFrom = now + failureTimeout
		n.durability.writingSince = now // the process stood still, not the disk
	}
	n.lastTick = now
	n.checkDiskStall(now)
	switch {
	case n.degraded():
		n.tickDegraded(now)
	case n.ready():
		n.tickMember(now)
	}
	n.finish(now)
	return n.next(now)
}

// tickMember is all that a member which is not degraded, or a process without a disk, does on its own.
func (n *node) tickMember(now time.Duration) {
	n.updateResponsiveness(now)
	if now >= n.peers.heartbeatDue {
		n.sendHeartbeats(now)
	}
	if !n.config.Disk {
		n.bootstrapOnStores(now)
		return
	}
	n.bootstrap(now)
	n.watchQuorum(now)
	if n.durability.logRecords > n.config.MaxLogRecords && n.chain.Unapplied() == 0 && !n.durability.writing() {
		n.durability.snapshotDue = true // what was long is applied: the next start need not do it again
	}
	n.chain.Tick(now)
	n.checkViewChange(now)
	n.checkLease(now)
	n.submitAll(now)
}

// next is when something is due: often while something is under way, else with the next heartbeat.
func (n *node) next(now time.Duration) time.Duration {
	const brisk = 20 * time.Millisecond
	if n.chain.HasUnapplied() && !n.degraded() {
		return now + time.Millisecond
	}
	at := max(n.peers.heartbeatDue, now+brisk)
	if n.degraded() {
		if !n.durability.writing() {
			at = min(at, max(n.durability.degradation.retryAt, now+brisk))
		}
		return at
	}
	busy := n.viewChange.proposer != nil || n.viewChange.pendingSince >= 0 || n.wantsLease(now) || n.chain.Position() >= 0 && !n.chain.Attached()
	if busy {
		return now + brisk
	}
	if n.lease.holder.Valid(now) {
		requestedAt, granted := n.lease.holder.LastRequest()
		wait := leaseRetryInterval
		if granted {
			wait = n.config.Terms.RenewInterval
		}
		at = min(at, max(requestedAt+wait, now+brisk))
	}
	return at
}
