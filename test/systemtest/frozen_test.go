package systemtest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/test/standin/client"
	"ravendale/test/standin/cluster"
	"ravendale/test/standin/history"
)

// Lengths of the faults in the tests of processes that freeze one after the other.
const (
	frozenFor     = 3200 * time.Millisecond // longer than all timeouts of connections: the peers connect several times
	betweenFrozen = 5 * time.Second         // longer than contactMs and catchupS
	maxDelay      = 8 * time.Second         // longer than frozenFor and contactMs together
)

// delayedTraffic is mostly delayed messages to a service that is not idempotent.
func delayedTraffic() []client.Traffic {
	return []client.Traffic{
		{Route: "flaky", Host: host, Target: "/flaky/a", Weight: 5, BodyBytes: 256, DelayShare: 0.7, DelayMax: maxDelay},
		{Route: "ordered", Host: host, Target: "/ordered/a", Weight: 1, BodyBytes: 256, Keys: 40},
	}
}

// freezeEach freezes one process after the other, while clients send delayed messages, and verifies all rules.
func freezeEach(t *testing.T, processes func(r *rig) []*cluster.Process) *rig {
	r := start(t)
	frozen := processes(r)
	wait := r.loadTraffic(time.Duration(len(frozen))*(frozenFor+betweenFrozen), delayedTraffic())
	for _, process := range frozen {
		time.Sleep(betweenFrozen)
		over := r.world.Record.BeginFault(process.Node(), "freeze", false)
		require.NoError(t, process.Freeze())
		time.Sleep(frozenFor)
		require.NoError(t, process.Thaw())
		over()
	}
	wait()
	r.awaitDelivered(maxDelay)
	r.verify()
	return r
}

// Guards against review/4 (TWICE): a store that woke from a freeze took a connection that an edge had closed for the
// edge's newest one, and had another edge run what the first one still delivered.
func TestStoresThatFreezeKnowTheirEdges(t *testing.T) {
	freezeEach(t, func(r *rig) []*cluster.Process { return r.system.Stores })
}

// Guards against runs on leases that were revoked: an edge that woke sent at once all delayed messages that had been due
// during its freeze, which the stores had assigned to other edges.
func TestEdgesThatFreezeRunNothingTwice(t *testing.T) {
	r := freezeEach(t, func(r *rig) []*cluster.Process { return r.system.Edges })
	require.Empty(t, repeatsAfterWake(r.world.Record.History()))
}

// repeatsAfterWake returns the messages that began to run while a process was frozen, with success, and ran again just
// after it had woken. Those in flight at the frozen process don't count.
func repeatsAfterWake(h *history.History) (repeated []string) {
	const inFlight, afterWake = 200 * time.Millisecond, time.Second
	for _, fault := range h.Faults {
		done := make(map[string]bool)
		for _, a := range h.Arrivals {
			if a.Outcome == history.OutcomeDone && a.Start > fault.At+inFlight && a.Start < fault.Until {
				done[a.RequestID] = true
			}
		}
		for _, a := range h.Arrivals {
			if done[a.RequestID] && a.Started() && a.Start >= fault.Until && a.Start < fault.Until+afterWake {
				repeated = append(repeated, a.RequestID)
			}
		}
	}
	return repeated
}

// A control process that wakes must not act on what its members sent on connections that they have replaced.
func TestControlProcessesThatFreezeKnowTheirMembers(t *testing.T) {
	freezeEach(t, func(r *rig) []*cluster.Process { return r.system.Controls })
}
