package queueclient

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// deadlineLimits are the limits of a put whose client has a deadline of 800 ms: see edge/ingress.
var deadlineLimits = Limits{Attempt: 336 * time.Millisecond, Answer: 40 * time.Millisecond, LateAnswer: 384 * time.Millisecond}

// handoverTimes returns the times at which a partition gets its next primary: during the first attempts of a put and
// after them.
func handoverTimes() (at []time.Duration) {
	for step := 10 * time.Millisecond; step < 690*time.Millisecond; step += 20 * time.Millisecond {
		at = append(at, step)
	}
	return at
}

// A store that is stopped as planned aborts its requests in progress and answers that their result is unknown. All
// stores reject puts until the partition has its next primary. The put must still be accepted, whenever within the
// client's deadline the handover happens.
func TestPutDuringPlannedHandover(t *testing.T) {
	for _, handoverAt := range handoverTimes() {
		for _, message := range []*wire.Message{unordered(), ordered()} {
			t.Run(fmt.Sprintf("%v ordered %v", handoverAt, message.Ordered), func(t *testing.T) {
				onFakeTime(t, func(t *testing.T) { putDuringHandover(t, message, handoverAt) })
			})
		}
	}
}

func putDuringHandover(t *testing.T, message *wire.Message, handoverAt time.Duration) {
	one, two := newFakeStore(t), newFakeStore(t)
	began := time.Now()
	one.put = func(_ *wire.Put, number int) *wire.PutReply {
		if number == 1 {
			return &wire.PutReply{Code: wire.PutUnknown}
		}
		return &wire.PutReply{Code: wire.PutNotPrimary}
	}
	two.put = func(*wire.Put, int) *wire.PutReply {
		if time.Since(began) < handoverAt {
			return &wire.PutReply{Code: wire.PutRejected}
		}
		return &wire.PutReply{Code: wire.PutAccepted}
	}
	c, _ := newClient(t)
	c.SetView(placement(1, []*fakeStore{one, two}, []uint16{0, 1}))
	awaitConnected(t, c)
	began = time.Now()
	time.AfterFunc(handoverAt, func() { c.SetView(placement(2, []*fakeStore{one, two}, []uint16{1, 0})) })
	require.Equal(t, Accepted, c.Put(message, testConfigVersion, true, deadlineLimits))
	assert.Less(t, time.Since(began), 720*time.Millisecond)
}

// A put that no store can have accepted is rejected early enough for its client to try elsewhere.
func TestRejectedPutEndsAfterAttempts(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		one.put = func(*wire.Put, int) *wire.PutReply { return &wire.PutReply{Code: wire.PutRejected} }
		c, _ := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		awaitConnected(t, c)
		began := time.Now()
		require.Equal(t, Rejected, c.Put(unordered(), testConfigVersion, true, deadlineLimits))
		assert.Equal(t, deadlineLimits.Attempt, time.Since(began))
	})
}

// A put that stays undecided ends shortly before the client's deadline. Ending it earlier would fail puts during a
// planned stop; later, no answer could reach the client.
func TestUndecidedPutEndsAfterLateAnswerLimit(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		one.put = func(_ *wire.Put, number int) *wire.PutReply {
			if number == 1 {
				return &wire.PutReply{Code: wire.PutUnknown}
			}
			return &wire.PutReply{Code: wire.PutRejected}
		}
		c, _ := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		awaitConnected(t, c)
		began := time.Now()
		require.Equal(t, Unknown, c.Put(unordered(), testConfigVersion, true, deadlineLimits))
		assert.Equal(t, deadlineLimits.Attempt+deadlineLimits.LateAnswer, time.Since(began))
	})
}
