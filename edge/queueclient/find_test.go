package queueclient

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// askersPatience is how long those who ask for a state wait. A quarter of that is for the way, and for a machine that is busy.
const askersPatience = 2 * time.Second

func TestFind(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two, three := newFakeStore(t), newFakeStore(t), newFakeStore(t)
		c, _ := newClient(t)
		_, err := c.Find("0.x", false)
		assert.ErrorIs(t, err, ErrNoAnswer)
		c.SetView(placement(1, []*fakeStore{one, two, three}, []uint16{0, 1}))
		connected(t, c)

		for _, id := range []string{"x", "", "0.", "zzzz.x", "7.x"} {
			_, err = c.Find(id, false)
			assert.ErrorIs(t, err, ErrNotFound, id)
		}
		_, err = c.Find("0.x", false)
		assert.ErrorIs(t, err, ErrNotFound, "all said so")

		found := &wire.FindReply{Found: true, State: wire.StateDone, Signature: "s"}
		three.with(func() { three.find = func(*wire.Find) *wire.FindReply { return found } })
		reply, err := c.Find("0.x", false)
		require.NoError(t, err)
		assert.Equal(t, found, reply)

		one.with(func() { one.find = func(*wire.Find) *wire.FindReply { return nil } }) // unresponsive
		two.with(func() {
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

func TestFindWithoutAnswersOfAllStoresIsNoAnswer(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		one.find = func(*wire.Find) *wire.FindReply { return nil }
		c, _ := newClient(t)
		c.SetView(placement(1, []*fakeStore{one, two}, []uint16{0, 1}))
		connected(t, c)
		began := time.Now()
		_, err := c.Find("0.x", false)
		assert.ErrorIs(t, err, ErrNoAnswer)
		assert.LessOrEqual(t, time.Since(began), askersPatience*3/4)
	})
}

// LOST: only the word of all stores, under the placement by which they are asked, is that there is no such message.
func TestFindOfWhatAStoreIsNotSureOfIsNoAnswer(t *testing.T) {
	onFakeTime(t, func(t *testing.T) {
		one, two := newFakeStore(t), newFakeStore(t)
		two.unsure = true
		c, _ := newClient(t)
		c.SetView(&wire.StoreView{Epoch: 6})
		_, err := c.Find("0.x", false)
		require.ErrorIs(t, err, ErrNoAnswer, "nothing is placed yet")
		c.SetView(placement(7, []*fakeStore{one, two}, []uint16{0}))
		connected(t, c)
		one.with(func() {
			one.find = func(f *wire.Find) *wire.FindReply {
				assert.EqualValues(t, 7, f.Epoch)
				return &wire.FindReply{}
			}
		})
		began := time.Now()
		_, err = c.Find("0.x", false)
		require.ErrorIs(t, err, ErrNoAnswer)
		assert.LessOrEqual(t, time.Since(began), askersPatience*3/4)

		one.with(func() {
			one.find = func(*wire.Find) *wire.FindReply {
				two.with(func() { two.unsure = false }) // it hears of the placement meanwhile
				return &wire.FindReply{}
			}
		})
		_, err = c.Find("0.x", false)
		assert.ErrorIs(t, err, ErrNotFound, "it is asked again")
	})
}
