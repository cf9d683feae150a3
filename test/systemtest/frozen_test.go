package systemtest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/test/standin/client"
	"ravendale/test/standin/cluster"
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
func freezeEach(t *testing.T, processes func(r *rig) []*cluster.Process) {
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
}

// Guards against review/4 (TWICE): a store that woke from a freeze took a connection that an edge had closed for the
// edge's newest one, and had another edge run what the first one still delivered.
func TestStoresThatFreezeKnowTheirEdges(t *testing.T) {
	freezeEach(t, func(r *rig) []*cluster.Process { return r.system.Stores })
}

// An edge that wakes must not run what the stores have assigned to another one meanwhile.
func TestEdgesThatFreezeRunNothingTwice(t *testing.T) {
	freezeEach(t, func(r *rig) []*cluster.Process { return r.system.Edges })
}

// A control process that wakes must not act on what its members sent on connections that they have replaced.
func TestControlProcessesThatFreezeKnowTheirMembers(t *testing.T) {
	freezeEach(t, func(r *rig) []*cluster.Process { return r.system.Controls })
}
