package core

import (
	"slices"
	"time"

	"ravendale/control/lease"
	"ravendale/control/view"
)

// Causes of a lost lease, for the log.
const (
	lossExpired     = "no majority renewed it in time"
	lossStop        = "the process stops"
	lossChain       = "not in the chain any more"
	lossTransferred = "it was transferred"
	lossDisk        = "the disk fails or stalls"
)

// leaderLease is the member's part in the leader lease: as a voter that grants it, as a candidate that seeks or holds it, and what it knows of the
// holder.
type leaderLease struct {
	voter           *lease.Voter
	holder          *lease.Holder // this member as a candidate
	nextRequestAt   time.Duration // not before, a request that failed was the last
	grantBatch      uint64        // the write that has whom the voter granted the lease last: no grant is sent before it is durable
	leader          string        // rpc address of the holder, empty if unknown
	leaderUntil     time.Duration // until then leader counts without another heartbeat
	leaderlessSince time.Duration // since when no holder is known
	dropCause       string        // why the lease was given back, empty if it was not
	abstainUntil    time.Duration // until then this member does not seek the lease
}

func newLeaderLease(now time.Duration, terms lease.Timing, origin uint64, previous lease.PreviousGrant) leaderLease {
	return leaderLease{voter: lease.NewVoter(now, terms, previous), holder: lease.NewHolder(terms, origin), leaderlessSince: now}
}

// observeLeader records who leads by a heartbeat. Only a process without a disk goes by hearsay, which is not passed on.
func (l *leaderLease) observeLeader(now time.Duration, m *heartbeat, hearsay bool) {
	switch {
	case m.Leading:
		l.leader, l.leaderUntil = m.Member.Address, now+failureTimeout
	case hearsay && m.Leader != "" && now >= l.leaderUntil:
		l.leader, l.leaderUntil = m.Leader, now+failureTimeout
	case m.Member.Address == l.leader:
		l.leaderUntil = min(l.leaderUntil, now) // it holds the lease no more
	}
}

// expireLeader forgets a holder of whom nothing was heard for too long.
func (l *leaderLease) expireLeader(now time.Duration) {
	if l.leader != "" && now >= l.leaderUntil && !l.holder.Valid(now) {
		l.leader, l.leaderlessSince = "", now
	}
}

// takeDropCause says why this member has lost the lease, once.
func (l *leaderLease) takeDropCause() string {
	cause := l.dropCause
	l.dropCause = ""
	if cause == "" {
		return lossExpired
	}
	return cause
}

// onLeaseRequest answers as a voter, once whom it granted the lease is durable.
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

// appendGrant has whom the voter granted the lease written.
func (n *node) appendGrant() {
	grant := n.lease.voter.PreviousGrant()
	n.durability.append(&record{Lease: &grant})
	n.lease.grantBatch = n.durability.lastBatch + 1
}

func (n *node) onLeaseReply(now time.Duration, from view.Member, m *lease.Reply) {
	before := n.lease.holder.Valid(now)
	if n.lease.holder.Granted(&n.view, from.ID, m) && !before {
		n.peers.heartbeatDue = now
	}
	if !n.leads(now) && n.lease.holder.Refused(&n.view) {
		n.backOff(now)
	}
}

func (n *node) leads(now time.Duration) bool { return n.lease.holder.Valid(now) }

// dropLease gives the lease back, for a cause.
func (n *node) dropLease(cause string) {
	n.lease.dropCause = cause
	n.sendVoters(n.lease.holder.Drop())
}

// LeaseUntil is when the lease that this node holds ends.
func (n *node) LeaseUntil() time.Duration { return n.lease.holder.ExpiresAt() }

// BeginStop begins an orderly stop: it gives the lease back, and has the others go on without this node. StopComplete says when they do.
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
	n.finish(now)
}

// StopComplete says whether nothing is gained by waiting any longer to stop: a majority of the voters has a view that does without this node,
// as far as that can be.
func (n *node) StopComplete(now time.Duration) bool {
	if n.view.Epoch == 0 {
		return true
	}
	return n.viewChange.proposer == nil && !n.needsViewChange(now) && n.majority(func(id view.ID) bool { return n.hasView(now, id) })
}

// hasView says whether a member is known to have this node's view.
func (n *node) hasView(now time.Duration, id view.ID) bool {
	p := n.peers.byID(id)
	return id == n.self.ID || p != nil && n.hears(now, id) && p.heartbeat.Epoch >= n.view.Epoch
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

// wantsLease says whether this node may need the lease soon.
func (n *node) wantsLease(now time.Duration) bool {
	return n.config.Candidate && now >= n.lease.abstainUntil && n.chain.Attached() && !n.leads(now) && n.leaderAddress(now) == "" && !n.defersToControl(now)
}

// defersToControl says whether this member is a store's and leaves the leader lease to the control processes: there is one in the chain that may seek it.
func (n *node) defersToControl(now time.Duration) bool {
	return n.self.Storage && slices.ContainsFunc(n.view.Chain, func(id view.ID) bool {
		member, _ := n.view.Member(id)
		return !member.Storage && n.hears(now, id) && !n.abstains(now, id)
	})
}

// checkLease renews the lease, or asks for it when nobody has it: the first of the chain at once, others later.
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

// backOff gives back what an election round without a majority got, and leaves the next to those before this one.
func (n *node) backOff(now time.Duration) {
	n.sendVoters(n.lease.holder.Drop())
	pause := time.Duration(n.config.Random() % uint64(leaseRetryInterval/2))
	n.lease.nextRequestAt = now + pause + time.Duration(n.candidateRank(now))*candidateStagger
}

// candidateDelay is how long a candidate leaves the lease to those before it. After a restart of the whole core the previous holder gets it
// at once.
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

// candidateRank is how many members of the chain come before this one as candidates. Those of stores come after the control processes.
func (n *node) candidateRank(now time.Duration) int {
	rank := 0
	for _, id := range n.view.Chain {
		if id == n.self.ID {
			return rank
		}
		member, _ := n.view.Member(id)
		if n.hears(now, id) && !n.abstains(now, id) && (n.self.Storage || !member.Storage) {
			rank++
		}
	}
	return rank
}

func (n *node) requestLease(now time.Duration) {
	n.sendVoters(n.lease.holder.StartRound(now, n.view.Epoch))
}
