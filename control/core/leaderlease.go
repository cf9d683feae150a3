package core

import (
	"slices"
	"time"

	"ravendale/control/lease"
	"ravendale/control/view"
)

// Causes for the loss of the lease, as logged.
const (
	lossExpired     = "not renewed by a majority in time"
	lossStop        = "the process is stopping"
	lossChain       = "no longer in the chain"
	lossTransferred = "given up in favour of another process"
	lossDisk        = "the disk failed or stalled"
)

// leaderLease is this node's state of the leader lease: as a voter that grants it, as a candidate that requests or
// holds it, and which holder it knows.
type leaderLease struct {
	voter           *lease.Voter
	holder          *lease.Holder // this member as a candidate or holder
	nextRequestAt   time.Duration // when it may be requested again after a request that failed
	grantBatch      uint64        // the write with the voter's newest grant: no grant is sent before that is durable
	leader          string        // rpc address of the holder, empty if unknown
	leaderUntil     time.Duration // when leader ceases to be known unless another heartbeat confirms it
	leaderlessSince time.Duration // when the last known holder ceased to be known
	dropCause       string        // why this member gave up the lease; empty if it did not
	abstainUntil    time.Duration // this member does not request the lease before
}

func newLeaderLease(now time.Duration, terms lease.Timing, origin uint64, previous lease.PreviousGrant) leaderLease {
	return leaderLease{voter: lease.NewVoter(now, terms, previous), holder: lease.NewHolder(terms, origin), leaderlessSince: now}
}

// observeLeader records the leader that a heartbeat names. With acceptIndirect, at a process without a disk, the sender
// may name another process as the leader. Members only accept the sender itself, so that they do not pass on what they
// were told.
func (l *leaderLease) observeLeader(now time.Duration, m *heartbeat, acceptIndirect bool) {
	switch {
	case m.Leading:
		l.leader, l.leaderUntil = m.Member.Address, now+failureTimeout
	case acceptIndirect && m.Leader != "" && now >= l.leaderUntil:
		l.leader, l.leaderUntil = m.Leader, now+failureTimeout
	case m.Member.Address == l.leader:
		l.leaderUntil = min(l.leaderUntil, now) // the sender no longer holds the lease
	}
}

// expireLeader forgets the holder when it was not confirmed in time.
func (l *leaderLease) expireLeader(now time.Duration) {
	if l.leader != "" && now >= l.leaderUntil && !l.holder.Valid(now) {
		l.leader, l.leaderlessSince = "", now
	}
}

// takeDropCause returns why this member lost the lease, and resets the cause.
func (l *leaderLease) takeDropCause() string {
	cause := l.dropCause
	l.dropCause = ""
	if cause == "" {
		return lossExpired
	}
	return cause
}

// onLeaseRequest answers a candidate as a voter, once the newest grant is durable.
func (n *node) onLeaseRequest(now time.Duration, from view.Member, m *lease.Request) {
	if m.Epoch != n.view.Epoch || !n.isVoter(n.self.ID) || !n.isMember(from.ID) || n.vote.Sealed(n.view.Epoch) {
		return
	}
	granted, changed := n.lease.voter.Grant(now, from.ID, m)
	if changed {
		n.appendGrant()
	}
	reply := &lease.Reply{Epoch: m.Epoch, Incarnation: m.Incarnation, ElectionRound: m.ElectionRound, Granted: granted}
	if n.durability.durableBatch >= n.lease.grantBatch {
		n.deliver(outboundMessage{from.Address, reply})
		return
	}
	n.sendWhenDurable(from.Address, reply)
}

// appendGrant adds the voter's newest grant to the next write.
func (n *node) appendGrant() {
	grant := n.lease.voter.PreviousGrant()
	n.durability.append(&record{Lease: &grant})
	n.lease.grantBatch = n.durability.lastBatch + 1
}

func (n *node) onLeaseReply(now time.Duration, from view.Member, m *lease.Reply) {
	wasLeader := n.lease.holder.Valid(now)
	if n.lease.holder.OnReply(&n.view, from.ID, m) && !wasLeader {
		n.peers.heartbeatDue = now
	}
	if !n.leads(now) && n.lease.holder.Refused(&n.view) {
		n.backOff(now)
	}
}

func (n *node) leads(now time.Duration) bool { return n.lease.holder.Valid(now) }

// dropLease gives up the lease.
func (n *node) dropLease(cause string) {
	n.lease.dropCause = cause
	n.sendVoters(n.lease.holder.Drop())
}

// LeaseExpiresAt returns when the lease that this node holds expires.
func (n *node) LeaseExpiresAt() time.Duration { return n.lease.holder.ExpiresAt() }

// BeginStop begins an orderly stop: the node gives up the lease and asks the other members to proceed without it.
// StopComplete reports when they do.
func (n *node) BeginStop(now time.Duration) {
	n.config.Candidate = false
	n.departure.stopping = !n.config.mutations.keepsVoteOnStop
	if !n.ready() {
		return
	}
	if n.lease.holder.Valid(now) {
		n.dropLease(lossStop)
	}
	n.sendHeartbeats(now)
	n.checkViewChange(now)
	n.finishStep(now)
}

// StopComplete reports whether waiting any longer before the stop is of no use: a majority of the voters has a view
// without this node, or as close to that as is possible.
func (n *node) StopComplete(now time.Duration) bool {
	if n.view.Epoch == 0 {
		return true
	}
	return n.viewChange.proposer == nil && !n.needsViewChange(now) && n.majority(func(id view.ID) bool { return n.hasView(now, id) })
}

// hasView reports whether a member is known to have this node's view or a later one.
func (n *node) hasView(now time.Duration, id view.ID) bool {
	p := n.peers.byID(id)
	return id == n.self.ID || p != nil && n.isResponsive(now, id) && p.heartbeat.Epoch >= n.view.Epoch
}

func (n *node) leaderAddress(now time.Duration) string {
	if n.leads(now) {
		return n.self.Address
	}
	if now < n.lease.leaderUntil {
		return n.lease.leader
	}
	return ""
}

// wantsLease reports whether this node may have to request the lease soon.
func (n *node) wantsLease(now time.Duration) bool {
	return n.config.Candidate && now >= n.lease.abstainUntil && n.chain.Attached() && !n.leads(now) && n.leaderAddress(now) == "" && !n.defersToControl(now)
}

// defersToControl reports whether this member belongs to a store and leaves the leader lease to the control processes:
// one that may request it is in the chain.
func (n *node) defersToControl(now time.Duration) bool {
	return n.self.Storage && slices.ContainsFunc(n.view.Chain, func(id view.ID) bool {
		member, _ := n.view.Member(id)
		return !member.Storage && n.isResponsive(now, id) && !n.abstains(now, id)
	})
}

// checkLease renews the lease, or requests it when nobody holds it: the first member of the chain requests it at once,
// others later.
func (n *node) checkLease(now time.Duration) {
	requestedAt, granted := n.lease.holder.LastRequest()
	if n.leads(now) {
		wait := n.config.Terms.RenewInterval
		if !granted {
			wait = leaseRetryInterval
		}
		due := now-requestedAt >= wait || n.lease.holder.Outdated(n.view.Epoch)
		if due && n.chain.Position() >= 0 && n.config.Candidate {
			n.requestLease(now)
		}
		return
	}
	if n.lease.holder.Seeking() && (n.lease.holder.Refused(&n.view) || now-requestedAt >= leaseRetryInterval) {
		n.backOff(now)
	}
	if n.wantsLease(now) && !n.lease.holder.Seeking() && now >= n.lease.nextRequestAt && now >= n.lease.leaderlessSince+n.candidateDelay(now) {
		n.requestLease(now)
	}
}

// backOff releases the grants of an election round that got no majority, and waits so that candidates of lower rank can
// request the lease first.
func (n *node) backOff(now time.Duration) {
	n.sendVoters(n.lease.holder.Drop())
	pause := time.Duration(n.config.Random() % uint64(leaseRetryInterval/2))
	n.lease.nextRequestAt = now + pause + time.Duration(n.candidateRank(now))*candidateStagger
}

// candidateDelay returns how long this candidate waits so that those of lower rank can request the lease first. After a
// restart of the whole core the previous holder does not wait.
func (n *node) candidateDelay(now time.Duration) time.Duration {
	switch previous := n.lease.voter.PreviousHolder(now); {
	case previous == n.self.ID:
		return 0
	case previous != 0 && now-n.started < previousHolderWindow:
		return now - n.lease.leaderlessSince + leaseRetryInterval
	}
	rank := n.candidateRank(now)
	if rank == 0 {
		return 0
	}
	return n.config.Terms.Duration + time.Duration(rank)*candidateStagger
}

// candidateRank returns how many candidates in the chain come before this one. For a control process, stores do not
// count.
func (n *node) candidateRank(now time.Duration) int {
	rank := 0
	for _, id := range n.view.Chain {
		if id == n.self.ID {
			return rank
		}
		member, _ := n.view.Member(id)
		if n.isResponsive(now, id) && !n.abstains(now, id) && (n.self.Storage || !member.Storage) {
			rank++
		}
	}
	return rank
}

func (n *node) requestLease(now time.Duration) {
	n.sendVoters(n.lease.holder.StartRound(now, n.view.Epoch))
}
