package view

import "time"

// Time limits of a proposal.
const (
	GatherTimeout  = 120 * time.Millisecond // a majority having promised, so long is waited for the others that live
	AttemptTimeout = 500 * time.Millisecond // then an attempt is given up
)

// Proposer runs one attempt at deciding the successor of a view.
type Proposer struct {
	view           View
	ballot         Ballot
	started        time.Duration
	promises       map[ID]*Promise
	accepts        map[ID]bool
	value          *View // once the second phase has begun
	highest        Ballot
	mutateMinority bool
}

// NewProposer starts an attempt. The caller sends Prepare to all members: learners answer whether they are complete, and count in no
// majority. With mutateMinority, a mutation of tests, a single voter decides.
func NewProposer(now time.Duration, current View, ballot Ballot, mutateMinority bool) *Proposer {
	return &Proposer{
		view: current, ballot: ballot, started: now,
		promises: make(map[ID]*Promise), accepts: make(map[ID]bool), highest: ballot,
		mutateMinority: mutateMinority,
	}
}

// Prepare returns the message of the first phase.
func (p *Proposer) Prepare() *Prepare { return &Prepare{View: p.view, Ballot: p.ballot} }

// gathering reports whether the first phase goes on: promises are waited for.
func (p *Proposer) gathering() bool { return p.value == nil }

// Awaits reports whether a member's promise is waited for.
func (p *Proposer) Awaits(id ID) bool {
	_, member := p.view.Member(id)
	return member && p.gathering() && p.promises[id] == nil
}

// Epoch returns that of the view whose successor is to be decided.
func (p *Proposer) Epoch() uint64 { return p.view.Epoch }

// Failed reports whether the attempt has failed: another ballot is in the way, or it took longer than AttemptTimeout.
func (p *Proposer) Failed(now time.Duration) bool {
	return p.ballot.Less(p.highest) || now-p.started >= AttemptTimeout
}

func (p *Proposer) quorum() int {
	if p.mutateMinority {
		return 1
	}
	return p.view.Majority()
}

// Highest returns the highest ballot that the proposer has seen.
func (p *Proposer) Highest() Ballot { return p.highest }

// Promised handles an answer of the first phase.
func (p *Proposer) Promised(from ID, promise *Promise) {
	if promise.Epoch != p.view.Epoch || promise.Ballot != p.ballot {
		return
	}
	if _, ok := p.view.Member(from); !ok {
		return
	}
	if !promise.Granted {
		p.observe(promise.Promised)
		return
	}
	p.promises[from] = promise
}

func (p *Proposer) observe(ballot Ballot) {
	if p.highest.Less(ballot) {
		p.highest = ballot
	}
}

// Gathered reports whether the second phase may begin: a majority has promised, and either every member that is alive has, or
// GatherTimeout is over.
func (p *Proposer) Gathered(now time.Duration, alive func(ID) bool) bool {
	if p.value != nil || p.votes() < p.quorum() {
		return false
	}
	if now-p.started >= GatherTimeout {
		return true
	}
	for _, member := range p.view.Members() {
		if p.promises[member.ID] == nil && alive(member.ID) {
			return false
		}
	}
	return true
}

// votes counts the promises of voters.
func (p *Proposer) votes() int {
	votes := 0
	for _, member := range p.view.Voters {
		if p.promises[member.ID] != nil {
			votes++
		}
	}
	return votes
}

// Choose begins the second phase: with the view that a promise has shown to be accepted, else with one that plan makes out of those
// complete members of the chain that promised. It returns nil if there is none to propose. The caller sends it to all members.
func (p *Proposer) Choose(plan func(complete func(ID) bool) (View, bool)) *Accept {
	value := p.accepted()
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

func (p *Proposer) accepted() *View {
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

// holder is whom all promises that know of a lease name. Since any holder has leases of a majority, nobody else can be one. It is
// vacant if all know, and none names anybody: a majority that has promised grants no more in its epoch.
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

// Accepted handles an answer of the second phase. It returns the view once that is decided, and nil before.
func (p *Proposer) Accepted(from ID, reply *AcceptReply) *View {
	if p.value == nil || reply.Epoch != p.view.Epoch || reply.Ballot != p.ballot {
		return nil
	}
	if _, ok := p.view.Voter(from); !ok {
		return nil
	}
	if !reply.Granted {
		p.observe(reply.Promised)
		return nil
	}
	p.accepts[from] = true
	if len(p.accepts) < p.quorum() {
		return nil
	}
	return p.value
}
