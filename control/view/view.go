package view

import (
	"slices"
	"strconv"
)

//go:generate go run github.com/tinylib/msgp -file view.go -o view_gen.go -tests=false
//msgp:tuple Member View Ballot Vote Prepare Promise Accept AcceptReply

// ID is the identity of a disk, drawn at random when the disk is first used. Zero means no member.
type ID uint64

// String returns the ID in hexadecimal.
func (id ID) String() string { return strconv.FormatUint(uint64(id), 16) }

// Member is a process of the core: its disk, and the address where it listens.
type Member struct {
	ID      ID
	Address string // RPC address
	Zone    string
	Storage bool // the disk belongs to a store, recruited to reach the required number of members
}

// View is one configuration of the core. It is immutable once decided.
type View struct {
	Epoch    uint64
	Voters   []Member // they decide on the next view and grant the leader lease; an odd number if there are enough members
	Learners []Member // the other members: they may be part of the chain, but don't count towards a majority
	Chain    []ID     // the head first
	Complete int      // number of members at the start of Chain that hold every entry committed in earlier epochs
	Holder   ID       // the only member that may hold the leader lease when the view is decided; zero if unknown
	Vacant   bool     // no member can hold the lease when the view is decided
}

// Voter returns the voter with an ID, and whether there is one.
func (v *View) Voter(id ID) (Member, bool) { return findMember(v.Voters, id) }

// Member returns the voter or learner with an ID, and whether there is one.
func (v *View) Member(id ID) (Member, bool) {
	if member, ok := findMember(v.Voters, id); ok {
		return member, true
	}
	return findMember(v.Learners, id)
}

// Members returns the voters, followed by the learners.
func (v *View) Members() []Member { return slices.Concat(v.Voters, v.Learners) }

func findMember(members []Member, id ID) (Member, bool) {
	for _, member := range members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Position returns a member's index in the chain: 0 for the head, -1 if it is not part of the chain.
func (v *View) Position(id ID) int { return slices.Index(v.Chain, id) }

// Head returns the first member of the chain, zero if the chain is empty.
func (v *View) Head() ID {
	if len(v.Chain) == 0 {
		return 0
	}
	return v.Chain[0]
}

// Majority returns the smallest number of voters that is a majority.
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

// Ballot identifies an attempt to decide one view. Ballots are totally ordered.
type Ballot struct {
	Number      uint64 // increases with each attempt of a proposer
	Proposer    ID
	Incarnation uint64 // of the proposer: after a restart it has no record of its earlier ballots, and must not reuse them
}

// Less reports whether b is lower than other.
func (b Ballot) Less(other Ballot) bool {
	if b.Number != other.Number {
		return b.Number < other.Number
	}
	if b.Proposer != other.Proposer {
		return b.Proposer < other.Proposer
	}
	return b.Incarnation < other.Incarnation
}

// Prepare asks a voter of View to promise a ballot for the next view. It carries the view, for voters that have not
// received it yet.
type Prepare struct {
	View   View
	Ballot Ballot
}

// Promise answers a Prepare. If Granted is false, Promised is the higher ballot that the voter has promised already.
type Promise struct {
	Epoch         uint64 // epoch of the view whose successor is to be decided
	Ballot        Ballot
	Granted       bool
	Promised      Ballot
	AcceptedAt    Ballot
	Accepted      View // epoch zero: none
	Complete      bool // the sender is in the chain, and holds all entries committed before Epoch and those accepted in it
	Holder        ID   // the member to which the voter has granted the leader lease, zero if it has granted none
	HolderUnknown bool // the voter doesn't know to which member it has granted the lease
}

// Accept asks a voter to accept a view as the successor of the view of Epoch.
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

// Vote is what a voter has promised and accepted for the successor of the view of Epoch. A change of it must be on
// disk before the answer that reports the change is sent.
type Vote struct {
	Epoch      uint64
	Promised   Ballot
	AcceptedAt Ballot
	Accepted   View // epoch zero: none
}

// Sealed reports whether the voter has promised a ballot for the successor of epoch. From then on it accepts no
// commands of that epoch.
func (v *Vote) Sealed(epoch uint64) bool { return v.Epoch == epoch && v.Promised != Ballot{} }

// Prepare promises a ballot, unless a higher one was promised. If changed is true, the vote must be on disk before
// the reply is sent.
func (v *Vote) Prepare(epoch uint64, ballot Ballot) (reply Promise, changed bool) {
	v.startEpoch(epoch)
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

// Accept accepts a view, unless a higher ballot was promised. If changed is true, the vote must be on disk before the
// reply is sent.
func (v *Vote) Accept(message *Accept) (reply AcceptReply, changed bool) {
	v.startEpoch(message.Epoch)
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

// startEpoch resets the vote if it belongs to another epoch.
func (v *Vote) startEpoch(epoch uint64) {
	if v.Epoch != epoch {
		*v = Vote{Epoch: epoch}
	}
}
