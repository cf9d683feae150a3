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

func TestNewcomerIsLearnerAtFirst(t *testing.T) {
	current := newView(7, []view.ID{1, 2, 3}, 1, 2, 3)
	planned, ok := view.Plan(&current, knowledgeOf(always, 1, 2, 3, 4), always)
	require.True(t, ok)
	require.Equal(t, []view.ID{1, 2, 3}, ids(planned.Voters))
	require.Equal(t, []view.ID{4}, ids(planned.Learners))
	require.Equal(t, []view.ID{1, 2, 3, 4}, planned.Chain)
	require.False(t, view.Unchanged(&current, &planned))

	planned.Epoch = 8
	again, _ := view.Plan(&planned, knowledgeOf(always, 1, 2, 3, 4), always)
	require.True(t, view.Unchanged(&planned, &again), "a second plan changes nothing")
}

func TestLearnerReplacesVoterThatIsDown(t *testing.T) {
	current := newView(7, []view.ID{1, 2, 3, 4}, 1, 2, 3)
	current.Learners = []view.Member{member(4)}
	knowledge := knowledgeOf(oneOf(1, 2, 4), 1, 2, 3, 4)
	planned, _ := view.Plan(&current, knowledge, always)
	require.Equal(t, []view.ID{1, 2, 3}, ids(planned.Voters), "3 is unreachable, but not for long enough to be down")
	knowledge.Down = oneOf(3)
	planned, _ = view.Plan(&current, knowledge, allBut4)
	require.Equal(t, []view.ID{1, 2, 4}, ids(planned.Voters), "4 replaces 3 even before it is complete")
	require.Equal(t, []view.ID{3}, ids(planned.Learners), "3 may come back")
	knowledge.Removable = oneOf(3)
	planned, _ = view.Plan(&current, knowledge, always)
	require.Empty(t, planned.Learners)
}

// allBut4 reports whether a member is not the newcomer 4.
func allBut4(id view.ID) bool { return id != 4 }

func TestCompleteLearnerIsPromotedFirst(t *testing.T) {
	current := newView(7, []view.ID{1, 2, 4, 5}, 1, 2, 3)
	current.Learners = []view.Member{member(4), member(5)}
	knowledge := knowledgeOf(oneOf(1, 2, 4, 5), 1, 2, 3, 4, 5)
	knowledge.Down = oneOf(3)
	planned, _ := view.Plan(&current, knowledge, oneOf(1, 2, 5))
	require.Equal(t, []view.ID{1, 2, 5}, ids(planned.Voters))
}

func TestLearnersAreAddedAsVotersInPairs(t *testing.T) {
	current := newView(7, []view.ID{1, 2, 3, 4, 5}, 1, 2, 3)
	current.Learners = []view.Member{member(4), member(5)}
	planned, _ := view.Plan(&current, knowledgeOf(always, 1, 2, 3, 4, 5), oneOf(1, 2, 3, 4))
	require.Equal(t, []view.ID{1, 2, 3}, ids(planned.Voters), "5 is not complete")
	planned, _ = view.Plan(&current, knowledgeOf(always, 1, 2, 3, 4, 5), always)
	require.ElementsMatch(t, []view.ID{1, 2, 3, 4, 5}, ids(planned.Voters))
	require.Empty(t, planned.Learners)
}

func TestEvenNumberOfVotersGetsOneMore(t *testing.T) {
	current := newView(7, []view.ID{1, 2}, 1, 2)
	planned, _ := view.Plan(&current, knowledgeOf(always, 1, 2, 3), oneOf(1, 2))
	require.Equal(t, []view.ID{1, 2, 3}, ids(planned.Voters))
}

func TestLearnerReplacesLeavingVoter(t *testing.T) {
	current := newView(7, []view.ID{1, 2, 3, 4}, 1, 2, 3)
	current.Learners = []view.Member{member(4)}
	knowledge := knowledgeOf(always, 1, 2, 3, 4)
	knowledge.Leaving = oneOf(1)
	planned, _ := view.Plan(&current, knowledge, always)
	require.Equal(t, []view.ID{4, 2, 3}, ids(planned.Voters))
	require.Equal(t, []view.ID{2, 3, 4}, planned.Chain)

	alone := newView(7, []view.ID{1, 2, 3}, 1, 2, 3)
	planned, _ = view.Plan(&alone, knowledgeOf3(oneOf(1)), always)
	require.Equal(t, []view.ID{1, 2, 3}, ids(planned.Voters), "no learner can take the vote of 1")
	require.Equal(t, []view.ID{2, 3}, planned.Chain)
	planned, ok := view.Plan(&alone, knowledgeOf3(always), always)
	require.True(t, ok)
	require.Equal(t, []view.ID{1, 2, 3}, planned.Chain, "all members are leaving")
	planned, _ = view.Plan(&alone, knowledgeOf3(oneOf(1)), oneOf(1))
	require.Equal(t, []view.ID{1, 2, 3}[:1], planned.Chain[:1], "only the leaving member is complete")
}

func knowledgeOf3(leaving func(view.ID) bool) view.Knowledge {
	knowledge := knowledgeOf(always, 1, 2, 3)
	knowledge.Leaving = leaving
	return knowledge
}

func TestNewDiskReplacesVoterWithSameAddress(t *testing.T) {
	current := newView(7, []view.ID{1, 2, 3}, 1, 2, 3)
	knowledge := knowledgeOf(oneOf(2, 3, 9, 4), 2, 3, 4)
	knowledge.Known = append(knowledge.Known, view.Member{ID: 9, Address: member(1).Address})
	planned, _ := view.Plan(&current, knowledge, oneOf(2, 3))
	require.Equal(t, []view.ID{9, 2, 3}, ids(planned.Voters))
	require.Equal(t, []view.ID{4}, ids(planned.Learners))
}

func TestLearnersDoNotCountTowardsMajority(t *testing.T) {
	current := newView(7, []view.ID{1, 2, 3, 4}, 1, 2, 3)
	current.Learners = []view.Member{member(4)}
	ballot := view.Ballot{Number: 1, Proposer: 1}
	p := view.NewProposer(0, current, ballot, false)
	promise := func(id view.ID) {
		p.OnPromise(id, &view.Promise{Epoch: 7, Ballot: ballot, Granted: true, Complete: true})
	}
	promise(1)
	promise(4)
	require.False(t, p.Gathered(view.GatherTimeout, never))
	promise(2)
	require.True(t, p.Gathered(view.GatherTimeout, never))
	accept := p.Choose(func(complete func(view.ID) bool) (view.View, bool) {
		require.True(t, complete(4), "the learner has reported that it is complete")
		return current, true
	})
	accepted := &view.AcceptReply{Epoch: 7, Ballot: ballot, Granted: true}
	require.Nil(t, p.OnAcceptReply(1, accepted))
	require.Nil(t, p.OnAcceptReply(4, accepted))
	require.Equal(t, &accept.View, p.OnAcceptReply(2, accepted))
}
