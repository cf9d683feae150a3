package core

import (
	"time"

	"ravendale/control/view"
)

func (n *node) onPrepare(now time.Duration, from view.Member, m *view.Prepare) {
	n.adopt(now, &m.View)
	if m.View.Epoch < n.view.Epoch {
		n.sendLasting(from.Address, &decided{View: n.view})
		return
	}
	if !n.isMember(n.self.ID) {
		return
	}
	whole := n.chain.Complete() || n.config.faults.hollow && n.chain.Position() >= 0
	reply, changed := n.vote.Prepare(n.view.Epoch, m.Ballot)
	if changed {
		n.seal()
	}
	reply.Complete = whole
	reply.Holder, reply.HolderUnknown = n.voter.Holder(now)
	n.sendLasting(from.Address, &reply)
}

func (n *node) seal() {
	n.chain.Seal()
	vote := n.vote
	n.log(&record{Vote: &vote})
}

func (n *node) onAccept(from view.Member, m *view.Accept) {
	if m.Epoch < n.view.Epoch {
		n.sendLasting(from.Address, &decided{View: n.view})
		return
	}
	if m.Epoch > n.view.Epoch || !n.isMember(n.self.ID) {
		return
	}
	reply, changed := n.vote.Accept(m)
	if changed {
		n.seal()
	}
	n.sendLasting(from.Address, &reply)
}

func (n *node) onPromise(now time.Duration, from view.Member, m *view.Promise) {
	if n.proposer == nil || m.Epoch != n.view.Epoch {
		return
	}
	n.proposer.Promised(from.ID, m)
	n.pursue(now)
}

func (n *node) onAcceptReply(now time.Duration, from view.Member, m *view.AcceptReply) {
	if n.proposer == nil || m.Epoch != n.view.Epoch {
		return
	}
	next := n.proposer.Accepted(from.ID, m)
	if next == nil {
		return
	}
	old := n.view.Members()
	n.adopt(now, next)
	message := &decided{View: *next}
	for _, member := range append(old, next.Members()...) {
		if member.ID != n.self.ID {
			n.deliver(post{member.Address, message})
		}
	}
}

// knowledge is what the node knows of others, as view.Plan asks for it.
func (n *node) knowledge(now time.Duration, promised func(view.ID) bool) view.Knowledge {
	know := view.Knowledge{
		Alive:               func(id view.ID) bool { return promised(id) || n.lives(now, id) },
		Joinable:            func(id view.ID) bool { return n.joinable(now, id) },
		Connected:           func(a, b view.ID) bool { return n.touch(now, a, b) },
		Down:                func(id view.ID) bool { return n.silence(now, id) >= n.config.DownAfter },
		Removable:           func(id view.ID) bool { return n.silence(now, id) >= n.config.GoneAfter },
		Leaving:             func(id view.ID) bool { return n.leaves(id) || n.mayDepart(now, id) },
		Dispensable:         func(id view.ID) bool { return n.spared(now, id) },
		MutateImmediateVote: n.config.faults.voting,
	}
	for _, p := range n.peers {
		if p.contacted && p.member.ID != 0 {
			know.Known = append(know.Known, p.member)
		}
	}
	return know
}

// seemsWhole guesses whether a member of the chain is whole, from its last beat.
func (n *node) seemsWhole(id view.ID) bool {
	if n.view.Position(id) < n.view.Complete || id == n.self.ID && n.chain.Complete() {
		return true
	}
	p := n.find(id)
	return p != nil && p.beat.Epoch == n.view.Epoch && p.beat.Whole
}

func nobody(view.ID) bool { return false }

// wantsView says whether another view would be better than this one.
func (n *node) wantsView(now time.Duration) bool {
	planned, ok := view.Plan(&n.view, n.knowledge(now, nobody), n.seemsWhole)
	if !ok {
		return false
	}
	if n.vote.Sealed(n.view.Epoch) || !view.Same(&n.view, &planned) {
		return true
	}
	return n.headIdle() && (now-n.started >= settleAfter || n.allHeard())
}

func (n *node) headIdle() bool {
	if n.chain.Position() == 0 {
		return n.idle
	}
	p := n.find(n.view.Head())
	return p != nil && p.beat.Epoch == n.view.Epoch && p.beat.Idle
}

func (n *node) allHeard() bool {
	for _, member := range n.view.Members() {
		if member.ID != n.self.ID && n.find(member.ID) == nil {
			return false
		}
	}
	return true
}

// majorityHeard says whether so many voters were heard of that a view can be decided: else those that come later would miss the
// question, and wait until the attempt is given up.
func (n *node) majorityHeard(now time.Duration) bool {
	return n.majority(func(id view.ID) bool { return n.hearsVoter(now, id) })
}

// majority says whether something holds of a majority of the voters.
func (n *node) majority(holds func(view.ID) bool) bool {
	count := 0
	for _, member := range n.view.Voters {
		if holds(member.ID) {
			count++
		}
	}
	return count >= n.view.Majority()
}

// prepareLate asks a voter that has just been heard for the promise that is being gathered, unless it has given it: it may have started
// since the question was sent, or have missed it.
func (n *node) prepareLate(member view.Member) {
	if n.proposer != nil && n.proposer.Awaits(member.ID) {
		n.deliver(post{member.Address, n.proposer.Prepare()})
	}
}

// rank is how many members that live come before this one as proposers.
func (n *node) rank(now time.Duration) int {
	rank := 0
	for _, id := range n.order() {
		if id == n.self.ID {
			return rank
		}
		if n.hears(now, id) {
			rank++
		}
	}
	return rank
}

// order lists the members, those of the chain first.
func (n *node) order() []view.ID {
	order := append([]view.ID(nil), n.view.Chain...)
	for _, member := range n.view.Members() {
		if n.view.Position(member.ID) < 0 {
			order = append(order, member.ID)
		}
	}
	return order
}

// seekView proposes another view when one has been wanted for long enough.
func (n *node) seekView(now time.Duration) {
	if n.view.Epoch == 0 || !n.isMember(n.self.ID) {
		return
	}
	if n.proposer != nil {
		n.pursue(now)
		return
	}
	if !n.wantsView(now) {
		n.wanted = -1
		return
	}
	if n.wanted < 0 {
		n.wanted = now
	}
	if now < n.wanted+time.Duration(n.rank(now))*rankPause || now < n.retryAt || !n.majorityHeard(now) {
		return
	}
	n.propose(now)
}

func (n *node) propose(now time.Duration) {
	n.round = max(n.round, n.vote.Promised.Number) + 1
	if n.vote.Epoch != n.view.Epoch {
		n.round = 1
	}
	n.proposer = view.NewProposer(now, n.view, view.Ballot{Number: n.round, Proposer: n.self.ID, Incarnation: n.origin}, n.config.faults.minority)
	n.sendMembers(n.proposer.Prepare())
}

// pursue goes on with an attempt, or gives it up for a while.
func (n *node) pursue(now time.Duration) {
	p := n.proposer
	if p.Failed(now) {
		n.round = max(n.round, p.Highest().Number)
		n.proposer = nil
		pause := rankPause + time.Duration(n.config.Random()%uint64(2*rankPause))
		n.retryAt = now + pause + time.Duration(n.rank(now))*rankPause
		return
	}
	if !p.Gathered(now, func(id view.ID) bool { return n.lives(now, id) }) {
		return
	}
	accept := p.Choose(func(whole func(view.ID) bool) (view.View, bool) {
		return view.Plan(&n.view, n.knowledge(now, whole), whole)
	})
	if accept != nil {
		n.sendMembers(accept)
	}
}
