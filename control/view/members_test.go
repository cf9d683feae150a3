package view_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/control/view"
)

func ids(members []view.Member) (list []view.ID) {
	for _, member := range members {
		list = append(list, member.ID)
	}
	return list
}

func TestANewcomerHasNoVoteAtFirst(t *testing.T) {
	current := of(7, []view.ID{1, 2, 3}, 1, 2, 3)
	planned, ok := view.Plan(&current, knowing(yes, 1, 2, 3, 4), yes)
	require.True(t, ok)
	require.Equal(t, []view.ID{1, 2, 3}, ids(planned.Voters))
	require.Equal(t, []view.ID{4}, ids(planned.Learners))
	require.Equal(t, []view.ID{1, 2, 3, 4}, planned.Chain)
	require.False(t, view.Same(&current, &planned))

	planned.Epoch = 8
	again, _ := view.Plan(&planned, knowing(yes, 1, 2, 3, 4), yes)
	require.True(t, view.Same(&planned, &again), "nothing more to do")
}

func TestALearnerTakesTheVoteOfOneThatIsDown(t *testing.T) {
	current := of(7, []view.ID{1, 2, 3, 4}, 1, 2, 3)
	current.Learners = []view.Member{member(4)}
	know := knowing(among(1, 2, 4), 1, 2, 3, 4)
	planned, _ := view.Plan(&current, know, yes)
	require.Equal(t, []view.ID{1, 2, 3}, ids(planned.Voters), "it has only just fallen silent")
	know.Down = among(3)
	planned, _ = view.Plan(&current, know, no123)
	require.Equal(t, []view.ID{1, 2, 4}, ids(planned.Voters), "even before it is filled")
	require.Equal(t, []view.ID{3}, ids(planned.Learners), "the other may come back")
	know.Removable = among(3)
	planned, _ = view.Plan(&current, know, yes)
	require.Empty(t, planned.Learners)
}

// no123 has all but the newcomer complete.
func no123(id view.ID) bool { return id != 4 }

func TestACompleteLearnerIsPreferred(t *testing.T) {
	current := of(7, []view.ID{1, 2, 4, 5}, 1, 2, 3)
	current.Learners = []view.Member{member(4), member(5)}
	know := knowing(among(1, 2, 4, 5), 1, 2, 3, 4, 5)
	know.Down = among(3)
	planned, _ := view.Plan(&current, know, among(1, 2, 5))
	require.Equal(t, []view.ID{1, 2, 5}, ids(planned.Voters))
}

func TestLearnersBecomeVotersInPairs(t *testing.T) {
	current := of(7, []view.ID{1, 2, 3, 4, 5}, 1, 2, 3)
	current.Learners = []view.Member{member(4), member(5)}
	planned, _ := view.Plan(&current, knowing(yes, 1, 2, 3, 4, 5), among(1, 2, 3, 4))
	require.Equal(t, []view.ID{1, 2, 3}, ids(planned.Voters), "one is not complete")
	planned, _ = view.Plan(&current, knowing(yes, 1, 2, 3, 4, 5), yes)
	require.ElementsMatch(t, []view.ID{1, 2, 3, 4, 5}, ids(planned.Voters))
	require.Empty(t, planned.Learners)
}

func TestAnEvenNumberOfVotersTakesOneMore(t *testing.T) {
	current := of(7, []view.ID{1, 2}, 1, 2)
	planned, _ := view.Plan(&current, knowing(yes, 1, 2, 3), among(1, 2))
	require.Equal(t, []view.ID{1, 2, 3}, ids(planned.Voters))
}

func TestOneThatLeavesHandsItsVoteOver(t *testing.T) {
	current := of(7, []view.ID{1, 2, 3, 4}, 1, 2, 3)
	current.Learners = []view.Member{member(4)}
	know := knowing(yes, 1, 2, 3, 4)
	know.Leaving = among(1)
	planned, _ := view.Plan(&current, know, yes)
	require.Equal(t, []view.ID{4, 2, 3}, ids(planned.Voters))
	require.Equal(t, []view.ID{2, 3, 4}, planned.Chain)

	alone := of(7, []view.ID{1, 2, 3}, 1, 2, 3)
	planned, _ = view.Plan(&alone, know3(among(1)), yes)
	require.Equal(t, []view.ID{1, 2, 3}, ids(planned.Voters), "nobody can take its vote")
	require.Equal(t, []view.ID{2, 3}, planned.Chain)
	planned, ok := view.Plan(&alone, know3(yes), yes)
	require.True(t, ok)
	require.Equal(t, []view.ID{1, 2, 3}, planned.Chain, "all leave")
	planned, _ = view.Plan(&alone, know3(among(1)), among(1))
	require.Equal(t, []view.ID{1, 2, 3}[:1], planned.Chain[:1], "only the one that leaves is complete")
}

func know3(leaving func(view.ID) bool) view.Knowledge {
	know := knowing(yes, 1, 2, 3)
	know.Leaving = leaving
	return know
}

func TestANewDiskTakesTheVoteOfItsAddress(t *testing.T) {
	current := of(7, []view.ID{1, 2, 3}, 1, 2, 3)
	know := knowing(among(2, 3, 9, 4), 2, 3, 4)
	know.Known = append(know.Known, view.Member{ID: 9, Address: member(1).Address})
	planned, _ := view.Plan(&current, know, among(2, 3))
	require.Equal(t, []view.ID{9, 2, 3}, ids(planned.Voters))
	require.Equal(t, []view.ID{4}, ids(planned.Learners))
}

func TestLearnersCountInNoMajority(t *testing.T) {
	current := of(7, []view.ID{1, 2, 3, 4}, 1, 2, 3)
	current.Learners = []view.Member{member(4)}
	ballot := view.Ballot{Number: 1, Proposer: 1}
	p := view.NewProposer(0, current, ballot, false)
	promise := func(id view.ID) {
		p.Promised(id, &view.Promise{Epoch: 7, Ballot: ballot, Granted: true, Complete: true})
	}
	promise(1)
	promise(4)
	require.False(t, p.Gathered(view.GatherTimeout, no))
	promise(2)
	require.True(t, p.Gathered(view.GatherTimeout, no))
	accept := p.Choose(func(complete func(view.ID) bool) (view.View, bool) {
		require.True(t, complete(4), "that it is complete counts")
		return current, true
	})
	accepted := &view.AcceptReply{Epoch: 7, Ballot: ballot, Granted: true}
	require.Nil(t, p.Accepted(1, accepted))
	require.Nil(t, p.Accepted(4, accepted))
	require.Equal(t, &accept.View, p.Accepted(2, accepted))
}
