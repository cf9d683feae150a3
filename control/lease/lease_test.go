package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/control/view"
)

const (
	ms = time.Millisecond
	a  = view.ID(1)
	b  = view.ID(2)
	c  = view.ID(3)
)

func testTiming() Timing {
	return Timing{Duration: 1000 * ms, Margin: 100 * ms, RenewInterval: 250 * ms}
}

func request(incarnation, electionRound uint64) *Request {
	return &Request{Epoch: 1, Incarnation: incarnation, ElectionRound: electionRound}
}

func grants(v *Voter, now time.Duration, candidate view.ID, incarnation, electionRound uint64) bool {
	granted, _ := v.Grant(now, candidate, request(incarnation, electionRound))
	return granted
}

func TestVoterGrantsLeaseToOneCandidateAtATime(t *testing.T) {
	v := NewVoter(0, testTiming(), PreviousGrant{})
	granted, changed := v.Grant(0, a, request(7, 1))
	require.True(t, granted)
	require.True(t, changed, "the holder must be written to disk")
	granted, changed = v.Grant(500*ms, a, request(7, 2))
	require.True(t, granted)
	require.False(t, changed, "a renewal needs no write")
	require.False(t, grants(v, 1499*ms, b, 8, 1))
	require.True(t, grants(v, 1500*ms, b, 8, 2))
	require.Equal(t, PreviousGrant{Holder: b}, v.PreviousGrant())
}

func TestRestartedVoterGrantsOnlyToPreviousHolder(t *testing.T) {
	v := NewVoter(5000*ms, testTiming(), PreviousGrant{Holder: a})
	require.Equal(t, a, v.PreviousHolder(5000*ms))
	require.False(t, grants(v, 5000*ms, b, 8, 1))
	require.True(t, grants(v, 5001*ms, a, 9, 1), "in any incarnation")
	require.False(t, grants(v, 6000*ms, b, 8, 2), "the grant to a is valid")
	require.True(t, grants(v, 6001*ms, b, 8, 3))

	v = NewVoter(5000*ms, testTiming(), PreviousGrant{Holder: a})
	require.False(t, grants(v, 5999*ms, b, 8, 1), "a grant to a from before the start may still be valid")
	require.True(t, grants(v, 6000*ms, b, 8, 2))
}

func TestVoterWithoutPreviousGrantGrantsAtOnce(t *testing.T) {
	require.True(t, grants(NewVoter(5000*ms, testTiming(), PreviousGrant{}), 5000*ms, b, 8, 1))
}

func TestVoterWithUnknownPreviousHolderRefusesAll(t *testing.T) {
	v := NewVoter(0, testTiming(), PreviousGrant{Unknown: true})
	require.False(t, grants(v, 999*ms, a, 7, 1))
	require.False(t, grants(v, 999*ms, b, 8, 1))
	require.Zero(t, v.PreviousHolder(0))
	_, unknown := v.Holder(0)
	require.True(t, unknown)
	require.True(t, grants(v, 1000*ms, b, 8, 2))
}

func TestReleaseEndsOnlyGrantsOfSameIncarnation(t *testing.T) {
	v := NewVoter(0, testTiming(), PreviousGrant{})
	require.True(t, grants(v, 0, a, 7, 40))
	require.True(t, grants(v, 100*ms, a, 9, 1), "the next incarnation")
	v.Release(a, &Release{Incarnation: 7, ElectionRound: 41})
	require.False(t, grants(v, 200*ms, b, 8, 1), "a delayed release of the previous incarnation")
	v.Release(a, &Release{Incarnation: 9, ElectionRound: 1})
	require.True(t, grants(v, 200*ms, b, 8, 2))
}

func viewWithVoters(epoch uint64, ids ...view.ID) *view.View {
	v := &view.View{Epoch: epoch}
	for _, id := range ids {
		v.Voters = append(v.Voters, view.Member{ID: id})
	}
	return v
}

func TestHolderIgnoresRepliesToOtherIncarnation(t *testing.T) {
	current := viewWithVoters(1, a, b, c)
	h := NewHolder(testTiming(), 9)
	h.StartRound(0, 1)
	require.False(t, h.OnReply(current, a, &Reply{Epoch: 1, Incarnation: 7, ElectionRound: 1, Granted: true}))
	require.False(t, h.OnReply(current, b, &Reply{Epoch: 1, Incarnation: 7, ElectionRound: 1, Granted: true}))
	require.False(t, h.Valid(0))
	require.False(t, h.OnReply(current, a, &Reply{Epoch: 1, Incarnation: 9, ElectionRound: 1, Granted: true}))
	require.True(t, h.OnReply(current, b, &Reply{Epoch: 1, Incarnation: 9, ElectionRound: 1, Granted: true}))
	require.True(t, h.Valid(899*ms))
	require.False(t, h.Valid(900*ms), "the lease ends a margin before the voters' grants")
}

func TestPreviousGrantFollowsFromViewIfVotersChange(t *testing.T) {
	old, same, other := viewWithVoters(4, a, b, c), viewWithVoters(5, c, b, a), viewWithVoters(5, a, b)
	require.Equal(t, PreviousGrant{Holder: c}, PreviousGrant{Holder: c}.Adopt(old, same))
	other.Holder = a
	require.Equal(t, PreviousGrant{Holder: a}, PreviousGrant{Holder: c}.Adopt(old, other))
	other.Holder = 0
	require.Equal(t, PreviousGrant{Unknown: true}, PreviousGrant{Holder: c}.Adopt(old, other))
	require.Equal(t, PreviousGrant{Unknown: true}, PreviousGrant{}.Adopt(viewWithVoters(0), viewWithVoters(7, a, b, c)), "a new member")
	require.Equal(t, PreviousGrant{}, PreviousGrant{}.Adopt(viewWithVoters(0), viewWithVoters(1, a, b, c)), "a bootstrap member")
	require.Equal(t, PreviousGrant{Unknown: true}, PreviousGrant{Holder: c}.Adopt(old, viewWithVoters(6, a, b, c)), "a voter that missed a view")

	v := NewVoter(0, testTiming(), PreviousGrant{Holder: c})
	other.Holder = a
	v.Adopt(2000*ms, old, other)
	require.False(t, grants(v, 2999*ms, c, 7, 1))
	require.True(t, grants(v, 2001*ms, a, 8, 1))
}

func TestVotersOfVacantLeaseGrantAtOnce(t *testing.T) {
	old, next := viewWithVoters(4, a, b, c), viewWithVoters(5, a, b)
	next.Vacant = true
	require.Equal(t, PreviousGrant{}, PreviousGrant{Holder: c}.Adopt(old, next))
	v := NewVoter(0, testTiming(), PreviousGrant{Unknown: true})
	v.Adopt(100*ms, old, next)
	require.True(t, grants(v, 100*ms, b, 8, 1))
	require.False(t, grants(v, 101*ms, a, 7, 1))
}
