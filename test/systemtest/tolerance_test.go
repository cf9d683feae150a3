package systemtest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/test/standin/cluster"
	"ravendale/test/standin/protocol"
)

// toleratingTwoFailures specifies a cluster of four control machines with disks that must tolerate the concurrent
// failure of two machines with disks.
func toleratingTwoFailures(spec *cluster.Spec) {
	spec.Zones = []string{"east", "west", "north", "south"}
	spec.ToleratedNodes = 2
}

// startToleratingTwoFailures starts such a cluster, waits until its core has as many voters as two failures require,
// starts the load, and has a configuration change acknowledged. It returns two control processes that are voters.
func startToleratingTwoFailures(t *testing.T) (r *rig, wait func(), first, second *cluster.Process) {
	t.Helper()
	r = startWith(t, toleratingTwoFailures)
	voters := awaitVoters(r)
	require.GreaterOrEqual(t, len(voters), 2)
	wait = r.load(4 * time.Second)
	ordersAreTaken(r, 700, nil)
	return r, wait, voters[0], voters[1]
}

// awaitVoters waits until the core has as many voters as it requires, and returns the control processes among them.
func awaitVoters(r *rig) (voters []*cluster.Process) {
	r.t.Helper()
	ctx := r.within(startBound)
	var seen coreStatus
	require.Eventually(r.t, func() bool {
		now, ok := statusAt(ctx, r, 0)
		seen = now
		return ok && seen.Core.Wanted > 0 && len(seen.Core.Voters) >= seen.Core.Wanted
	}, startBound, pollPause, "the core has fewer voters than its fault tolerance requires")
	for _, control := range r.system.Controls {
		for _, voter := range seen.Core.Voters {
			if voter.Address == r.system.ControlRPC(control) {
				voters = append(voters, control)
			}
		}
	}
	return voters
}

// ordersAreTaken changes the configuration, and reads it back from each control process except the given one.
func ordersAreTaken(r *rig, timeoutMs int, but *cluster.Process) {
	r.t.Helper()
	r.patch(protocol.Patch{Upsert: protocol.Upsert{Routes: []protocol.Route{extraRoute(timeoutMs)}}})
	for i, control := range r.system.Controls {
		if control == but {
			continue
		}
		shown, err := operatorAt(r, i).Show(r.within(ackBound))
		require.NoError(r.t, err)
		require.Equal(r.t, r.config.Version, shown.Version, control.Name())
	}
}

// Two control processes are killed and lose their disks at the same time, right after an acknowledgement (incident
// inc2).
func TestTwoControlProcessesLoseDisks(t *testing.T) {
	r, wait, first, second := startToleratingTwoFailures(t)
	r.crash([]*cluster.Process{first, second}, 300*time.Millisecond, (*cluster.Process).Wipe)
	ordersAreTaken(r, 800, nil)
	wait()
	r.verify()
}

// A control process loses its disk while another one is frozen, so that it has to catch up without that one (incident
// inc1).
func TestControlProcessLosesDiskWhileAnotherIsFrozen(t *testing.T) {
	r, wait, wiped, silent := startToleratingTwoFailures(t)
	over := r.world.Record.BeginFault(silent.Node(), "freeze", false)
	require.NoError(t, silent.Freeze())
	r.crash([]*cluster.Process{wiped}, 300*time.Millisecond, (*cluster.Process).Wipe)
	ordersAreTaken(r, 800, silent)
	require.NoError(t, silent.Thaw())
	over()
	wait()
	r.verify()
}
