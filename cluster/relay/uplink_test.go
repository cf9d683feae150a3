package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newTestUplink() *Uplink { return NewUplink(rand.New(rand.NewPCG(1, 2))) }

func TestTheBestParentIsTriedFirstAndAncestorsNext(t *testing.T) {
	u := newTestUplink()
	require.Empty(t, u.Target())
	u.SetParents(0, []string{"a", "b", leader})
	require.Equal(t, "a", u.Target())
	u.Failed(10*ms, "a")
	require.Equal(t, "b", u.Target())
	u.Tick(10*ms + joinTimeout)
	require.Equal(t, leader, u.Target(), "b said nothing")
	u.Accepted(450*ms, leader)
	require.True(t, u.Joined())
	u.Failed(460*ms, "a")
	require.Equal(t, leader, u.Target(), "an old connection says nothing")
}

func TestAnUnresponsiveParentIsLeft(t *testing.T) {
	u := newTestUplink()
	u.SetParents(0, []string{"a", leader})
	u.Accepted(0, "a")
	u.Heard(500*ms, "a")
	at, _ := u.Next()
	require.Equal(t, 500*ms+failureTimeout, at)
	u.Tick(at - 1)
	require.Equal(t, "a", u.Target())
	u.Tick(at)
	require.Equal(t, leader, u.Target())
	require.False(t, u.Joined())
}

func TestAllParentsAreTriedAgainAfterAPause(t *testing.T) {
	u := newTestUplink()
	u.SetParents(0, []string{leader})
	u.Failed(0, leader)
	require.Empty(t, u.Target())
	at, due := u.Next()
	require.True(t, due)
	require.Positive(t, at)
	require.LessOrEqual(t, at, 2*retryPause)
	u.Tick(at)
	require.Equal(t, leader, u.Target())
}

func TestABetterParentIsTakenAfterAWhile(t *testing.T) {
	u := newTestUplink()
	u.SetParents(0, []string{leader})
	u.Accepted(0, leader)
	u.SetParents(0, []string{"a", leader})
	require.Equal(t, leader, u.Target(), "the one that serves is kept for now")
	u.Heard(2*switchDelay, leader)
	at, _ := u.Next()
	u.Tick(at)
	require.Equal(t, "a", u.Target())
	u.Failed(at, "a")
	require.Equal(t, leader, u.Target())
	u.Accepted(at, leader)
	for range 20 {
		u.Heard(at, leader)
		at, _ = u.Next()
		u.Tick(at)
		u.Heard(at, leader)
		if u.Target() == "a" {
			return
		}
		at += 500 * ms
	}
	t.Fatal("it is never tried again")
}

func TestAParentThatIsNotListedAnyMoreIsLeftAtOnce(t *testing.T) {
	u := newTestUplink()
	u.SetParents(0, []string{"old", leader})
	u.Accepted(0, "old")
	u.SetParents(10*ms, []string{"new", leader})
	require.Equal(t, "new", u.Target())
}

func TestTheSameParentsChangeNothing(t *testing.T) {
	u := newTestUplink()
	u.SetParents(0, []string{"a", leader})
	u.Failed(0, "a")
	u.Accepted(0, leader)
	u.SetParents(time.Millisecond, []string{"a", leader})
	require.Equal(t, leader, u.Target())
	require.True(t, u.Joined())
}
