package queueclient

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// No store responds any more. Once that is known a put is not left without an answer, but rejected: its client may try again.
func TestPutsToUnresponsiveStoresAreRejectedInTime(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		one.put = func(*wire.Put, int) *wire.PutReply { return nil }
		c, _ := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}, []uint16{0}))
		connected(t, c)
		limits := Limits{Attempt: 2 * minAttemptTimeout, Answer: 20 * time.Millisecond, LateAnswer: soon}
		began := time.Now()
		require.Equal(t, Unknown, c.Put(plain(), true, limits))
		assert.Less(t, time.Since(began), soon/2, "nothing hints that an answer comes")
		for _, m := range []*wire.Message{plain(), ordered()} {
			assert.Equal(t, Rejected, c.Put(m, true, limits))
		}
		assert.LessOrEqual(t, one.countPuts(), 2)
	})
}

// The first answer ends the suspicion, and what waited goes on, sooner than the suspicion would have passed by itself.
func TestPutsGoOnWhenAStoreAnswersAgain(t *testing.T) {
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
		connected(t, c)
		go c.putFor(plain(), true, soon)
		<-arrived
		primary := c.view.Load().primary(0)
		require.Eventually(t, func() bool { return primary.isSuspect(c.now()) }, soon, time.Millisecond)
		suspected := time.Now()
		second := make(chan Result, 1)
		go func() { second <- c.Put(plain(), true, Limits{Attempt: soon}) }()
		close(release)
		require.Equal(t, Accepted, <-second)
		assert.Less(t, time.Since(suspected), suspectTimeout)
		assert.False(t, primary.isSuspect(c.now()))
	})
}

// A store that accepts other messages is slow, not down: its answer is waited for.
func TestAnswersOfASlowStoreAreHopedFor(t *testing.T) {
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
		connected(t, c)
		require.Equal(t, Accepted, c.putFor(plain(), true, soon))
		assert.Equal(t, Accepted, c.Put(plain(), true, Limits{Attempt: 20 * time.Millisecond, Answer: 20 * time.Millisecond, LateAnswer: soon}))
	})
}
