package chain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/control/chain"
	"ravendale/control/view"
)

// rig drives members by hand: what they write is on disk at once, what they send is delivered by deliver.
type rig struct {
	t       *testing.T
	members map[view.ID]*chain.Chain
	applied map[view.ID][]string
	mail    []envelope
	drop    func(envelope) bool
	now     time.Duration
}

type envelope struct {
	from view.ID
	chain.Send
}

// applied is the machine of a member: its snapshot is the number of commands.
type applied struct {
	rig *rig
	id  view.ID
}

func (a applied) Snapshot() []byte { return fmt.Append(nil, len(a.rig.applied[a.id])) }

func newRig(t *testing.T) *rig {
	return &rig{
		t: t, members: make(map[view.ID]*chain.Chain), applied: make(map[view.ID][]string),
		drop: func(envelope) bool { return false },
	}
}

func (r *rig) join(id view.ID, state chain.State) {
	r.members[id] = chain.New(id, state, applied{r, id})
}

func (r *rig) adopt(v *view.View, ids ...view.ID) {
	for _, id := range ids {
		r.members[id].Adopt(r.now, v, true, false)
		r.perform(id)
	}
	r.deliver()
}

// perform carries out a member's actions.
func (r *rig) perform(id view.ID) {
	member := r.members[id]
	for {
		actions := member.Take()
		if actions.Install == nil && len(actions.Writes)+len(actions.Commits)+len(actions.Sends) == 0 {
			if !member.HasUnapplied() {
				return
			}
			member.Apply()
			continue
		}
		if actions.Install != nil {
			r.applied[id] = nil
		}
		for _, entry := range actions.Commits {
			if entry.Origin != 0 {
				r.applied[id] = append(r.applied[id], string(entry.Command))
			}
		}
		for _, send := range actions.Sends {
			r.mail = append(r.mail, envelope{id, send})
		}
		if actions.Install != nil || len(actions.Writes) > 0 {
			member.OnSynced(r.now, member.LogOffset())
		}
	}
}

func (r *rig) deliver() {
	for len(r.mail) > 0 {
		l := r.mail[0]
		r.mail = r.mail[1:]
		if r.drop(l) {
			continue
		}
		to := r.members[l.To]
		switch m := l.Message.(type) {
		case *chain.Attach:
			to.OnAttach(r.now, l.from, m)
		case *chain.Fill:
			to.OnFill(r.now, l.from, m)
		case *chain.Append:
			to.OnAppend(r.now, l.from, m)
		case *chain.Ack:
			to.OnAck(m)
		case *chain.Gap:
			to.OnGap(r.now, l.from, m)
		}
		r.perform(l.To)
	}
}

func (r *rig) propose(head view.ID, number uint64, command string) bool {
	ordered := r.members[head].Propose(r.now, 7, number, 0, []byte(command))
	r.perform(head)
	r.deliver()
	return ordered
}

func three(epoch uint64, complete int, chain ...view.ID) *view.View {
	return &view.View{Epoch: epoch, Chain: chain, Complete: complete}
}

func TestCommandsAreAppliedByAllInOrder(t *testing.T) {
	r := newRig(t)
	for id := view.ID(1); id <= 3; id++ {
		r.join(id, chain.State{})
	}
	r.adopt(three(1, 3, 1, 2, 3), 3, 1, 2)
	require.True(t, r.propose(1, 1, "a"))
	require.True(t, r.propose(1, 2, "b"))
	require.True(t, r.propose(1, 1, "a"), "a repeat is ordered already")
	require.False(t, r.propose(2, 3, "c"), "not the head")
	for id := view.ID(1); id <= 3; id++ {
		require.Equal(t, []string{"a", "b"}, r.applied[id])
	}
}

func TestNothingIsCommittedBeforeTheTailHasIt(t *testing.T) {
	r := newRig(t)
	for id := view.ID(1); id <= 3; id++ {
		r.join(id, chain.State{})
	}
	r.adopt(three(1, 3, 1, 2, 3), 1, 2, 3)
	r.drop = func(l envelope) bool { _, ok := l.Message.(*chain.Append); return ok && l.To == 3 }
	r.propose(1, 1, "a")
	require.Empty(t, r.applied[1])
	require.Empty(t, r.applied[2])
	r.drop = func(envelope) bool { return false }
	r.propose(1, 2, "b") // shows the tail that something is missing
	require.Equal(t, []string{"a", "b"}, r.applied[1])
	require.Equal(t, []string{"a", "b"}, r.applied[3])
}

func TestHeartbeatsRepairLossesOfMessages(t *testing.T) {
	r := newRig(t)
	for id := view.ID(1); id <= 2; id++ {
		r.join(id, chain.State{})
	}
	r.adopt(three(1, 2, 1, 2), 1, 2)
	r.drop = func(envelope) bool { return true }
	r.propose(1, 1, "a")
	r.drop = func(envelope) bool { return false }
	heartbeat := func(from, to view.ID) {
		m := r.members[from]
		r.members[to].OnHeartbeat(r.now, from, chain.Heartbeat{Epoch: 1, Attached: m.Attached(), Synced: m.Synced(), Committed: m.Committed()})
		r.perform(to)
		r.deliver()
	}
	heartbeat(2, 1)
	r.now += chain.AppendRetryInterval
	heartbeat(2, 1)
	require.Equal(t, []string{"a"}, r.applied[1])
	require.Equal(t, []string{"a"}, r.applied[2])
}

func TestADeposedMembersExtraEntriesAreThrownAway(t *testing.T) {
	r := newRig(t)
	for id := view.ID(1); id <= 3; id++ {
		r.join(id, chain.State{})
	}
	r.adopt(three(1, 3, 1, 2, 3), 1, 2, 3)
	r.propose(1, 1, "a")
	r.drop = func(l envelope) bool { return l.from == 1 }
	r.propose(1, 2, "lost")
	r.drop = func(envelope) bool { return false }
	r.adopt(three(2, 2, 2, 3), 2, 3)
	r.propose(2, 1, "b")
	r.adopt(three(3, 2, 2, 3, 1), 2, 3, 1)
	r.propose(2, 1, "c")
	for id := view.ID(1); id <= 3; id++ {
		require.Equal(t, []string{"a", "b", "c"}, r.applied[id], "%d", id)
	}
	require.True(t, r.members[1].Complete())
}

func TestAJoinerGetsASnapshotWhenTheLogIsCompacted(t *testing.T) {
	r := newRig(t)
	r.join(1, chain.State{})
	r.adopt(three(1, 1, 1), 1)
	r.propose(1, 1, "a")
	r.propose(1, 2, "b")
	require.Empty(t, r.members[1].State().Entries, "covered by the snapshot")
	r.join(2, chain.State{})
	v := three(2, 1, 1, 2)
	r.members[2].Adopt(r.now, v, true, false)
	require.False(t, r.members[2].Complete())
	r.perform(2)
	r.adopt(v, 1)
	require.True(t, r.members[2].Complete())
	require.True(t, r.members[2].Attached())
	r.propose(1, 3, "c")
	require.Equal(t, []string{"c"}, r.applied[2], "the rest came with the snapshot")
}

func TestASealedMemberTakesNothing(t *testing.T) {
	r := newRig(t)
	for id := view.ID(1); id <= 2; id++ {
		r.join(id, chain.State{})
	}
	r.adopt(three(1, 2, 1, 2), 1, 2)
	last := r.members[2].Last()
	r.members[2].Seal()
	r.propose(1, 1, "a")
	require.Equal(t, last, r.members[2].Last())
	require.Empty(t, r.applied[1])
	r.members[1].Seal()
	require.False(t, r.propose(1, 2, "b"))
}

func TestAHeadThatStartedInItsEpochStaysIdle(t *testing.T) {
	r := newRig(t)
	r.join(1, chain.State{CompleteEpoch: 1})
	r.members[1].Adopt(0, three(1, 1, 1), true, true)
	r.perform(1)
	require.False(t, r.propose(1, 1, "a"))
	require.True(t, r.members[1].Complete())
}

func TestAChainOfTooFewDisksCommitsNothing(t *testing.T) {
	r := newRig(t)
	r.join(1, chain.State{})
	r.members[1].Adopt(0, three(1, 1, 1), false, false)
	r.perform(1)
	require.True(t, r.members[1].Attached())
	require.False(t, r.propose(1, 1, "a"))
	require.Zero(t, r.members[1].Committed())
}

func TestALateDuplicateIsNotOrderedAgain(t *testing.T) {
	r := newRig(t)
	r.join(1, chain.State{})
	r.adopt(three(1, 1, 1), 1)
	r.members[1].Propose(0, 7, 1, 1, []byte("a"))
	r.members[1].Propose(0, 7, 2, 2, []byte("b"))
	r.members[1].Propose(0, 7, 1, 1, []byte("a"))
	r.perform(1)
	require.Equal(t, []string{"a", "b"}, r.applied[1])
}

func TestWritesReplayToTheSameState(t *testing.T) {
	var state chain.State
	state.Replay(&chain.Write{Entries: []chain.Entry{{Sequence: 1, Epoch: 1}, {Sequence: 2, Epoch: 1}, {Sequence: 3, Epoch: 1}}})
	state.Replay(&chain.Write{Truncate: true, TruncateAfter: 1, Entries: []chain.Entry{{Sequence: 2, Epoch: 2}}, CompleteEpoch: 2})
	require.Equal(t, chain.State{Entries: []chain.Entry{{Sequence: 1, Epoch: 1}, {Sequence: 2, Epoch: 2}}, CompleteEpoch: 2}, state)
}
