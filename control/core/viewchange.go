package core

import (
	"time"

	"ravendale/control/view"
)

// viewChange is this member's attempt to get another view decided, as a Paxos proposer.
type viewChange struct {
	proposer     *view.Proposer // of the current attempt; nil if there is none
	ballotNumber uint64         // highest ballot number that is known, and that of the newest attempt
	pendingSince time.Duration  // since when another view would be better; negative if none would
	retryAt      time.Duration  // when the next attempt may start after a failed one
}

// reset ends the attempt: another view was decided, or this member must not propose one.
func (c *viewChange) reset() { c.proposer, c.pendingSince = nil, -1 }

// onPrepare answers a proposer as an acceptor, once the promise is durable.
func (n *node) onPrepare(now time.Duration, from view.Member, m *view.Prepare) {
	n.adopt(now, &m.View)
	if m.View.Epoch < n.view.Epoch {
		n.sendWhenDurable(from.Address, &decided{View: n.view})
		return
	}
	if !n.isMember(n.self.ID) {
		return
	}
	complete := n.chain.Complete() || n.config.mutations.countsUnfilled && n.chain.Position() >= 0
	reply, changed := n.vote.Prepare(n.view.Epoch, m.Ballot)
	if changed {
		n.seal()
	}
	reply.Complete = complete
	reply.Holder, reply.HolderUnknown = n.lease.voter.Holder(now)
	n.sendWhenDurable(from.Address, &reply)
}

// seal writes the vote to disk and stops accepting entries for this epoch, since the next view is being decided.
func (n *node) seal() {
	n.chain.Seal()
	vote := n.vote
	n.durability.append(&record{Vote: &vote})
}

func (n *node) onAccept(from view.Member, m *view.Accept) {
	if m.Epoch < n.view.Epoch {
		n.sendWhenDurable(from.Address, &decided{View: n.view})
		return
	}
	if m.Epoch > n.view.Epoch || !n.isMember(n.self.ID) {
		return
	}
	reply, changed := n.vote.Accept(m)
	if changed {
		n.seal()
	}
	n.sendWhenDurable(from.Address, &reply)
}

func (n *node) onPromise(now time.Duration, from view.Member, m *view.Promise) {
	if n.viewChange.proposer == nil || m.Epoch != n.view.Epoch {
		return
	}
	n.viewChange.proposer.OnPromise(from.ID, m)
	n.continueBallot(now)
}

func (n *node) onAcceptReply(now time.Duration, from view.Member, m *view.AcceptReply) {
	if n.viewChange.proposer == nil || m.Epoch != n.view.Epoch {
		return
	}
	next := n.viewChange.proposer.OnAcceptReply(from.ID, m)
	if next == nil {
		return
	}
	old := n.view.Members()
	n.adopt(now, next)
	message := &decided{View: *next}
	for _, member := range append(old, next.Members()...) {
		if member.ID != n.self.ID {
			n.deliver(outboundMessage{member.Address, message})
		}
	}
}

// knowledge returns what the node knows about the other processes, as input of view.Plan.
func (n *node) knowledge(now time.Duration, promised func(view.ID) bool) view.Knowledge {
	know := view.Knowledge{
		Alive:               func(id view.ID) bool { return promised(id) || n.alive(now, id) },
		Joinable:            func(id view.ID) bool { return n.joinable(now, id) },
		Connected:           func(a, b view.ID) bool { return n.connected(now, a, b) },
		Down:                func(id view.ID) bool { return n.unresponsiveFor(now, id) >= n.config.DownAfter },
		Removable:           func(id view.ID) bool { return n.unresponsiveFor(now, id) >= n.config.LearnerExpiry },
		Leaving:             func(id view.ID) bool { return n.isStopping(id) || n.replaceable(now, id) },
		Dispensable:         func(id view.ID) bool { return n.dispensable(now, id) },
		MutateImmediateVote: n.config.mutations.votesAtOnce,
	}
	for _, p := range n.peers.byAddress {
		if p.seen && p.member.ID != 0 {
			know.Known = append(know.Known, p.member)
		}
	}
	return know
}

// seemsComplete estimates from its last heartbeat whether a member of the chain is complete.
func (n *node) seemsComplete(id view.ID) bool {
	if n.view.Position(id) < n.view.Complete || id == n.self.ID && n.chain.Complete() {
		return true
	}
	p := n.peers.byID(id)
	return p != nil && p.heartbeat.Epoch == n.view.Epoch && p.heartbeat.Complete
}

func noMember(view.ID) bool { return false }

// needsViewChange reports whether another view would be better than the current one.
func (n *node) needsViewChange(now time.Duration) bool {
	planned, ok := view.Plan(&n.view, n.knowledge(now, noMember), n.seemsComplete)
	if !ok {
		return false
	}
	if n.vote.Sealed(n.view.Epoch) || !view.Unchanged(&n.view, &planned) {
		return true
	}
	return n.headCannotOrder() && (now-n.started >= startupDelay || n.allMembersSeen())
}

func (n *node) headCannotOrder() bool {
	if n.chain.Position() == 0 {
		return n.cannotOrder
	}
	p := n.peers.byID(n.view.Head())
	return p != nil && p.heartbeat.Epoch == n.view.Epoch && p.heartbeat.CannotOrder
}

func (n *node) allMembersSeen() bool {
	for _, member := range n.view.Members() {
		if member.ID != n.self.ID && n.peers.byID(member.ID) == nil {
			return false
		}
	}
	return true
}

// isMajorityResponsive reports whether enough voters are responsive to decide a view. Without that check, voters that
// become responsive later would miss the prepare message and wait until the attempt is given up.
func (n *node) isMajorityResponsive(now time.Duration) bool {
	return n.majority(func(id view.ID) bool { return n.isVoterResponsive(now, id) })
}

// majority reports whether holds is true for a majority of the voters.
func (n *node) majority(holds func(view.ID) bool) bool {
	count := 0
	for _, member := range n.view.Voters {
		if holds(member.ID) {
			count++
		}
	}
	return count >= n.view.Majority()
}

// prepareLate sends the current prepare message to a voter whose heartbeat was received, unless it has promised: the
// voter may have started after the message was sent, or have missed it.
func (n *node) prepareLate(member view.Member) {
	if n.viewChange.proposer != nil && n.viewChange.proposer.Awaits(member.ID) {
		n.deliver(outboundMessage{member.Address, n.viewChange.proposer.Prepare()})
	}
}

// proposerRank returns how many responsive members precede this one in proposerOrder.
func (n *node) proposerRank(now time.Duration) int {
	rank := 0
	for _, id := range n.proposerOrder() {
		if id == n.self.ID {
			return rank
		}
		if n.isResponsive(now, id) {
			rank++
		}
	}
	return rank
}

// proposerOrder returns all members, those of the chain first.
func (n *node) proposerOrder() []view.ID {
	order := append([]view.ID(nil), n.view.Chain...)
	for _, member := range n.view.Members() {
		if n.view.Position(member.ID) < 0 {
			order = append(order, member.ID)
		}
	}
	return order
}

// checkViewChange proposes another view when one has been needed for long enough.
func (n *node) checkViewChange(now time.Duration) {
	if n.view.Epoch == 0 || !n.isMember(n.self.ID) {
		return
	}
	if n.viewChange.proposer != nil {
		n.continueBallot(now)
		return
	}
	if !n.needsViewChange(now) {
		n.viewChange.pendingSince = -1
		return
	}
	if n.viewChange.pendingSince < 0 {
		n.viewChange.pendingSince = now
	}
	if now < n.viewChange.pendingSince+time.Duration(n.proposerRank(now))*proposerStagger || now < n.viewChange.retryAt || !n.isMajorityResponsive(now) {
		return
	}
	n.startBallot(now)
}

// startBallot starts an attempt with a ballot above all that are known.
func (n *node) startBallot(now time.Duration) {
	n.viewChange.ballotNumber = max(n.viewChange.ballotNumber, n.vote.Promised.Number) + 1
	if n.vote.Epoch != n.view.Epoch {
		n.viewChange.ballotNumber = 1
	}
	n.viewChange.proposer = view.NewProposer(now, n.view, view.Ballot{Number: n.viewChange.ballotNumber, Proposer: n.self.ID, Incarnation: n.origin}, n.config.mutations.minorityDecides)
	n.sendMembers(n.viewChange.proposer.Prepare())
}

// continueBallot continues the attempt, or ends a failed one and waits before the next.
func (n *node) continueBallot(now time.Duration) {
	p := n.viewChange.proposer
	if p.Failed(now) {
		n.viewChange.ballotNumber = max(n.viewChange.ballotNumber, p.Highest().Number)
		n.viewChange.proposer = nil
		pause := proposerStagger + time.Duration(n.config.Random()%uint64(2*proposerStagger))
		n.viewChange.retryAt = now + pause + time.Duration(n.proposerRank(now))*proposerStagger
		return
	}
	if !p.Gathered(now, func(id view.ID) bool { return n.alive(now, id) }) {
		return
	}
	accept := p.Choose(func(complete func(view.ID) bool) (view.View, bool) {
		return view.Plan(&n.view, n.knowledge(now, complete), complete)
	})
	if accept != nil {
		n.sendMembers(accept)
	}
}
