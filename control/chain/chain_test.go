package chain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/control/chain"
	"ravendale/control/view"
)

// testChain connects members directly: what they write counts as synced at once, and deliver delivers what they send.
type testChain struct {
	t        *testing.T
	members  map[view.ID]*chain.Chain
	applied  map[view.ID][]string
	inFlight []sentMessage
	drop     func(sentMessage) bool
	now      time.Duration
}

type sentMessage struct {
	from view.ID
	chain.Send
}

// recordingMachine is the state machine of a member. Its snapshot is the number of applied commands.
type recordingMachine struct {
	chain *testChain
	id    view.ID
}

func (m recordingMachine) Snapshot() []byte { return fmt.Append(nil, len(m.chain.applied[m.id])) }

func newTestChain(t *testing.T) *testChain {
	return &testChain{
		t: t, members: make(map[view.ID]*chain.Chain), applied: make(map[view.ID][]string),
		drop: func(sentMessage) bool { return false },
	}
}

func (c *testChain) join(id view.ID, state chain.State) {
	c.members[id] = chain.New(id, state, recordingMachine{c, id})
}

func (c *testChain) adopt(v *view.View, ids ...view.ID) {
	for _, id := range ids {
		c.members[id].Adopt(c.now, v, true, false)
		c.perform(id)
	}
	c.deliver()
}

// perform carries out a member's actions until there are none left.
func (c *testChain) perform(id view.ID) {
	member := c.members[id]
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
			c.applied[id] = nil
		}
		for _, entry := range actions.Commits {
			if entry.Origin != 0 {
				c.applied[id] = append(c.applied[id], string(entry.Command))
			}
		}
		for _, send := range actions.Sends {
			c.inFlight = append(c.inFlight, sentMessage{id, send})
		}
		if actions.Install != nil || len(actions.Writes) > 0 {
			member.OnSynced(c.now, member.LogOffset())
		}
	}
}

func (c *testChain) deliver() {
	for len(c.inFlight) > 0 {
		sent := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		if c.drop(sent) {
			continue
		}
		to := c.members[sent.To]
		switch m := sent.Message.(type) {
		case *chain.Attach:
			to.OnAttach(c.now, sent.from, m)
		case *chain.Fill:
			to.OnFill(c.now, sent.from, m)
		case *chain.Append:
			to.OnAppend(c.now, sent.from, m)
		case *chain.Ack:
			to.OnAck(m)
		case *chain.Gap:
			to.OnGap(c.now, sent.from, m)
		}
		c.perform(sent.To)
	}
}

func (c *testChain) propose(head view.ID, number uint64, command string) bool {
	ordered := c.members[head].Propose(c.now, 7, number, 0, []byte(command))
	c.perform(head)
	c.deliver()
	return ordered
}

func newView(epoch uint64, complete int, chain ...view.ID) *view.View {
	return &view.View{Epoch: epoch, Chain: chain, Complete: complete}
}

func TestAllMembersApplyCommandsInOrder(t *testing.T) {
	c := newTestChain(t)
	for id := view.ID(1); id <= 3; id++ {
		c.join(id, chain.State{})
	}
	c.adopt(newView(1, 3, 1, 2, 3), 3, 1, 2)
	require.True(t, c.propose(1, 1, "a"))
	require.True(t, c.propose(1, 2, "b"))
	require.True(t, c.propose(1, 1, "a"), "a duplicate was ordered already")
	require.False(t, c.propose(2, 3, "c"), "not the head")
	for id := view.ID(1); id <= 3; id++ {
		require.Equal(t, []string{"a", "b"}, c.applied[id])
	}
}

func TestNoCommitBeforeTailHasEntry(t *testing.T) {
	c := newTestChain(t)
	for id := view.ID(1); id <= 3; id++ {
		c.join(id, chain.State{})
	}
	c.adopt(newView(1, 3, 1, 2, 3), 1, 2, 3)
	c.drop = func(sent sentMessage) bool { _, ok := sent.Message.(*chain.Append); return ok && sent.To == 3 }
	c.propose(1, 1, "a")
	require.Empty(t, c.applied[1])
	require.Empty(t, c.applied[2])
	c.drop = func(sentMessage) bool { return false }
	c.propose(1, 2, "b") // the tail detects that the previous entry is missing
	require.Equal(t, []string{"a", "b"}, c.applied[1])
	require.Equal(t, []string{"a", "b"}, c.applied[3])
}

func TestHeartbeatResendsLostMessages(t *testing.T) {
	c := newTestChain(t)
	for id := view.ID(1); id <= 2; id++ {
		c.join(id, chain.State{})
	}
	c.adopt(newView(1, 2, 1, 2), 1, 2)
	c.drop = func(sentMessage) bool { return true }
	c.propose(1, 1, "a")
	c.drop = func(sentMessage) bool { return false }
	heartbeat := func(from, to view.ID) {
		m := c.members[from]
		c.members[to].OnHeartbeat(c.now, from, chain.Heartbeat{Epoch: 1, Attached: m.Attached(), Synced: m.Synced(), Committed: m.Committed()})
		c.perform(to)
		c.deliver()
	}
	heartbeat(2, 1)
	c.now += chain.AppendRetryInterval
	heartbeat(2, 1)
	require.Equal(t, []string{"a"}, c.applied[1])
	require.Equal(t, []string{"a"}, c.applied[2])
}

func TestUncommittedEntriesOfFormerHeadAreTruncated(t *testing.T) {
	c := newTestChain(t)
	for id := view.ID(1); id <= 3; id++ {
		c.join(id, chain.State{})
	}
	c.adopt(newView(1, 3, 1, 2, 3), 1, 2, 3)
	c.propose(1, 1, "a")
	c.drop = func(sent sentMessage) bool { return sent.from == 1 }
	c.propose(1, 2, "lost")
	c.drop = func(sentMessage) bool { return false }
	c.adopt(newView(2, 2, 2, 3), 2, 3)
	c.propose(2, 1, "b")
	c.adopt(newView(3, 2, 2, 3, 1), 2, 3, 1)
	c.propose(2, 1, "c")
	for id := view.ID(1); id <= 3; id++ {
		require.Equal(t, []string{"a", "b", "c"}, c.applied[id], "%d", id)
	}
	require.True(t, c.members[1].Complete())
}

func TestNewMemberGetsSnapshotIfLogIsCompacted(t *testing.T) {
	c := newTestChain(t)
	c.join(1, chain.State{})
	c.adopt(newView(1, 1, 1), 1)
	c.propose(1, 1, "a")
	c.propose(1, 2, "b")
	require.Empty(t, c.members[1].State().Entries, "covered by the snapshot")
	c.join(2, chain.State{})
	v := newView(2, 1, 1, 2)
	c.members[2].Adopt(c.now, v, true, false)
	require.False(t, c.members[2].Complete())
	c.perform(2)
	c.adopt(v, 1)
	require.True(t, c.members[2].Complete())
	require.True(t, c.members[2].Attached())
	c.propose(1, 3, "c")
	require.Equal(t, []string{"c"}, c.applied[2], "the snapshot covers the earlier commands")
}

func TestSealedMemberAcceptsNoEntries(t *testing.T) {
	c := newTestChain(t)
	for id := view.ID(1); id <= 2; id++ {
		c.join(id, chain.State{})
	}
	c.adopt(newView(1, 2, 1, 2), 1, 2)
	last := c.members[2].Last()
	c.members[2].Seal()
	c.propose(1, 1, "a")
	require.Equal(t, last, c.members[2].Last())
	require.Empty(t, c.applied[1])
	c.members[1].Seal()
	require.False(t, c.propose(1, 2, "b"))
}

func TestHeadRestartedInItsEpochStaysIdle(t *testing.T) {
	c := newTestChain(t)
	c.join(1, chain.State{CompleteEpoch: 1})
	c.members[1].Adopt(0, newView(1, 1, 1), true, true)
	c.perform(1)
	require.False(t, c.propose(1, 1, "a"))
	require.True(t, c.members[1].Complete())
}

func TestChainWithTooFewDisksCommitsNothing(t *testing.T) {
	c := newTestChain(t)
	c.join(1, chain.State{})
	c.members[1].Adopt(0, newView(1, 1, 1), false, false)
	c.perform(1)
	require.True(t, c.members[1].Attached())
	require.False(t, c.propose(1, 1, "a"))
	require.Zero(t, c.members[1].Committed())
}

func TestLateDuplicateIsNotOrderedAgain(t *testing.T) {
	c := newTestChain(t)
	c.join(1, chain.State{})
	c.adopt(newView(1, 1, 1), 1)
	c.members[1].Propose(0, 7, 1, 1, []byte("a"))
	c.members[1].Propose(0, 7, 2, 2, []byte("b"))
	c.members[1].Propose(0, 7, 1, 1, []byte("a"))
	c.perform(1)
	require.Equal(t, []string{"a", "b"}, c.applied[1])
}

func TestReplayOfWritesRestoresState(t *testing.T) {
	var state chain.State
	state.Replay(&chain.Write{Entries: []chain.Entry{{Sequence: 1, Epoch: 1}, {Sequence: 2, Epoch: 1}, {Sequence: 3, Epoch: 1}}})
	state.Replay(&chain.Write{Truncate: true, TruncateAfter: 1, Entries: []chain.Entry{{Sequence: 2, Epoch: 2}}, CompleteEpoch: 2})
	require.Equal(t, chain.State{Entries: []chain.Entry{{Sequence: 1, Epoch: 1}, {Sequence: 2, Epoch: 2}}, CompleteEpoch: 2}, state)
}
