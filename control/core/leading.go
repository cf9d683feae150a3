package core

import (
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
	if m.Epoch != n.view.Epoch || !n.isVoter(n.self.ID) || !n.isVoter(from.ID) || n.vote.Sealed(n.view.Epoch) {
		return
	}
	granted, changed := n.voter.Grant(now, from.ID, m)
	if changed {
		n.keepPast()
	}
	reply := &lease.Reply{Epoch: m.Epoch, Life: m.Life, Round: m.Round, Granted: granted}
	if n.lasting >= n.pastBatch {
		n.deliver(post{from.Address, reply})
		return
	}
	n.sendLasting(from.Address, reply)
}

// keepPast has the name of the newest holder written.
func (n *node) keepPast() {
	past := n.voter.Past()
	n.log(&record{Lease: &past})
	n.pastBatch = n.batch + 1
}

func (n *node) onLeaseReply(now time.Duration, from view.Member, m *lease.Reply) {
	before := n.holder.Valid(now)
	if n.holder.Granted(&n.view, from.ID, m) && !before {
		n.beatAt = now
	}
	if !n.leads(now) && n.holder.Lost(&n.view) {
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
func (n *node) LeaseUntil() time.Duration { return n.holder.Until() }

// Release gives the lease back, in an orderly end.
func (n *node) Release(now time.Duration) {
	if n.holder.Valid(now) {
		n.drop(lossStop)
		n.beatAt = now
		n.sendBeats(now)
	}
	n.config.Candidate = false
	n.finish(now)
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
	return n.config.Candidate && now >= n.abstainTill && n.chain.Attached() && !n.leads(now) && n.leaderAddress(now) == ""
}

// seekLease renews the lease, or asks for it when nobody has it: the first of the chain at once, others later.
func (n *node) seekLease(now time.Duration) {
	asked, granted := n.holder.Asked()
	if n.leads(now) {
		wait := n.config.Terms.Renew
		if !granted {
			wait = askAgain
		}
		due := now-asked >= wait || n.holder.Outdated(n.view.Epoch)
		if due && n.chain.Position() >= 0 && n.config.Candidate {
			n.ask(now)
		}
		return
	}
	if n.holder.Asking() && (n.holder.Lost(&n.view) || now-asked >= askAgain) {
		n.stepBack(now)
	}
	if n.seeking(now) && !n.holder.Asking() && now >= n.askAt && now >= n.leaderLost+n.patience(now) {
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
	switch heir := n.voter.Heir(now); {
	case heir == n.self.ID:
		return 0
	case heir != 0 && now-n.started < heirPause:
		return now - n.leaderLost + askAgain
	}
	rank := n.candidateRank(now)
	if rank == 0 {
		return 0
	}
	return n.config.Terms.Length + time.Duration(rank)*leaderPause
}

func (n *node) candidateRank(now time.Duration) int {
	rank := 0
	for _, id := range n.view.Chain {
		if id == n.self.ID {
			return rank
		}
		if n.hears(now, id) && !n.abstains(now, id) {
			rank++
		}
	}
	return rank
}

func (n *node) ask(now time.Duration) { n.sendVoters(n.holder.Ask(now, n.view.Epoch)) }
