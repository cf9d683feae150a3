package queueclient

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// lookupTimeout is how long clients wait for a lookup. Find may take three quarters of it; the rest is for the network
// and for a busy machine.
const lookupTimeout = 2 * time.Second

func TestFind(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two, three := newFakeStore(t), newFakeStore(t), newFakeStore(t)
		c, _ := newClient(t)
		_, err := c.Find("0.x", false)
		assert.ErrorIs(t, err, ErrNoAnswer)
		c.SetView(placement(1, []*fakeStore{one, two, three}, []uint16{0, 1}))
		awaitConnected(t, c)

		for _, id := range []string{"x", "", "0.", "zzzz.x", "7.x"} {
			_, err = c.Find(id, false)
			assert.ErrorIs(t, err, ErrNotFound, id)
		}
		_, err = c.Find("0.x", false)
		assert.ErrorIs(t, err, ErrNotFound, "all stores answered that they do not have it")

		found := &wire.FindReply{Found: true, State: wire.StateDone, Signature: "s"}
		three.withLock(func() { three.find = func(*wire.Find) *wire.FindReply { return found } })
		reply, err := c.Find("0.x", false)
		require.NoError(t, err)
		assert.Equal(t, found, reply)

		one.withLock(func() { one.find = func(*wire.Find) *wire.FindReply { return nil } }) // unresponsive
		two.withLock(func() {
			two.find = func(f *wire.Find) *wire.FindReply {
				return &wire.FindReply{Found: true, Body: []byte("b"), State: wire.StatePending}
			}
		})
		began := time.Now()
		reply, err = c.Find("0.x", true)
		require.NoError(t, err)
		assert.Equal(t, []byte("b"), reply.Body)
		assert.Less(t, time.Since(began), 2*findStageTimeout)
	})
}

// A state that is not known is no answer to the lookup.
func TestFindWithUnknownState(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one := newFakeStore(t)
		one.find = func(*wire.Find) *wire.FindReply { return &wire.FindReply{Found: true, State: wire.StateDropped + 1} }
		c, _ := newClient(t)
		c.SetView(placement(1, []*fakeStore{one}, []uint16{0}))
		awaitConnected(t, c)
		_, err := c.Find("0.x", false)
		assert.ErrorIs(t, err, ErrNoAnswer)
	})
}

func TestFindWithUnresponsiveStore(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		one.find = func(*wire.Find) *wire.FindReply { return nil }
		c, _ := newClient(t)
		c.SetView(placement(1, []*fakeStore{one, two}, []uint16{0, 1}))
		awaitConnected(t, c)
		began := time.Now()
		_, err := c.Find("0.x", false)
		assert.ErrorIs(t, err, ErrNoAnswer)
		assert.LessOrEqual(t, time.Since(began), lookupTimeout*3/4)
	})
}

// Rule LOST (test/standin/check): a message is not found only if all stores answer so, under the placement of the lookup.
func TestFindWithUncertainStore(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		two.unsure = true
		c, _ := newClient(t)
		c.SetView(&wire.StoreView{Epoch: 6})
		_, err := c.Find("0.x", false)
		require.ErrorIs(t, err, ErrNoAnswer, "the placement has no partitions yet")
		c.SetView(placement(7, []*fakeStore{one, two}, []uint16{0}))
		awaitConnected(t, c)
		one.withLock(func() {
			one.find = func(f *wire.Find) *wire.FindReply {
				assert.EqualValues(t, 7, f.Epoch)
				return &wire.FindReply{}
			}
		})
		began := time.Now()
		_, err = c.Find("0.x", false)
		require.ErrorIs(t, err, ErrNoAnswer)
		assert.LessOrEqual(t, time.Since(began), lookupTimeout*3/4)

		one.withLock(func() {
			one.find = func(*wire.Find) *wire.FindReply {
				two.withLock(func() { two.unsure = false }) // it receives the placement meanwhile
				return &wire.FindReply{}
			}
		})
		_, err = c.Find("0.x", false)
		assert.ErrorIs(t, err, ErrNotFound, "the lookup is repeated")
	})
}
