package view

import (
	"slices"
	"strconv"
)

//go:generate go run github.com/tinylib/msgp -file view.go -o view_gen.go -tests=false
//msgp:tuple Member View Ballot Vote Prepare Promise Accept AcceptReply

// ID is the identity of a disk, drawn at random when it is first used. Zero is nobody.
type ID uint64

// String returns the identity in hexadecimal.
func (id ID) String() string { return strconv.FormatUint(uint64(id), 16) }

// Member is a process of the core: a disk, and where the process that uses it listens.
type Member struct {
	ID      ID
	Address string // rpc address
	Zone    string
	Storage bool // the disk is a store's, which makes up the number of members
}

// View is one configuration of the core. It is never changed once decided.
type View struct {
	Epoch    uint64
	Voters   []Member // an odd number where there are enough: they decide on the next view, and grant the leader lease
	Learners []Member // the other members: they may be of the chain, and count in no majority
	Chain    []ID     // the head first
	Complete int      // the first so many of Chain hold all that was committed in earlier epochs
	Holder   ID       // the only one that may hold the leader lease as the view is decided; zero if that is not known
	Vacant   bool     // nobody can hold the lease as the view is decided
}

// Voter returns the voter of an identity, if there is one.
func (v *View) Voter(id ID) (Member, bool) { return find(v.Voters, id) }

// Member returns the voter or learner of an identity, if there is one.
func (v *View) Member(id ID) (Member, bool) {
	if member, ok := find(v.Voters, id); ok {
		return member, true
	}
	return find(v.Learners, id)
}

// Members returns the voters, then the learners.
func (v *View) Members() []Member { return slices.Concat(v.Voters, v.Learners) }

func find(members []Member, id ID) (Member, bool) {
	for _, member := range members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Position returns a member's index in the chain, 0 at the head, -1 if it is not part of it.
func (v *View) Position(id ID) int { return slices.Index(v.Chain, id) }

// Head returns the first member of the chain, zero if the chain is empty.
func (v *View) Head() ID {
	if len(v.Chain) == 0 {
		return 0
	}
	return v.Chain[0]
}

// Majority returns the least number of voters that is more than half of them.
func (v *View) Majority() int { return len(v.Voters)/2 + 1 }

// SameVoters reports whether both views have the same voters, in any order.
func (v *View) SameVoters(other *View) bool {
	if len(v.Voters) != len(other.Voters) {
		return false
	}
	for _, member := range v.Voters {
		if _, ok := other.Voter(member.ID); !ok {
			return false
		}
	}
	return true
}

// Ballot orders the attempts to decide one view.
type Ballot struct {
	Number      uint64 // climbs with each attempt of a proposer
	Proposer    ID
	Incarnation uint64 // of the proposer: one that has forgotten its ballots in a restart makes others
}

// Less reports whether b comes before other.
func (b Ballot) Less(other Ballot) bool {
	if b.Number != other.Number {
		return b.Number < other.Number
	}
	if b.Proposer != other.Proposer {
		return b.Proposer < other.Proposer
	}
	return b.Incarnation < other.Incarnation
}

// Prepare asks a voter of View to promise a ballot for the view that follows. It carries the view, for voters that have not heard of it.
type Prepare struct {
	View   View
	Ballot Ballot
}

// Promise answers a Prepare. If not Granted, Promised is the ballot that stands in the way.
type Promise struct {
	Epoch         uint64 // of the view whose successor is sought
	Ballot        Ballot
	Granted       bool
	Promised      Ballot
	AcceptedAt    Ballot
	Accepted      View // epoch zero: none
	Complete      bool // the voter is of the chain and holds all that was committed before Epoch, and what it took in it
	Holder        ID   // whom it has granted the leader lease, zero if nobody
	HolderUnknown bool // it can't know whom it granted
}

// Accept asks a voter to accept a successor of the view of Epoch.
type Accept struct {
	Epoch  uint64
	Ballot Ballot
	View   View
}

// AcceptReply answers an Accept.
type AcceptReply struct {
	Epoch    uint64
	Ballot   Ballot
	Granted  bool
	Promised Ballot
}

// Vote is what a voter has promised and accepted for the successor of the view of Epoch. It must be on disk before an answer leaves that
// follows from it.
type Vote struct {
	Epoch      uint64
	Promised   Ballot
	AcceptedAt Ballot
	Accepted   View // epoch zero: none
}

// Sealed reports whether the voter has promised anything for the successor of epoch: then it takes no command of that epoch.
func (v *Vote) Sealed(epoch uint64) bool { return v.Epoch == epoch && v.Promised != Ballot{} }

// Prepare promises a ballot, unless a later one is promised. Changed says that the vote must be written before the answer is sent.
func (v *Vote) Prepare(epoch uint64, ballot Ballot) (reply Promise, changed bool) {
	v.begin(epoch)
	reply = Promise{Epoch: epoch, Ballot: ballot}
	if ballot.Less(v.Promised) {
		reply.Promised = v.Promised
		return reply, false
	}
	changed = v.Promised != ballot
	v.Promised = ballot
	reply.Granted = true
	reply.AcceptedAt, reply.Accepted = v.AcceptedAt, v.Accepted
	return reply, changed
}

// Accept accepts a view, unless a later ballot is promised. Changed says that the vote must be written before the answer is sent.
func (v *Vote) Accept(message *Accept) (reply AcceptReply, changed bool) {
	v.begin(message.Epoch)
	reply = AcceptReply{Epoch: message.Epoch, Ballot: message.Ballot}
	if message.Ballot.Less(v.Promised) {
		reply.Promised = v.Promised
		return reply, false
	}
	changed = v.AcceptedAt != message.Ballot
	v.Promised, v.AcceptedAt, v.Accepted = message.Ballot, message.Ballot, message.View
	reply.Granted = true
	return reply, changed
}

func (v *Vote) begin(epoch uint64) {
	if v.Epoch != epoch {
		*v = Vote{Epoch: epoch}
	}
}
