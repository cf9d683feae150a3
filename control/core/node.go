package core

import (
	"fmt"
	"time"

	"github.com/tinylib/msgp/msgp"

	"ravendale/control/chain"
	"ravendale/control/lease"
	"ravendale/control/view"
)

// node is a member of the core, or a process without a disk, without clock, sockets or files, like raft's RawNode: each
// method takes the steady time, and Take returns what is to be done. The node itself only coordinates its parts:
// failure detection, durability, view changes, the leader lease and pending commands are in files of their own.
type node struct {
	config           nodeConfig
	self             view.Member
	bootstrapMembers []string // rpc addresses of the seeds, if this disk may bootstrap the core
	origin           uint64   // identifies this incarnation in commands, ballots and lease requests
	started          time.Duration
	lastTick         time.Duration

	view        view.View // newest view that is known to be decided
	vote        view.Vote // as an acceptor of the next view
	chain       *chain.Chain
	cannotOrder bool // it is the head and was restarted in this epoch: it may have forgotten commands that it ordered

	peers          peerTracker
	durability     durability
	viewChange     viewChange
	lease          leaderLease
	commands       commandTable
	departure      departure
	quorum         quorumWatch
	storeBootstrap *storeBootstrap // only at seeds without a disk, in the first incarnation of the system; otherwise nil

	inbox  []inboundMessage // messages to itself, handled before the step ends
	output output           // collected until Take
}

// newNode returns a node that continues from what is on its disk. A nil snapshot means an empty disk: the first output
// then has a write, and the node sends nothing before that is durable.
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
	image, err := n.load(snapshot, records)
	if err != nil {
		return nil, err
	}
	n.self.ID, n.bootstrapMembers, n.view, n.vote = image.ID, image.BootstrapMembers, image.View, image.Vote
	n.chain = chain.New(n.self.ID, image.Chain, config.Machine)
	if config.mutations.appliesAll {
		n.chain.MutateUnboundedApply()
	}
	if config.mutations.learnsDetached {
		n.chain.MutateEarlyCommit()
	}
	if config.mutations.forgetsGrant {
		image.Lease = lease.PreviousGrant{}
	}
	n.lease = newLeaderLease(now, config.Terms, n.origin, image.Lease)
	if n.view.Epoch > 0 {
		n.followView(now, true)
	}
	if snapshot == nil {
		n.durability.snapshotDue, n.durability.uninitialized = true, true
	}
	if config.DiskFault != "" {
		n.lease.grantBatch = n.durability.lastBatch + 1
		n.degrade(now, config.DiskFault)
		n.durability.degradation.retryAt = now + diskRetryInterval
	}
	n.finishStep(now)
	return n, nil
}

// ready reports whether the node's identity is on disk, so that it may send messages.
func (n *node) ready() bool { return !n.durability.uninitialized }

// Take returns the output that was collected since the last call.
func (n *node) Take() output {
	taken := n.output
	n.output = output{}
	return taken
}

// finishStep ends each step: it handles the node's messages to itself, and adds the changes of the step to the output
// as a write.
func (n *node) finishStep(now time.Duration) {
	n.drainChain()
	for len(n.inbox) > 0 {
		message := n.inbox[0]
		n.inbox = n.inbox[1:]
		n.dispatch(now, message.from, message.message)
		n.drainChain()
	}
	n.flush(now)
}

// drainChain executes the chain's actions.
func (n *node) drainChain() {
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

// install replaces the machine's state by another member's. The snapshot may include commands that were sent to the
// head, so that their outcome is unknown.
func (n *node) install(fill *chain.Fill) {
	if n.config.mutations.keepsStaleState {
		n.durability.requireSnapshot()
		return
	}
	if err := n.config.Machine.Restore(fill.Snapshot); err != nil {
		panic(fmt.Sprintf("core: restoring another member's snapshot: %v", err)) // the machine's state is undefined now
	}
	n.durability.requireSnapshot()
	n.output.Applied = true
	for _, pending := range n.commands.pending {
		if pending.epoch != 0 {
			n.complete(pending, nil, ErrUnknown)
		}
	}
}

// ApplyDue reports whether the driver is to call Apply after it has executed the output of the last step.
func (n *node) ApplyDue() bool { return n.chain.ApplyDue() && !n.degraded() }

// Apply applies some of the committed commands. It is a step of its own, after the output of the step that committed
// them was executed: so the other members receive the commit before this one takes the time to apply it, and the
// members of a chain apply at the same time instead of one after the other.
func (n *node) Apply(now time.Duration) {
	n.chain.Apply()
	n.finishStep(now)
}

// apply applies a committed command, and completes it if it was submitted here.
func (n *node) apply(entry *chain.Entry) {
	n.commands.markUnordered(entry.Epoch)
	if entry.Origin == 0 {
		return
	}
	result := n.config.Machine.Apply(entry.Command)
	n.output.Applied = true
	if entry.Origin != n.origin {
		return
	}
	if pending := n.commands.pending[entry.Number]; pending != nil {
		n.complete(pending, result, nil)
	}
}

// followView configures the chain for the node's view.
func (n *node) followView(now time.Duration, restarted bool) {
	n.chain.Adopt(now, &n.view, n.config.Durability.Met(&n.view), restarted)
	n.cannotOrder = restarted && n.chain.Position() == 0
	if n.vote.Sealed(n.view.Epoch) {
		n.chain.Seal()
	}
	n.viewChange.reset()
}

// adopt switches to a later view that was decided.
func (n *node) adopt(now time.Duration, next *view.View) {
	if next.Epoch <= n.view.Epoch {
		return
	}
	n.output.ChainChanges = append(n.output.ChainChanges, n.chainChange(now, next))
	n.lease.voter.Adopt(now, &n.view, next)
	n.view = *next
	n.durability.append(&record{View: next})
	n.followView(now, false)
	n.drainChain()
	if n.chain.Position() < 0 && n.lease.holder.Valid(now) {
		n.dropLease(lossChain)
	}
	n.peers.heartbeatDue = now
}

// Tick does what is due, and returns the latest time for the next call.
func (n *node) Tick(now time.Duration) time.Duration {
	if now-n.lastTick > pauseThreshold {
		n.peers.suspectFrom = now + failureTimeout
		n.durability.writingSince = now // the process was paused, not the disk
	}
	n.lastTick = now
	n.checkDiskStall(now)
	switch {
	case n.degraded():
		n.tickDegraded(now)
	case n.ready():
		n.tickMember(now)
	}
	n.finishStep(now)
	return n.nextTick(now)
}

// tickMember is the part of Tick for a member that is not degraded, and for a process without a disk.
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
		n.durability.snapshotDue = true // all of the long log is applied: with a snapshot the next start need not apply it again
	}
	n.chain.Tick(now)
	n.checkViewChange(now)
	n.checkLease(now)
	n.submitAll(now)
}

// nextTick returns when Tick is due: soon while an operation is in progress, otherwise with the next heartbeat.
func (n *node) nextTick(now time.Duration) time.Duration {
	const shortInterval = 20 * time.Millisecond
	if n.chain.HasUnapplied() && !n.degraded() {
		return now + time.Millisecond
	}
	at := max(n.peers.heartbeatDue, now+shortInterval)
	if n.degraded() {
		if !n.durability.writing() {
			at = min(at, max(n.durability.degradation.retryAt, now+shortInterval))
		}
		return at
	}
	inProgress := n.viewChange.proposer != nil || n.viewChange.pendingSince >= 0 || n.wantsLease(now) || n.chain.Position() >= 0 && !n.chain.Attached()
	if inProgress {
		return now + shortInterval
	}
	if n.lease.holder.Valid(now) {
		requestedAt, granted := n.lease.holder.LastRequest()
		wait := leaseRetryInterval
		if granted {
			wait = n.config.Terms.RenewInterval
		}
		at = min(at, max(requestedAt+wait, now+shortInterval))
	}
	return at
}
