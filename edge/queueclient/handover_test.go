package queueclient

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// deadlineLimits are the limits of a put whose client waits for 800 ms: see edge/ingress.
var deadlineLimits = Limits{Attempt: 336 * time.Millisecond, Answer: 40 * time.Millisecond, LateAnswer: 384 * time.Millisecond}

// handoverSteps are when a partition has its next primary, swept over the time of a put and beyond the time for its first attempts.
func handoverSteps() (at []time.Duration) {
	for step := 10 * time.Millisecond; step < 690*time.Millisecond; step += 20 * time.Millisecond {
		at = append(at, step)
	}
	return at
}

// A store that is stopped by plan gives up what it has under way: it can't say what became of it. Until the next primary is there all stores
// reject. The client keeps its connection, and gets its answer, whenever in its time that is.
func TestAPutOutlivesAPlannedHandover(t *testing.T) {
	for _, moment := range handoverSteps() {
		for _, message := range []*wire.Message{plain(), ordered()} {
			t.Run(fmt.Sprintf("%v ordered %v", moment, message.Ordered), func(t *testing.T) {
				onFakeTime(t, func(t *testing.T) { playHandover(t, message, moment) })
			})
		}
	}
}

func playHandover(t *testing.T, message *wire.Message, moment time.Duration) {
	one, two := newFakeStore(t), newFakeStore(t)
	began := time.Now()
	one.put = func(_ *wire.Put, number int) *wire.PutReply {
		if number == 1 {
			return &wire.PutReply{Code: wire.PutUnknown}
		}
		return &wire.PutReply{Code: wire.PutNotPrimary}
	}
	two.put = func(*wire.Put, int) *wire.PutReply {
		if time.Since(began) < moment {
			return &wire.PutReply{Code: wire.PutRejected}
		}
		return &wire.PutReply{Code: wire.PutAccepted}
	}
	c, _ := newClient(t)
	c.SetView(placement(1, []*fakeStore{one, two}, []uint16{0, 1}))
	connected(t, c)
	began = time.Now()
	time.AfterFunc(moment, func() { c.SetView(placement(2, []*fakeStore{one, two}, []uint16{1, 0})) })
	require.Equal(t, Accepted, c.Put(message, true, deadlineLimits))
	assert.Less(t, time.Since(began), 720*time.Millisecond)
}

// A put that no store may have taken is rejected in time for its client to go elsewhere.
func TestAPutThatIsOnlyRejectedEndsWithItsAttempts(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		one.put = func(*wire.Put, int) *wire.PutReply { return &wire.PutReply{Code: wire.PutRejected} }
		c, _ := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		connected(t, c)
		began := time.Now()
		require.Equal(t, Rejected, c.Put(plain(), true, deadlineLimits))
		assert.Equal(t, deadlineLimits.Attempt, time.Since(began))
	})
}

// What may have been accepted and never is decided holds its client until shortly before the client gives up: a connection that ends sooner
// would be lost to a planned stop, and later no answer could come.
func TestAPutThatStaysUndecidedEndsLate(t *testing.T) {
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
		connected(t, c)
		began := time.Now()
		require.Equal(t, Unknown, c.Put(plain(), true, deadlineLimits))
		assert.Equal(t, deadlineLimits.Attempt+deadlineLimits.LateAnswer, time.Since(began))
	})
}
