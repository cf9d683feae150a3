package core

import (
	"slices"
	"time"

	"ravendale/control/lease"
	"ravendale/control/view"
)

// Causes of a lost lease, for the log.
const (
	lossSilence = "no majority renewed it in time"
	lossStop    = "the process stops"
	lossChain   = "not in the chain any more"
	lossLeave   = "it was handed over"
	lossDisk    = "the disk fails or stalls"
)

func (n *node) onLeaseRequest(now time.Duration, from view.Member, m *lease.Request) {
	if m.Epoch != n.view.Epoch || !n.isVoter(n.self.ID) || !n.isMember(from.ID) || n.vote.Sealed(n.view.Epoch) {
		return
	}
	granted, changed := n.voter.Grant(now, from.ID, m)
	if changed {
		n.keepPast()
	}
	reply := &lease.Reply{Epoch: m.Epoch, Incarnation: m.Incarnation, ElectionRound: m.ElectionRound, Granted: granted}
	if n.lasting >= n.pastBatch {
		n.deliver(post{from.Address, reply})
		return
	}
	n.sendLasting(from.Address, reply)
}

// keepPast has the name of the newest holder written.
func (n *node) keepPast() {
	past := n.voter.PreviousGrant()
	n.log(&record{Lease: &past})
	n.pastBatch = n.batch + 1
}

func (n *node) onLeaseReply(now time.Duration, from view.Member, m *lease.Reply) {
	before := n.holder.Valid(now)
	if n.holder.Granted(&n.view, from.ID, m) && !before {
		n.beatAt = now
	}
	if !n.leads(now) && n.holder.Refused(&n.view) {
		n.stepBack(now)
	}
}

func (n *node) leads(now time.Duration) bool { return n.holder.Valid(now) }

// drop gives the lease back, for a cause.
func (n *node) drop(cause string) {
	n.lostFor = cause
	n.sendVoters(n.holder.Drop())
}

// lossCause says why this node has lost the lease.
func (n *node) lossCause() string {
	cause := n.lostFor
	n.lostFor = ""
	if cause == "" {
		return lossSilence
	}
	return cause
}

// LeaseUntil is when the lease that this node holds ends.
func (n *node) LeaseUntil() time.Duration { return n.holder.ExpiresAt() }

// Release begins an orderly end: it gives the lease back, and has the others go on without this node. Left says when they do.
func (n *node) Release(now time.Duration) {
	n.config.Candidate = false
	n.leaving = !n.config.faults.staying
	if !n.ready() {
		return
	}
	if n.holder.Valid(now) {
		n.drop(lossStop)
	}
	n.sendBeats(now)
	n.seekView(now)
	n.finish(now)
}

// Left says whether nothing is gained by waiting any longer for the end: a majority of the voters has a view that does without this node,
// as far as that can be.
func (n *node) Left(now time.Duration) bool {
	if n.view.Epoch == 0 {
		return true
	}
	return n.proposer == nil && !n.wantsView(now) && n.majority(func(id view.ID) bool { return n.follows(now, id) })
}

// follows says whether a member is known to have this node's view.
func (n *node) follows(now time.Duration, id view.ID) bool {
	p := n.find(id)
	return id == n.self.ID || p != nil && n.hears(now, id) && p.beat.Epoch >= n.view.Epoch
}

func (n *node) leaderAddress(now time.Duration) string {
	if n.leads(now) {
		return n.self.Address
	}
	if now < n.leaderTill {
		return n.leader
	}
	return ""
}

// seeking says whether this node may need the lease soon.
func (n *node) seeking(now time.Duration) bool {
	return n.config.Candidate && now >= n.abstainTill && n.chain.Attached() && !n.leads(now) && n.leaderAddress(now) == "" && !n.defers(now)
}

// defers says whether this member is a store's and leaves the leader lease to the control processes: there is one in the chain that may seek it.
func (n *node) defers(now time.Duration) bool {
	return n.self.Storage && slices.ContainsFunc(n.view.Chain, func(id view.ID) bool {
		member, _ := n.view.Member(id)
		return !member.Storage && n.hears(now, id) && !n.abstains(now, id)
	})
}

// seekLease renews the lease, or asks for it when nobody has it: the first of the chain at once, others later.
func (n *node) seekLease(now time.Duration) {
	asked, granted := n.holder.LastRequest()
	if n.leads(now) {
		wait := n.config.Terms.RenewInterval
		if !granted {
			wait = askAgain
		}
		due := now-asked >= wait || n.holder.Outdated(n.view.Epoch)
		if due && n.chain.Position() >= 0 && n.config.Candidate {
			n.ask(now)
		}
		return
	}
	if n.holder.Seeking() && (n.holder.Refused(&n.view) || now-asked >= askAgain) {
		n.stepBack(now)
	}
	if n.seeking(now) && !n.holder.Seeking() && now >= n.askAt && now >= n.leaderLost+n.patience(now) {
		n.ask(now)
	}
}

// stepBack gives back what a round without a majority got, and leaves the next to those before this one.
func (n *node) stepBack(now time.Duration) {
	n.sendVoters(n.holder.Drop())
	pause := time.Duration(n.config.Random() % uint64(askAgain/2))
	n.askAt = now + pause + time.Duration(n.candidateRank(now))*leaderPause
}

// patience is how long a candidate leaves the lease to those before it. After a restart of the whole core the one that held it last gets it
// at once.
func (n *node) patience(now time.Duration) time.Duration {
	switch heir := n.voter.PreviousHolder(now); {
	case heir == n.self.ID:
		return 0
	case heir != 0 && now-n.started < heirPause:
		return now - n.leaderLost + askAgain
	}
	rank := n.candidateRank(now)
	if rank == 0 {
		return 0
	}
	return n.config.Terms.Duration + time.Duration(rank)*leaderPause
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

func (n *node) ask(now time.Duration) { n.sendVoters(n.holder.StartRound(now, n.view.Epoch)) }
