package view_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/control/view"
)

func member(id view.ID) view.Member {
	return view.Member{ID: id, Address: string(rune('a' + id)), Zone: string(rune('x' + id%3))}
}

func newView(epoch uint64, chain []view.ID, voters ...view.ID) view.View {
	v := view.View{Epoch: epoch, Chain: chain, Complete: len(chain)}
	for _, id := range voters {
		v.Voters = append(v.Voters, member(id))
	}
	return v
}

func always(view.ID) bool { return true }

func never(view.ID) bool { return false }

func oneOf(ids ...view.ID) func(view.ID) bool {
	return func(id view.ID) bool {
		for _, other := range ids {
			if other == id {
				return true
			}
		}
		return false
	}
}

func knowledgeOf(alive func(view.ID) bool, others ...view.ID) view.Knowledge {
	knowledge := view.Knowledge{Alive: alive, Joinable: alive, Connected: func(a, b view.ID) bool { return true }, Down: never, Removable: never, Leaving: never}
	for _, id := range others {
		knowledge.Known = append(knowledge.Known, member(id))
	}
	return knowledge
}

func TestLowerBallotIsRefused(t *testing.T) {
	var vote view.Vote
	require.False(t, vote.Sealed(4))
	newer := view.Ballot{Number: 2, Proposer: 1}
	reply, changed := vote.Prepare(4, newer)
	require.True(t, reply.Granted && changed)
	require.True(t, vote.Sealed(4))
	reply, changed = vote.Prepare(4, newer)
	require.True(t, reply.Granted && !changed, "a repeated ballot needs no write")
	reply, _ = vote.Prepare(4, view.Ballot{Number: 1, Proposer: 9})
	require.False(t, reply.Granted)
	require.Equal(t, newer, reply.Promised)
	accepted, _ := vote.Accept(&view.Accept{Epoch: 4, Ballot: view.Ballot{Number: 1, Proposer: 9}})
	require.False(t, accepted.Granted)
	require.False(t, vote.Sealed(5))
}

// race simulates proposers that propose different values to the voters over a network that loses, duplicates and
// reorders messages.
type race struct {
	random   *rand.Rand
	current  view.View
	votes    map[view.ID]*view.Vote
	number   uint64   // number of the newest ballot
	inFlight []func() // messages in flight
	decided  []view.View
}

func newRace(seed uint64) *race {
	r := &race{random: rand.New(rand.NewPCG(seed, 3)), current: newView(1, []view.ID{1, 2, 3}, 1, 2, 3, 4, 5), votes: make(map[view.ID]*view.Vote)}
	for _, voter := range r.current.Voters {
		r.votes[voter.ID] = &view.Vote{}
	}
	return r
}

// send puts zero, one or two copies of a message in flight.
func (r *race) send(message func()) {
	for range r.random.IntN(3) {
		r.inFlight = append(r.inFlight, message)
	}
}

// deliver delivers up to maxMessages messages in random order.
func (r *race) deliver(maxMessages int) {
	for step := 0; step < maxMessages && len(r.inFlight) > 0; step++ {
		at := r.random.IntN(len(r.inFlight))
		message := r.inFlight[at]
		r.inFlight = append(r.inFlight[:at], r.inFlight[at+1:]...)
		message()
	}
}

func (r *race) propose(id view.ID) {
	r.number++
	ballot := view.Ballot{Number: r.number - r.random.Uint64N(min(r.number, 2)), Proposer: id, Incarnation: r.number}
	p := view.NewProposer(0, r.current, ballot, false)
	value := newView(0, []view.ID{id}, 1, 2, 3, 4, 5)
	value.Holder = view.ID(r.number)
	for voter, vote := range r.votes {
		r.send(func() {
			promise, _ := vote.Prepare(1, ballot)
			r.send(func() {
				p.OnPromise(voter, &promise)
				if p.Gathered(view.GatherTimeout, never) {
					r.accept(p, value)
				}
			})
		})
	}
}

func (r *race) accept(p *view.Proposer, value view.View) {
	accept := p.Choose(func(func(view.ID) bool) (view.View, bool) { return value, true })
	for voter, vote := range r.votes {
		r.send(func() {
			reply, _ := vote.Accept(accept)
			r.send(func() {
				if v := p.OnAcceptReply(voter, &reply); v != nil {
					r.decided = append(r.decided, *v)
				}
			})
		})
	}
}

func TestConcurrentProposersDecideOneView(t *testing.T) {
	anyDecided := false
	for seed := range uint64(2000) {
		r := newRace(seed)
		for range 4 {
			r.propose(view.ID(1 + r.random.IntN(5)))
			r.deliver(60)
		}
		for _, v := range r.decided {
			anyDecided = true
			require.Equal(t, r.decided[0], v, "seed %d", seed)
		}
	}
	require.True(t, anyDecided, "no view was decided, so the test checked nothing")
}

func TestPlanKeepsChainOrderAndNeedsCompleteMember(t *testing.T) {
	current := newView(7, []view.ID{3, 1, 2}, 1, 2, 3)
	planned, ok := view.Plan(&current, knowledgeOf(oneOf(1, 2, 4), 1, 2, 4), always)
	require.True(t, ok)
	require.Equal(t, []view.ID{1, 2, 4}, planned.Chain)
	require.Equal(t, 2, planned.Complete)
	planned, ok = view.Plan(&current, knowledgeOf(always, 1, 2, 3), oneOf(2))
	require.True(t, ok)
	require.Equal(t, []view.ID{2, 3, 1}, planned.Chain, "incomplete members join at the end")
	require.Equal(t, 1, planned.Complete)
	_, ok = view.Plan(&current, knowledgeOf(always, 1, 2, 3, 4), oneOf(4))
	require.False(t, ok, "no member of the old chain is complete")
}

func TestPlanOfHealthyCoreChangesNothing(t *testing.T) {
	current := newView(7, []view.ID{3, 1, 2}, 1, 2, 3)
	planned, ok := view.Plan(&current, knowledgeOf(always, 1, 2, 3), always)
	require.True(t, ok)
	require.True(t, view.Unchanged(&current, &planned))
}

func TestUnconnectedMembersAreNotNeighbours(t *testing.T) {
	current := newView(7, []view.ID{1, 2, 3}, 1, 2, 3)
	knowledge := knowledgeOf(always, 1, 2, 3)
	knowledge.Connected = func(a, b view.ID) bool { return a+b != 3 } // 1 and 2
	planned, ok := view.Plan(&current, knowledge, always)
	require.True(t, ok)
	require.Equal(t, []view.ID{1, 3, 2}, planned.Chain)
	require.Equal(t, 2, planned.Complete)
}

// TestUnconnectedMemberDoesNotExcludeOthers covers a head that recovers from a one-way partition: it has promised,
// but its last heartbeat reports no connection to any member.
func TestUnconnectedMemberDoesNotExcludeOthers(t *testing.T) {
	for _, unconnected := range []view.ID{1, 2, 3} {
		current := newView(7, []view.ID{1, 2, 3}, 1, 2, 3)
		knowledge := knowledgeOf(always, 1, 2, 3)
		knowledge.Connected = func(a, b view.ID) bool { return a != unconnected && b != unconnected }
		planned, ok := view.Plan(&current, knowledge, always)
		require.True(t, ok)
		require.Equal(t, 2, planned.Complete, "%d is not connected to any member", unconnected)
		require.NotContains(t, planned.Chain, unconnected)
	}
}

func TestNewDiskReplacesMemberWithSameAddress(t *testing.T) {
	current := newView(7, []view.ID{1, 2, 3}, 1, 2, 3)
	knowledge := knowledgeOf(oneOf(2, 3, 9), 2, 3)
	knowledge.Known = append(knowledge.Known, view.Member{ID: 9, Address: member(1).Address})
	planned, ok := view.Plan(&current, knowledge, always)
	require.True(t, ok)
	require.Equal(t, []view.ID{2, 3, 9}, planned.Chain)
	require.Len(t, planned.Voters, 3)
}

func TestUnreliableVotersAreDemotedIfThatRaisesTolerance(t *testing.T) {
	for _, c := range []struct {
		voters     []view.ID
		unreliable []view.ID
		remaining  int
	}{
		{[]view.ID{1, 2, 3}, []view.ID{3}, 3}, // two voters would tolerate no more failures than three of which one is down
		{[]view.ID{1, 2, 3, 4}, []view.ID{4}, 3},
		{[]view.ID{1, 2, 3, 4, 5}, []view.ID{4}, 5},
		{[]view.ID{1, 2, 3, 4, 5}, []view.ID{4, 5}, 3},
		{[]view.ID{1, 2, 3}, []view.ID{2, 3}, 3}, // the permanent loss of a single voter could leave no majority
	} {
		current := newView(7, c.voters, c.voters...)
		knowledge := knowledgeOf(func(id view.ID) bool { return !oneOf(c.unreliable...)(id) }, c.voters...)
		knowledge.Down = oneOf(c.unreliable...)
		planned, ok := view.Plan(&current, knowledge, always)
		require.True(t, ok)
		require.Len(t, planned.Voters, c.remaining, "%v", c)
		knowledge.Down, knowledge.Leaving = never, oneOf(c.unreliable...)
		planned, _ = view.Plan(&current, knowledge, always)
		require.Len(t, planned.Voters, c.remaining, "leaving: %v", c)
	}
}

func TestNewMemberReplacesRemovedVoter(t *testing.T) {
	current := newView(7, []view.ID{1, 2, 3}, 1, 2, 3)
	knowledge := knowledgeOf(oneOf(1, 2, 4), 1, 2, 4)
	knowledge.Down, knowledge.Removable = oneOf(3), oneOf(3)
	planned, _ := view.Plan(&current, knowledge, always)
	require.Len(t, planned.Voters, 3)
	_, isVoter := planned.Voter(3)
	require.False(t, isVoter)
}

func TestLeaseHolderIsNamedOnlyIfUnambiguous(t *testing.T) {
	current := newView(1, []view.ID{1, 2, 3}, 1, 2, 3)
	for _, c := range []struct {
		promises []view.Promise
		holder   view.ID
		vacant   bool
	}{
		{[]view.Promise{{Holder: 1}, {}}, 1, false},
		{[]view.Promise{{Holder: 1}, {Holder: 2}}, 0, false},
		{[]view.Promise{{Holder: 1}, {HolderUnknown: true}}, 0, false},
		{[]view.Promise{{}, {HolderUnknown: true}}, 0, false},
		{[]view.Promise{{}, {}}, 0, true},
	} {
		ballot := view.Ballot{Number: 1, Proposer: 1}
		p := view.NewProposer(0, current, ballot, false)
		for i, promise := range c.promises {
			promise.Epoch, promise.Ballot, promise.Granted = 1, ballot, true
			p.OnPromise(view.ID(i+1), &promise)
		}
		require.True(t, p.Gathered(view.GatherTimeout, always))
		require.False(t, p.Failed(view.AttemptTimeout-time.Millisecond))
		accept := p.Choose(func(func(view.ID) bool) (view.View, bool) { return current, true })
		require.Equal(t, c.holder, accept.View.Holder)
		require.Equal(t, c.vacant, accept.View.Vacant)
		require.EqualValues(t, 2, accept.View.Epoch)
	}
}

func TestChainMustSpanMoreZonesThanTolerated(t *testing.T) {
	v := newView(1, []view.ID{1, 2}, 1, 2, 3, 4)
	require.True(t, view.Durability{Copies: 2}.Met(&v))
	require.False(t, view.Durability{Copies: 3}.Met(&v))
	require.True(t, view.Durability{Copies: 2, ToleratedZones: 1}.Met(&v))
	require.False(t, view.Durability{Copies: 2, ToleratedZones: 2}.Met(&v))
	same := newView(1, []view.ID{1, 4}, 1, 2, 3, 4)
	require.False(t, view.Durability{Copies: 2, ToleratedZones: 1}.Met(&same), "both members are in one zone")
	oneRegion := func(string) string { return "r" }
	require.False(t, view.Durability{Copies: 2, ToleratedRegions: 1, RegionOf: oneRegion}.Met(&v))
}
