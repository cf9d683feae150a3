package relay

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravendale/cluster/wire"
)

const ms = time.Millisecond

func version(sequence uint64) wire.Version { return wire.Version{Term: 1, Sequence: sequence} }

func payload(sequence uint64) []byte {
	return append(bytes.Repeat([]byte("what stays alike. "), 40), byte(sequence))
}

func allowAll(int) bool { return true }

func publish(topics *Topics, sequences ...uint64) {
	for _, sequence := range sequences {
		topics.Publish(wire.TopicWorkers, version(sequence), payload(sequence))
	}
}

func TestOlderVersionsAreIgnored(t *testing.T) {
	var topics Topics
	require.True(t, topics.Publish(wire.TopicConfig, version(2), payload(2)))
	require.False(t, topics.Publish(wire.TopicConfig, version(2), payload(9)))
	require.False(t, topics.Publish(wire.TopicConfig, version(1), payload(1)))
	newer, err := topics.Apply(&wire.Update{Topic: wire.TopicConfig, To: version(1), Payload: payload(1)})
	require.NoError(t, err)
	require.False(t, newer)
	require.Equal(t, payload(2), topics.Payload(wire.TopicConfig))
}

func TestUpdatesForReturnsDeltas(t *testing.T) {
	var parent Topics
	publish(&parent, 1, 2, 3)
	updates := parent.UpdatesFor(wire.TopicWorkers, version(1))
	require.Len(t, updates, 2)
	require.True(t, updates[0].Delta)
	var child Topics
	publish(&child, 1)
	for i := range updates {
		newer, err := child.Apply(&updates[i])
		require.NoError(t, err)
		require.True(t, newer)
	}
	require.Equal(t, payload(3), child.Payload(wire.TopicWorkers))
	full := parent.UpdatesFor(wire.TopicWorkers, wire.Version{})
	require.Len(t, full, 1)
	require.False(t, full[0].Delta)
	require.Empty(t, parent.UpdatesFor(wire.TopicWorkers, version(3)))
}

func TestApplyDeltaOfOtherVersion(t *testing.T) {
	var parent, child Topics
	publish(&parent, 1, 2, 3)
	publish(&child, 1)
	_, err := child.Apply(&parent.UpdatesFor(wire.TopicWorkers, version(2))[0])
	require.ErrorIs(t, err, ErrGap)
	require.Equal(t, version(1), child.Versions()[wire.TopicWorkers])
}

func TestCorruptDeltaFetchesFullTopic(t *testing.T) {
	var parent, child Topics
	publish(&parent, 1, 2)
	child.Publish(wire.TopicWorkers, version(1), []byte("something else altogether"))
	update := parent.UpdatesFor(wire.TopicWorkers, version(1))[0]
	_, err := child.Apply(&update)
	require.Error(t, err)
	child.RecordHeads(0, headOf(&update))
	repairs := child.Repairs(repairDelay)
	require.Equal(t, []Repair{{Topic: wire.TopicWorkers, Head: version(2)}}, repairs, "the full topic is fetched")
	answer := parent.Answer(&wire.Fetch{Topic: wire.TopicWorkers, Have: repairs[0].Have})
	newer, err := child.Apply(&answer)
	require.NoError(t, err)
	require.True(t, newer)
	require.Equal(t, payload(2), child.Payload(wire.TopicWorkers))
}

func TestRepairsAfterDelay(t *testing.T) {
	var topics Topics
	publish(&topics, 1)
	_, due := topics.Next()
	require.False(t, due)
	heads := Versions{wire.TopicWorkers: version(2)}
	topics.RecordHeads(100*ms, heads.List())
	topics.RecordHeads(200*ms, heads.List())
	at, due := topics.Next()
	require.True(t, due)
	require.Equal(t, 100*ms+repairDelay, at)
	require.Empty(t, topics.Repairs(at-1))
	require.Equal(t, []Repair{{Topic: wire.TopicWorkers, Have: version(1), Head: version(2)}}, topics.Repairs(at))
	require.Empty(t, topics.Repairs(at+1))
	require.Equal(t, 1, topics.Repairs(at + repairInterval)[0].Attempts)
	publish(&topics, 2)
	require.Empty(t, topics.Repairs(at+10*repairInterval))
	_, due = topics.Next()
	require.False(t, due)
}

func TestNoRepairAfterUpdateArrives(t *testing.T) {
	var topics Topics
	topics.RecordHeads(0, Versions{wire.TopicWorkers: version(2)}.List())
	publish(&topics, 2)
	require.Empty(t, topics.Repairs(time.Hour))
}

func TestAnswerIsOneUpdate(t *testing.T) {
	var topics Topics
	publish(&topics, 1, 2, 3)
	answer := topics.Answer(&wire.Fetch{Topic: wire.TopicWorkers, Have: version(3)})
	require.Empty(t, answer.Payload)
	answer = topics.Answer(&wire.Fetch{Topic: wire.TopicWorkers, Have: version(2)})
	require.True(t, answer.Delta)
	answer = topics.Answer(&wire.Fetch{Topic: wire.TopicWorkers, Have: version(1)})
	require.False(t, answer.Delta)
	require.Equal(t, payload(3), answer.Payload)
	require.Empty(t, topics.Answer(&wire.Fetch{Topic: 99}).Payload)
	newer, err := topics.Apply(&wire.Update{Topic: 99, To: version(9)})
	require.False(t, newer)
	require.NoError(t, err)
}

func TestDeltasAreBounded(t *testing.T) {
	var topics Topics
	for sequence := range uint64(100) {
		publish(&topics, sequence+1)
		require.LessOrEqual(t, len(topics.topics[wire.TopicWorkers].deltas), maxDeltas)
	}
	updates := topics.UpdatesFor(wire.TopicWorkers, version(100-maxDeltas))
	require.Len(t, updates, maxDeltas)
}

func TestPushSendsEachVersionOnce(t *testing.T) {
	var topics Topics
	children := NewChildren[string](2)
	require.True(t, children.Add("a", Versions{}))
	require.True(t, children.Add("b", Versions{wire.TopicWorkers: version(1)}))
	require.False(t, children.Add("c", Versions{}), "the set is full")
	require.True(t, children.Add("b", Versions{wire.TopicWorkers: version(1)}), "a child may subscribe again")
	publish(&topics, 1)
	sends, deferred := children.Push(&topics, allowAll)
	require.False(t, deferred)
	require.Len(t, sends, 1)
	require.Equal(t, "a", sends[0].Child)
	again, _ := children.Push(&topics, allowAll)
	require.Empty(t, again)
	children.Remove("a")
	publish(&topics, 2)
	sends, _ = children.Push(&topics, allowAll)
	require.Len(t, sends, 1)
	require.Equal(t, "b", sends[0].Child)
	require.True(t, children.Add("c", Versions{}))
}

// TestChildConvergesDespiteLostUpdates drops random updates between a parent and a child, which then repairs them by
// heads and fetches.
func TestChildConvergesDespiteLostUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var parent, child Topics
		now, last := time.Duration(0), wire.Version{}
		children := NewChildren[string](0)
		children.Add("child", Versions{})
		for sequence := range rapid.Uint64Range(1, 20).Draw(t, "versions") {
			publish(&parent, sequence+1)
			sends, _ := children.Push(&parent, allowAll)
			for _, send := range sends {
				if rapid.Bool().Draw(t, "arrives") {
					_, _ = child.Apply(send.Update)
				}
			}
			got := child.Versions()[wire.TopicWorkers]
			require.False(t, got.Less(last), "the version decreased")
			last = got
		}
		child.RecordHeads(now, parent.Versions().List())
		for _, repair := range child.Repairs(now + repairDelay) {
			answer := parent.Answer(&wire.Fetch{Topic: repair.Topic, Have: repair.Have})
			_, err := child.Apply(&answer)
			require.NoError(t, err)
		}
		require.Equal(t, parent.Versions(), child.Versions())
		require.Equal(t, parent.Payload(wire.TopicWorkers), child.Payload(wire.TopicWorkers))
	})
}
