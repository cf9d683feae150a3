package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newTestUplink() *Uplink { return NewUplink(rand.New(rand.NewPCG(1, 2))) }

func TestUplinkTriesParentsInOrder(t *testing.T) {
	u := newTestUplink()
	require.Empty(t, u.Target())
	u.SetParents(0, []string{"a", "b", leader})
	require.Equal(t, "a", u.Target())
	u.Failed(10*ms, "a")
	require.Equal(t, "b", u.Target())
	u.Tick(10*ms + joinTimeout)
	require.Equal(t, leader, u.Target(), "b did not answer")
	u.Accepted(450*ms, leader)
	require.True(t, u.Joined())
	u.Failed(460*ms, "a")
	require.Equal(t, leader, u.Target(), "events of a former target are ignored")
}

func TestUplinkLeavesUnresponsiveParent(t *testing.T) {
	u := newTestUplink()
	u.SetParents(0, []string{"a", leader})
	u.Accepted(0, "a")
	u.Received(500*ms, "a")
	at, _ := u.Next()
	require.Equal(t, 500*ms+failureTimeout, at)
	u.Tick(at - 1)
	require.Equal(t, "a", u.Target())
	u.Tick(at)
	require.Equal(t, leader, u.Target())
	require.False(t, u.Joined())
}

func TestUplinkRetriesAfterAllParentsFailed(t *testing.T) {
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

func TestUplinkSwitchesToBetterParent(t *testing.T) {
	u := newTestUplink()
	u.SetParents(0, []string{leader})
	u.Accepted(0, leader)
	u.SetParents(0, []string{"a", leader})
	require.Equal(t, leader, u.Target(), "the working parent is kept for now")
	u.Received(2*switchDelay, leader)
	at, _ := u.Next()
	u.Tick(at)
	require.Equal(t, "a", u.Target())
	u.Failed(at, "a")
	require.Equal(t, leader, u.Target())
	u.Accepted(at, leader)
	for range 20 {
		u.Received(at, leader)
		at, _ = u.Next()
		u.Tick(at)
		u.Received(at, leader)
		if u.Target() == "a" {
			return
		}
		at += 500 * ms
	}
	t.Fatal("the better parent was not tried again")
}

func TestUplinkLeavesRemovedParent(t *testing.T) {
	u := newTestUplink()
	u.SetParents(0, []string{"old", leader})
	u.Accepted(0, "old")
	u.SetParents(10*ms, []string{"new", leader})
	require.Equal(t, "new", u.Target())
}

func TestUplinkKeepsTargetForSameParents(t *testing.T) {
	u := newTestUplink()
	u.SetParents(0, []string{"a", leader})
	u.Failed(0, "a")
	u.Accepted(0, leader)
	u.SetParents(time.Millisecond, []string{"a", leader})
	require.Equal(t, leader, u.Target())
	require.True(t, u.Joined())
}
