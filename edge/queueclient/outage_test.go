package queueclient

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// No store responds. The first put remains unknown; once the store is suspect, puts are rejected, so that their clients
// can retry.
func TestPutsToUnresponsiveStoresAreRejectedInTime(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		one.put = func(*wire.Put, int) *wire.PutReply { return nil }
		c, _ := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}, []uint16{0}))
		awaitConnected(t, c)
		limits := Limits{Attempt: 2 * minAttemptTimeout, Answer: 20 * time.Millisecond, LateAnswer: testTimeout}
		began := time.Now()
		require.Equal(t, Unknown, c.Put(unordered(), testConfigVersion, true, limits))
		assert.Less(t, time.Since(began), testTimeout/2, "an answer is not likely, so LateAnswer is not waited for")
		for _, m := range []*wire.Message{unordered(), ordered()} {
			assert.Equal(t, Rejected, c.Put(m, testConfigVersion, true, limits))
		}
		assert.LessOrEqual(t, one.countPuts(), 2)
	})
}

// The first answer clears the suspicion: waiting puts continue before suspectTimeout has passed.
func TestPutResumesWhenStoreAnswersAgain(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		arrived, release := make(chan struct{}), make(chan struct{})
		one.put = func(_ *wire.Put, number int) *wire.PutReply {
			if number == 1 {
				close(arrived)
				<-release
			}
			return &wire.PutReply{Code: wire.PutAccepted}
		}
		c, _ := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		awaitConnected(t, c)
		go c.putFor(unordered(), true, testTimeout)
		<-arrived
		primary := c.view.Load().primary(0)
		require.Eventually(t, func() bool { return primary.isSuspect(c.now()) }, testTimeout, time.Millisecond)
		suspected := time.Now()
		second := make(chan Result, 1)
		go func() { second <- c.Put(unordered(), testConfigVersion, true, Limits{Attempt: testTimeout}) }()
		close(release)
		require.Equal(t, Accepted, <-second)
		assert.Less(t, time.Since(suspected), suspectTimeout)
		assert.False(t, primary.isSuspect(c.now()))
	})
}

// A store that accepts other messages is slow, not down: a put waits for its answer.
func TestLateAnswerOfSlowStoreIsAwaited(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		one.put = func(_ *wire.Put, number int) *wire.PutReply {
			if number > 1 {
				time.Sleep(minAttemptTimeout * 2 / 3)
			}
			return &wire.PutReply{Code: wire.PutAccepted}
		}
		c, _ := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		awaitConnected(t, c)
		require.Equal(t, Accepted, c.putFor(unordered(), true, testTimeout))
		assert.Equal(t, Accepted, c.Put(unordered(), testConfigVersion, true, Limits{Attempt: 20 * time.Millisecond, Answer: 20 * time.Millisecond, LateAnswer: testTimeout}))
	})
}
