package member

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravendale/cluster/wire"
)

const ms = time.Millisecond

func testSession(seeds ...string) *session {
	return newSession(rand.New(rand.NewPCG(1, 2)), 1000*ms, seeds)
}

func grant(lease time.Duration, core ...string) *wire.RenewReply {
	return &wire.RenewReply{Granted: true, LeaseMillis: uint32(lease / ms), Core: core}
}

func TestFirstRenewalSentOnceConnected(t *testing.T) {
	s := testSession("a")
	require.Equal(t, "a", s.target)
	require.False(t, s.tick(0, false), "not before the connection is established")
	require.True(t, s.tick(5*ms, true))
	require.False(t, s.tick(6*ms, true), "once")
	require.False(t, s.leased(6*ms))
}

func TestRenewalInterval(t *testing.T) {
	s := testSession("a")
	require.True(t, s.tick(0, true))
	s.replied(20*ms, 0, "a", grant(600*ms))
	require.True(t, s.leased(599*ms))
	require.False(t, s.leased(600*ms), "the lease counts from when the renewal was sent")
	require.Equal(t, 200*ms, s.next())
	require.False(t, s.tick(199*ms, true))
	require.True(t, s.tick(200*ms, true))
	s.replied(201*ms, 200*ms, "a", grant(9000*ms))
	require.Equal(t, 1200*ms, s.next(), "the heartbeat limits the interval")
}

func TestRedirectToLeader(t *testing.T) {
	s := testSession("a")
	s.tick(0, true)
	s.replied(10*ms, 0, "a", &wire.RenewReply{Leader: "b", Core: []string{"a", "b", "c"}})
	require.Equal(t, "b", s.target)
	require.True(t, s.tick(20*ms, true))
	s.replied(30*ms, 20*ms, "b", grant(600*ms))
	require.Equal(t, "b", s.leader)
}

func TestRedirectLoopIsBounded(t *testing.T) {
	s := testSession("a", "b")
	now := time.Duration(0)
	for hop := 0; s.tick(now, true); hop++ {
		require.LessOrEqual(t, hop, maxHops)
		from := s.target
		other := map[string]string{"a": "b", "b": "a"}[from]
		s.replied(now, now, from, &wire.RenewReply{Leader: other})
	}
	require.Greater(t, s.next(), now, "a pause follows")
	require.LessOrEqual(t, s.next(), now+2*retryPause)
}

func TestSwitchTargetWhenLeaderUnknown(t *testing.T) {
	s := testSession("a", "b")
	first := s.target
	s.tick(0, true)
	s.replied(1*ms, 0, first, &wire.RenewReply{})
	require.NotEqual(t, first, s.target)
	require.False(t, s.tick(1*ms, true))
	require.True(t, s.tick(s.next(), true))
}

func TestSwitchTargetOnReplyTimeout(t *testing.T) {
	s := testSession("a", "b")
	first := s.target
	require.True(t, s.tick(0, true))
	require.False(t, s.tick(replyTimeout-1, true))
	require.Equal(t, first, s.target)
	s.tick(replyTimeout, true)
	require.NotEqual(t, first, s.target)
	require.LessOrEqual(t, s.next(), replyTimeout+2*retryPause)
}

func TestSwitchTargetOnConnectTimeout(t *testing.T) {
	s := testSession("a", "b")
	first := s.target
	s.tick(0, false)
	s.tick(replyTimeout, false)
	require.NotEqual(t, first, s.target)
}

func TestReconnectAfterDisconnect(t *testing.T) {
	s := testSession("a", "b")
	first := s.target
	s.tick(0, true)
	s.replied(1*ms, 0, first, grant(600*ms))
	s.disconnected(50*ms, first)
	require.Equal(t, first, s.target, "the leader may still be available")
	require.False(t, s.tick(50*ms, false))
	require.True(t, s.tick(60*ms, true))
	s.disconnected(70*ms, first)
	require.NotEqual(t, first, s.target, "a renewal was in progress")
}

func TestEventsOfOtherAddressesIgnored(t *testing.T) {
	s := testSession("a", "b")
	first := s.target
	s.failed(0, "elsewhere")
	s.disconnected(0, "elsewhere")
	require.Equal(t, first, s.target)
}

func TestLateGrantCountsFromRequest(t *testing.T) {
	s := testSession("a", "b")
	first := s.target
	s.tick(0, true)
	s.tick(replyTimeout, true) // the renewal times out
	s.replied(400*ms, 0, first, grant(600*ms))
	require.True(t, s.leased(500*ms))
	require.False(t, s.leased(600*ms))
}

func TestOlderGrantDoesNotShortenLease(t *testing.T) {
	s := testSession("a")
	s.tick(0, true)
	s.replied(300*ms, 200*ms, "a", grant(600*ms))
	s.replied(310*ms, 100*ms, "a", grant(600*ms))
	require.True(t, s.leased(799*ms))
}

func TestRenewNowDuringRenewal(t *testing.T) {
	s := testSession("a")
	s.tick(0, true)
	s.renewNow(1 * ms)
	s.replied(2*ms, 0, "a", grant(600*ms))
	require.True(t, s.tick(2*ms, true))
	s.replied(3*ms, 2*ms, "a", grant(600*ms))
	require.False(t, s.tick(4*ms, true))
	s.renewNow(5 * ms)
	require.True(t, s.tick(5*ms, true))
}

func TestSessionWithoutSeeds(t *testing.T) {
	s := testSession()
	require.False(t, s.tick(0, false))
	s.setSeeds([]string{"a"})
	for now := time.Duration(0); s.target == ""; now = s.next() {
		require.Less(t, now, 5*time.Second)
		s.tick(now, false)
	}
	require.Equal(t, "a", s.target)
}

func TestCoreAddressesAreCandidates(t *testing.T) {
	s := testSession("a")
	s.tick(0, true)
	s.replied(1*ms, 0, "a", grant(600*ms, "a", "b"))
	s.tick(s.next(), true)
	s.failed(s.next(), "a")
	require.Equal(t, "b", s.target)
}

// TestFindLeaderAfterRandomEvents applies random events, and then a working core: a lease must be granted within 3 s.
func TestFindLeaderAfterRandomEvents(t *testing.T) {
	addresses := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		s := testSession(addresses...)
		now, sentAt := time.Duration(0), time.Duration(0)
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * ms
			from := rapid.SampledFrom(append(addresses, s.target)).Draw(t, "from")
			switch rapid.SampledFrom([]string{"tick", "failed", "disconnected", "refused", "granted", "renewNow"}).Draw(t, "event") {
			case "tick":
				if s.tick(now, rapid.Bool().Draw(t, "connected")) {
					sentAt = now
				}
			case "failed":
				s.failed(now, from)
			case "disconnected":
				s.disconnected(now, from)
			case "refused":
				s.replied(now, sentAt, from, &wire.RenewReply{Leader: rapid.SampledFrom(append(addresses, "")).Draw(t, "named")})
			case "granted":
				s.replied(now, sentAt, from, grant(600*ms))
			case "renewNow":
				s.renewNow(now)
			}
			require.False(t, s.leased(now) && now >= s.renewedAt+600*ms)
		}
		s.renewedAt, s.lease = 0, 0                   // discards any granted lease
		for start := now; !s.leased(now); now += ms { // tick is called after each event and when it is due
			require.Less(t, now-start, 3*time.Second)
			if !s.tick(now, true) {
				now = max(now, s.next()-ms)
				continue
			}
			if s.target == "b" {
				s.replied(now, now, "b", grant(600*ms))
			} else {
				s.replied(now, now, s.target, &wire.RenewReply{Leader: "b"})
			}
		}
	})
}

func TestShortPausesAtStart(t *testing.T) {
	s := testSession("a", "b")
	now, attempts := time.Duration(0), 0
	for ; now < 500*ms; now = s.next() {
		require.True(t, s.tick(now, true))
		attempts++
		s.replied(now+ms, now, s.target, &wire.RenewReply{})
	}
	require.GreaterOrEqual(t, attempts, 5)
	for s.startAttempts < maxStartAttempts {
		now = s.next()
		s.tick(now, true)
		s.replied(now, now, s.target, &wire.RenewReply{})
	}
	now = s.next()
	s.tick(now, true)
	s.replied(now, now, s.target, &wire.RenewReply{})
	require.GreaterOrEqual(t, s.next(), now+retryPause/2, "short pauses end")
}

func TestRenewSoonWhenHeadsUnavailable(t *testing.T) {
	s := testSession("a")
	s.tick(0, true)
	s.replied(1*ms, 0, "a", grant(3000*ms))
	require.Equal(t, 1000*ms, s.next())
	s.headsUnavailable(1 * ms)
	require.LessOrEqual(t, s.next(), 1*ms+2*startPause)
	now := s.next()
	require.True(t, s.tick(now, true))
	s.replied(now, now, "a", grant(3000*ms))
	s.headsReceived = true
	require.Equal(t, now+1000*ms, s.next())
}

// When a machine runs before its control process does, connects are refused at once.
func TestDisconnectDuringPauseIsNotCounted(t *testing.T) {
	s := testSession("a", "b", "c")
	s.tick(0, false)
	s.disconnected(1*ms, s.target)
	require.True(t, s.pausing)
	due, target := s.next(), s.target
	for now := 2 * ms; now < due; now += ms {
		s.disconnected(now, s.target)
	}
	require.Equal(t, due, s.next())
	require.Equal(t, target, s.target)
	s.tick(due, false)
	require.False(t, s.pausing)
}

func TestFollowLeaderAfterLongOutage(t *testing.T) {
	s := testSession("a", "b", "c")
	now := time.Duration(0)
	for ; now < 10*time.Second; now = s.next() {
		s.tick(now, false)
		s.disconnected(now, s.target)
	}
	core := []string{"a", "b", "c", "d", "e"}
	require.True(t, s.tick(now, true))
	s.replied(now, now, s.target, &wire.RenewReply{Core: core}) // lists control processes that were not tried yet, but no leader
	hint := &wire.RenewReply{Leader: "c", Core: core}
	now = s.next()
	start := now
	for !s.leased(now) {
		require.Less(t, now-start, time.Second)
		require.True(t, s.tick(now, true))
		if s.target == "c" {
			s.replied(now, now, "c", grant(600*ms))
		} else {
			s.replied(now, now, s.target, hint)
		}
		if s.renewing && !s.sent {
			continue // the named leader is tried at once
		}
		now = max(now, s.next())
	}
}
