package relay

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// document returns the configuration of a large deployment: many entries that differ only in name and prefix.
func document(entries int) []byte {
	var text bytes.Buffer
	for i := range entries {
		fmt.Fprintf(&text, `{"name":"r-%07x","host":"lode17.example","pathPrefix":"/vobo%d/","type":"deferred","timeoutMs":1200},`, i*7919, i)
	}
	return text.Bytes()
}

func TestLongTopicsAreCompressed(t *testing.T) {
	var parent, child Topics
	full := document(1000)
	parent.Publish(wire.TopicConfig, version(1), full)
	updates := parent.UpdatesFor(wire.TopicConfig, wire.Version{})
	require.Len(t, updates, 1)
	require.True(t, updates[0].Compressed)
	require.Less(t, len(updates[0].Payload), len(full)/4)
	newer, err := child.Apply(&updates[0])
	require.NoError(t, err)
	require.True(t, newer)
	require.Equal(t, full, child.Payload(wire.TopicConfig))

	changed := append(bytes.Clone(full), '1')
	parent.Publish(wire.TopicConfig, version(2), changed)
	payload, err := Payload(&parent.UpdatesFor(wire.TopicConfig, wire.Version{})[0])
	require.NoError(t, err)
	require.Equal(t, changed, payload, "the cached compressed payload must be discarded")
}

func TestCorruptCompressedPayloadIsRejected(t *testing.T) {
	var parent, child Topics
	parent.Publish(wire.TopicConfig, version(1), document(1000))
	update := parent.UpdatesFor(wire.TopicConfig, wire.Version{})[0]
	full := update.Payload
	for _, cut := range []int{0, 1, len(full) / 2, len(full) - 1} {
		update.Payload = full[:cut]
		newer, err := child.Apply(&update)
		require.Error(t, err, "%d bytes", cut)
		require.False(t, newer)
		require.Equal(t, Versions{}, child.Versions())
	}
	update.Payload = compress(make([]byte, maxPayload+1))
	_, err := child.Apply(&update)
	require.ErrorIs(t, err, ErrPayloadTooLong)
}

// A leader whose many members start at once must not saturate its link with full topics, since lease renewals use the
// same link.
func TestPacerLimitsBandwidth(t *testing.T) {
	const link = 1e6 // bytes a second
	var topics Topics
	topics.Publish(wire.TopicConfig, version(1), document(3000))
	topics.Publish(wire.TopicMembers, version(1), payload(1))
	size := len(topics.UpdatesFor(wire.TopicConfig, wire.Version{})[0].Payload)
	children := NewChildren[int](0)
	const count = 50
	for child := range count {
		children.Add(child, Versions{})
	}
	paced := newPacer(link)
	got, sent, now := make(map[int]bool), 0, time.Duration(0)
	for deferred := true; deferred; now = max(now, paced.next()) {
		var sends []Send[int]
		sends, deferred = children.Push(&topics, func(size int) bool { return paced.allow(now, size) })
		for _, send := range sends {
			if send.Update.Topic == wire.TopicConfig {
				require.False(t, got[send.Child])
				got[send.Child] = true
				sent += len(send.Update.Payload)
			} else {
				require.Zero(t, now, "short updates are not paced")
			}
		}
		require.LessOrEqual(t, float64(sent), linkFraction*link*(now+maxLag).Seconds()+float64(size)+1)
	}
	require.Len(t, got, count, "every child gets the topic")
	require.Greater(t, now, time.Duration(float64((count-2)*size)/link*float64(time.Second)))
}

func TestPacerWithUnknownBandwidth(t *testing.T) {
	var p pacer
	for range 100 {
		require.True(t, p.allow(0, 1<<20))
	}
}

// Repeated requests must not further delay an answer that is slow because a link is saturated.
func TestRepairBackoff(t *testing.T) {
	var topics Topics
	topics.RecordHeads(0, []wire.Version{version(1)})
	fetches := 0
	for now := time.Duration(0); now < 10*time.Second; now += 50 * ms {
		fetches += len(topics.Repairs(now))
	}
	require.LessOrEqual(t, fetches, 6)
	require.GreaterOrEqual(t, fetches, 5)
}
