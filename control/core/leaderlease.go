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
	lossTransferred = "it was handed over"
	lossDisk        = "the disk fails or stalls"
)

func (n *node) onLeaseRequest(now time.Duration, from view.Member, m *lease.Request) {
	if m.Epoch != n.view.Epoch || !n.isVoter(n.self.ID) || !n.isMember(from.ID) || n.vote.Sealed(n.view.Epoch) {
		return
	}
	granted, changed := n.voter.Grant(now, from.ID, m)
	if changed {
		n.appendGrant()
	}
	reply := &lease.Reply{Epoch: m.Epoch, Life: m.Life, Round: m.Round, Granted: granted}
	if n.durableBatch >= n.grantBatch {
		n.deliver(outboundMessage{from.Address, reply})
		return
	}
	n.sendWhenDurable(from.Address, reply)
}

// appendGrant has the name of the newest holder written.
func (n *node) appendGrant() {
	grant := n.voter.Past()
	n.appendRecord(&record{Lease: &grant})
	n.grantBatch = n.lastBatch + 1
}

func (n *node) onLeaseReply(now time.Duration, from view.Member, m *lease.Reply) {
	before := n.holder.Valid(now)
	if n.holder.Granted(&n.view, from.ID, m) && !before {
		n.heartbeatDue = now
	}
	if !n.leads(now) && n.holder.Lost(&n.view) {
		n.backOff(now)
	}
}

func (n *node) leads(now time.Duration) bool { return n.holder.Valid(now) }

// dropLease gives the lease back, for a cause.
func (n *node) dropLease(cause string) {
	n.dropCause = cause
	n.sendVoters(n.holder.Drop())
}

// takeDropCause says why this node has lost the lease.
func (n *node) takeDropCause() string {
	cause := n.dropCause
	n.dropCause = ""
	if cause == "" {
		return lossExpired
	}
	return cause
}

// LeaseUntil is when the lease that this node holds ends.
func (n *node) LeaseUntil() time.Duration { return n.holder.Until() }

// BeginStop begins an orderly end: it gives the lease back, and has the others go on without this node. Left says when they do.
func (n *node) BeginStop(now time.Duration) {
	n.config.Candidate = false
	n.stopping = !n.config.mutations.keepsVoteOnStop
	if !n.ready() {
		return
	}
	if n.holder.Valid(now) {
		n.dropLease(lossStop)
	}
	n.sendHeartbeats(now)
	n.checkViewChange(now)
	n.finish(now)
}

// StopComplete says whether nothing is gained by waiting any longer for the end: a majority of the voters has a view that does without this node,
// as far as that can be.
func (n *node) StopComplete(now time.Duration) bool {
	if n.view.Epoch == 0 {
		return true
	}
	return n.proposer == nil && !n.needsViewChange(now) && n.majority(func(id view.ID) bool { return n.hasView(now, id) })
}

// hasView says whether a member is known to have this node's view.
func (n *node) hasView(now time.Duration, id view.ID) bool {
	p := n.peerByID(id)
	return id == n.self.ID || p != nil && n.hears(now, id) && p.heartbeat.Epoch >= n.view.Epoch
}

func (n *node) leaderAddress(now time.Duration) string {
	if n.leads(now) {
		return n.self.Address
	}
	if now < n.knownLeaderUntil {
		return n.knownLeader
	}
	return ""
}

// wantsLease says whether this node may need the lease soon.
func (n *node) wantsLease(now time.Duration) bool {
	return n.config.Candidate && now >= n.abstainUntil && n.chain.Attached() && !n.leads(now) && n.leaderAddress(now) == "" && !n.defersToControl(now)
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
	requestedAt, granted := n.holder.Asked()
	if n.leads(now) {
		wait := n.config.Terms.Renew
		if !granted {
			wait = leaseRetryInterval
		}
		due := now-requestedAt >= wait || n.holder.Outdated(n.view.Epoch)
		if due && n.chain.Position() >= 0 && n.config.Candidate {
			n.requestLease(now)
		}
		return
	}
	if n.holder.Asking() && (n.holder.Lost(&n.view) || now-requestedAt >= leaseRetryInterval) {
		n.backOff(now)
	}
	if n.wantsLease(now) && !n.holder.Asking() && now >= n.nextRequestAt && now >= n.leaderlessSince+n.candidateDelay(now) {
		n.requestLease(now)
	}
}

// backOff gives back what a round without a majority got, and leaves the next to those before this one.
func (n *node) backOff(now time.Duration) {
	n.sendVoters(n.holder.Drop())
	pause := time.Duration(n.config.Random() % uint64(leaseRetryInterval/2))
	n.nextRequestAt = now + pause + time.Duration(n.candidateRank(now))*candidateStagger
}

// candidateDelay is how long a candidate leaves the lease to those before it. After a restart of the whole core the one that held it last gets it
// at once.
func (n *node) candidateDelay(now time.Duration) time.Duration {
	switch previous := n.voter.Heir(now); {
	case previous == n.self.ID:
		return 0
	case previous != 0 && now-n.started < previousHolderWindow:
		return now - n.leaderlessSince + leaseRetryInterval
	}
	rank := n.candidateRank(now)
	if rank == 0 {
		return 0
	}
	return n.config.Terms.Length + time.Duration(rank)*candidateStagger
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

func (n *node) requestLease(now time.Duration) { n.sendVoters(n.holder.Ask(now, n.view.Epoch)) }
