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

func of(epoch uint64, chain []view.ID, voters ...view.ID) view.View {
	v := view.View{Epoch: epoch, Chain: chain, Complete: len(chain)}
	for _, id := range voters {
		v.Voters = append(v.Voters, member(id))
	}
	return v
}

func yes(view.ID) bool { return true }

func no(view.ID) bool { return false }

func among(ids ...view.ID) func(view.ID) bool {
	return func(id view.ID) bool {
		for _, other := range ids {
			if other == id {
				return true
			}
		}
		return false
	}
}

func knowing(alive func(view.ID) bool, others ...view.ID) view.Knowledge {
	know := view.Knowledge{Alive: alive, Joinable: alive, Connected: func(a, b view.ID) bool { return true }, Down: no, Removable: no, Leaving: no}
	for _, id := range others {
		know.Known = append(know.Known, member(id))
	}
	return know
}

func TestAnOlderBallotIsRefused(t *testing.T) {
	var vote view.Vote
	require.False(t, vote.Sealed(4))
	newer := view.Ballot{Number: 2, Proposer: 1}
	reply, changed := vote.Prepare(4, newer)
	require.True(t, reply.Granted && changed)
	require.True(t, vote.Sealed(4))
	reply, changed = vote.Prepare(4, newer)
	require.True(t, reply.Granted && !changed, "a repeat needs no write")
	reply, _ = vote.Prepare(4, view.Ballot{Number: 1, Proposer: 9})
	require.False(t, reply.Granted)
	require.Equal(t, newer, reply.Promised)
	accepted, _ := vote.Accept(&view.Accept{Epoch: 4, Ballot: view.Ballot{Number: 1, Proposer: 9}})
	require.False(t, accepted.Granted)
	require.False(t, vote.Sealed(5))
}

// race is proposers with values of their own that race over a network which loses, duplicates and reorders, and voters that are reached in
// any order.
type race struct {
	random  *rand.Rand
	current view.View
	votes   map[view.ID]*view.Vote
	number  uint64   // of the newest ballot
	mail    []func() // messages under way
	decided []view.View
}

func newRace(seed uint64) *race {
	r := &race{random: rand.New(rand.NewPCG(seed, 3)), current: of(1, []view.ID{1, 2, 3}, 1, 2, 3, 4, 5), votes: make(map[view.ID]*view.Vote)}
	for _, voter := range r.current.Voters {
		r.votes[voter.ID] = &view.Vote{}
	}
	return r
}

// send has a message arrive never, once or twice.
func (r *race) send(message func()) {
	for range r.random.IntN(3) {
		r.mail = append(r.mail, message)
	}
}

// deliver has messages arrive in any order, up to a number of them.
func (r *race) deliver(most int) {
	for step := 0; step < most && len(r.mail) > 0; step++ {
		at := r.random.IntN(len(r.mail))
		message := r.mail[at]
		r.mail = append(r.mail[:at], r.mail[at+1:]...)
		message()
	}
}

func (r *race) propose(id view.ID) {
	r.number++
	ballot := view.Ballot{Number: r.number - r.random.Uint64N(min(r.number, 2)), Proposer: id, Incarnation: r.number}
	p := view.NewProposer(0, r.current, ballot, false)
	value := of(0, []view.ID{id}, 1, 2, 3, 4, 5)
	value.Holder = view.ID(r.number)
	for voter, vote := range r.votes {
		r.send(func() {
			promise, _ := vote.Prepare(1, ballot)
			r.send(func() {
				p.Promised(voter, &promise)
				if p.Gathered(view.GatherTimeout, no) {
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
				if v := p.Accepted(voter, &reply); v != nil {
					r.decided = append(r.decided, *v)
				}
			})
		})
	}
}

func TestOneViewIsDecided(t *testing.T) {
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
	require.True(t, anyDecided, "no attempt came to an end: the test shows nothing")
}

func TestAChainKeepsItsOrderAndNeedsACompleteMember(t *testing.T) {
	current := of(7, []view.ID{3, 1, 2}, 1, 2, 3)
	planned, ok := view.Plan(&current, knowing(among(1, 2, 4), 1, 2, 4), yes)
	require.True(t, ok)
	require.Equal(t, []view.ID{1, 2, 4}, planned.Chain)
	require.Equal(t, 2, planned.Complete)
	planned, ok = view.Plan(&current, knowing(yes, 1, 2, 3), among(2))
	require.True(t, ok)
	require.Equal(t, []view.ID{2, 3, 1}, planned.Chain, "those that are not complete join at the end")
	require.Equal(t, 1, planned.Complete)
	_, ok = view.Plan(&current, knowing(yes, 1, 2, 3, 4), among(4))
	require.False(t, ok, "nobody of the old chain is complete")
}

func TestAQuietCoreWantsNoChange(t *testing.T) {
	current := of(7, []view.ID{3, 1, 2}, 1, 2, 3)
	planned, ok := view.Plan(&current, knowing(yes, 1, 2, 3), yes)
	require.True(t, ok)
	require.True(t, view.Same(&current, &planned))
}

func TestNeighboursThatDoNotTouchAreParted(t *testing.T) {
	current := of(7, []view.ID{1, 2, 3}, 1, 2, 3)
	know := knowing(yes, 1, 2, 3)
	know.Connected = func(a, b view.ID) bool { return a+b != 3 } // 1 and 2
	planned, ok := view.Plan(&current, know, yes)
	require.True(t, ok)
	require.Equal(t, []view.ID{1, 3, 2}, planned.Chain)
	require.Equal(t, 2, planned.Complete)
}

// TestOneThatHearsNobodyDoesNotExcludeTheOthers has the head healed from a one-way cut: it promised, but its last beat misses all.
func TestOneThatHearsNobodyDoesNotExcludeTheOthers(t *testing.T) {
	for _, deaf := range []view.ID{1, 2, 3} {
		current := of(7, []view.ID{1, 2, 3}, 1, 2, 3)
		know := knowing(yes, 1, 2, 3)
		know.Connected = func(a, b view.ID) bool { return a != deaf && b != deaf }
		planned, ok := view.Plan(&current, know, yes)
		require.True(t, ok)
		require.Equal(t, 2, planned.Complete, "%d hears nobody", deaf)
		require.NotContains(t, planned.Chain, deaf)
	}
}

func TestANewDiskReplacesTheOneOfItsAddress(t *testing.T) {
	current := of(7, []view.ID{1, 2, 3}, 1, 2, 3)
	know := knowing(among(2, 3, 9), 2, 3)
	know.Known = append(know.Known, view.Member{ID: 9, Address: member(1).Address})
	planned, ok := view.Plan(&current, know, yes)
	require.True(t, ok)
	require.Equal(t, []view.ID{2, 3, 9}, planned.Chain)
	require.Len(t, planned.Voters, 3)
}

func TestThoseThatAreDownAreGivenUpIfThatHelps(t *testing.T) {
	for _, c := range []struct {
		voters     []view.ID
		unreliable []view.ID
		left       int
	}{
		{[]view.ID{1, 2, 3}, []view.ID{3}, 3}, // two voters would bear no more than three of which one is down
		{[]view.ID{1, 2, 3, 4}, []view.ID{4}, 3},
		{[]view.ID{1, 2, 3, 4, 5}, []view.ID{4}, 5},
		{[]view.ID{1, 2, 3, 4, 5}, []view.ID{4, 5}, 3},
		{[]view.ID{1, 2, 3}, []view.ID{2, 3}, 3}, // one alone could be lost for good
	} {
		current := of(7, c.voters, c.voters...)
		know := knowing(func(id view.ID) bool { return !among(c.unreliable...)(id) }, c.voters...)
		know.Down = among(c.unreliable...)
		planned, ok := view.Plan(&current, know, yes)
		require.True(t, ok)
		require.Len(t, planned.Voters, c.left, "%v", c)
		know.Down, know.Leaving = no, among(c.unreliable...)
		planned, _ = view.Plan(&current, know, yes)
		require.Len(t, planned.Voters, c.left, "leaving: %v", c)
	}
}

func TestAJoinerTakesTheVoteOfOneRemoved(t *testing.T) {
	current := of(7, []view.ID{1, 2, 3}, 1, 2, 3)
	know := knowing(among(1, 2, 4), 1, 2, 4)
	know.Down, know.Removable = among(3), among(3)
	planned, _ := view.Plan(&current, know, yes)
	require.Len(t, planned.Voters, 3)
	_, stays := planned.Voter(3)
	require.False(t, stays)
}

func TestAHolderIsNamedOnlyIfNobodyElseCanBe(t *testing.T) {
	current := of(1, []view.ID{1, 2, 3}, 1, 2, 3)
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
			p.Promised(view.ID(i+1), &promise)
		}
		require.True(t, p.Gathered(view.GatherTimeout, yes))
		require.False(t, p.Failed(view.AttemptTimeout-time.Millisecond))
		accept := p.Choose(func(func(view.ID) bool) (view.View, bool) { return current, true })
		require.Equal(t, c.holder, accept.View.Holder)
		require.Equal(t, c.vacant, accept.View.Vacant)
		require.EqualValues(t, 2, accept.View.Epoch)
	}
}

func TestAChainMustCoverMoreThanTheToleratedLosses(t *testing.T) {
	v := of(1, []view.ID{1, 2}, 1, 2, 3, 4)
	require.True(t, view.Durability{Copies: 2}.Met(&v))
	require.False(t, view.Durability{Copies: 3}.Met(&v))
	require.True(t, view.Durability{Copies: 2, ToleratedZones: 1}.Met(&v))
	require.False(t, view.Durability{Copies: 2, ToleratedZones: 2}.Met(&v))
	same := of(1, []view.ID{1, 4}, 1, 2, 3, 4)
	require.False(t, view.Durability{Copies: 2, ToleratedZones: 1}.Met(&same), "both lie in one zone")
	oneRegion := func(string) string { return "r" }
	require.False(t, view.Durability{Copies: 2, ToleratedRegions: 1, RegionOf: oneRegion}.Met(&v))
}
