package view

import "time"

// Time limits of a proposal, from the start of the attempt.
const (
	GatherTimeout  = 120 * time.Millisecond // once a majority has promised, how long to wait for other live members
	AttemptTimeout = 500 * time.Millisecond // after this time the attempt is abandoned
)

// Proposer runs one attempt to decide the successor of a view.
type Proposer struct {
	view           View
	ballot         Ballot
	startedAt      time.Duration
	promises       map[ID]*Promise
	accepts        map[ID]bool
	value          *View // the proposed view; nil during the first phase
	highestBallot  Ballot
	mutateMinority bool
}

// NewProposer starts an attempt. The caller sends the message of Prepare to all members: learners answer whether they
// are complete, but don't count towards a majority. With mutateMinority, a fault injected by tests, a single voter
// decides.
func NewProposer(now time.Duration, current View, ballot Ballot, mutateMinority bool) *Proposer {
	return &Proposer{
		view: current, ballot: ballot, startedAt: now,
		promises: make(map[ID]*Promise), accepts: make(map[ID]bool), highestBallot: ballot,
		mutateMinority: mutateMinority,
	}
}

// Prepare returns the message of the first phase.
func (p *Proposer) Prepare() *Prepare { return &Prepare{View: p.view, Ballot: p.ballot} }

// preparing reports whether the attempt is in the first phase, in which it waits for promises.
func (p *Proposer) preparing() bool { return p.value == nil }

// Awaits reports whether the attempt is waiting for a member's promise.
func (p *Proposer) Awaits(id ID) bool {
	_, isMember := p.view.Member(id)
	return isMember && p.preparing() && p.promises[id] == nil
}

// Epoch returns the epoch of the view whose successor is to be decided.
func (p *Proposer) Epoch() uint64 { return p.view.Epoch }

// Failed reports whether the attempt has failed: a voter has promised a higher ballot, or AttemptTimeout has passed.
func (p *Proposer) Failed(now time.Duration) bool {
	return p.ballot.Less(p.highestBallot) || now-p.startedAt >= AttemptTimeout
}

func (p *Proposer) quorum() int {
	if p.mutateMinority {
		return 1
	}
	return p.view.Majority()
}

// Highest returns the highest ballot that the proposer has seen.
func (p *Proposer) Highest() Ballot { return p.highestBallot }

// OnPromise handles an answer of the first phase.
func (p *Proposer) OnPromise(from ID, promise *Promise) {
	if promise.Epoch != p.view.Epoch || promise.Ballot != p.ballot {
		return
	}
	if _, ok := p.view.Member(from); !ok {
		return
	}
	if !promise.Granted {
		p.observeBallot(promise.Promised)
		return
	}
	p.promises[from] = promise
}

func (p *Proposer) observeBallot(ballot Ballot) {
	if p.highestBallot.Less(ballot) {
		p.highestBallot = ballot
	}
}

// Gathered reports whether the second phase may begin: a majority of the voters has promised, and either all members
// that are alive have promised, or GatherTimeout has passed.
func (p *Proposer) Gathered(now time.Duration, alive func(ID) bool) bool {
	if p.value != nil || p.voterPromises() < p.quorum() {
		return false
	}
	if now-p.startedAt >= GatherTimeout {
		return true
	}
	for _, member := range p.view.Members() {
		if p.promises[member.ID] == nil && alive(member.ID) {
			return false
		}
	}
	return true
}

// voterPromises returns the number of voters that have promised.
func (p *Proposer) voterPromises() int {
	votes := 0
	for _, member := range p.view.Voters {
		if p.promises[member.ID] != nil {
			votes++
		}
	}
	return votes
}

// Choose begins the second phase. If a promise reports an accepted view, Choose proposes the one accepted at the
// highest ballot; otherwise it calls plan, and passes it which members of the chain have promised and are complete.
// It returns nil if there is no view to propose. The caller sends the message to all members.
func (p *Proposer) Choose(plan func(complete func(ID) bool) (View, bool)) *Accept {
	value := p.acceptedView()
	if value == nil {
		planned, ok := plan(p.complete)
		if !ok {
			return nil
		}
		planned.Epoch = p.view.Epoch + 1
		planned.Holder, planned.Vacant = p.holder()
		value = &planned
	}
	p.value = value
	return &Accept{Epoch: p.view.Epoch, Ballot: p.ballot, View: *value}
}

func (p *Proposer) acceptedView() *View {
	var newest *Promise
	for _, promise := range p.promises {
		if promise.Accepted.Epoch != 0 && (newest == nil || newest.AcceptedAt.Less(promise.AcceptedAt)) {
			newest = promise
		}
	}
	if newest == nil {
		return nil
	}
	value := newest.Accepted
	return &value
}

func (p *Proposer) complete(id ID) bool {
	promise := p.promises[id]
	return promise != nil && promise.Complete && p.view.Position(id) >= 0
}

// holder returns the member that the promises name as the holder of the leader lease. A holder has grants of a
// majority of the voters, so no other member can be the holder. Vacant is true if all promises are certain about the
// holder and none names one: a majority that has promised grants no further lease in its epoch.
func (p *Proposer) holder() (holder ID, vacant bool) {
	for _, member := range p.view.Voters {
		promise := p.promises[member.ID]
		if promise == nil {
			continue
		}
		if promise.HolderUnknown || holder != 0 && promise.Holder != 0 && promise.Holder != holder {
			return 0, false
		}
		if promise.Holder != 0 {
			holder = promise.Holder
		}
	}
	return holder, holder == 0
}

// OnAcceptReply handles an answer of the second phase. It returns the view once that is decided, and nil before.
func (p *Proposer) OnAcceptReply(from ID, reply *AcceptReply) *View {
	if p.value == nil || reply.Epoch != p.view.Epoch || reply.Ballot != p.ballot {
		return nil
	}
	if _, ok := p.view.Voter(from); !ok {
		return nil
	}
	if !reply.Granted {
		p.observeBallot(reply.Promised)
		return nil
	}
	p.accepts[from] = true
	if len(p.accepts) < p.quorum() {
		return nil
	}
	return p.value
}
