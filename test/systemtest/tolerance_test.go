package systemtest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/test/standin/cluster"
	"ravendale/test/standin/protocol"
)

// twoLosses is a cluster of four control machines with a disk that is to bear the loss of two machines with a disk at once.
func twoLosses(spec *cluster.Spec) {
	spec.Zones = []string{"east", "west", "north", "south"}
	spec.LostNodes = 2
}

// startBearingTwoLosses starts such a cluster under load once its core has as many voters as two losses need, with an order acknowledged. It names two
// control processes that have a vote.
func startBearingTwoLosses(t *testing.T) (r *rig, wait func(), first, second *cluster.Process) {
	t.Helper()
	r = startWith(t, twoLosses)
	voters := awaitVoters(r)
	require.GreaterOrEqual(t, len(voters), 2)
	wait = r.load(4 * time.Second)
	ordersAreTaken(r, 700, nil)
	return r, wait, voters[0], voters[1]
}

// awaitVoters waits until the core has as many voters as are wanted, and lists the control processes among them.
func awaitVoters(r *rig) (voters []*cluster.Process) {
	r.t.Helper()
	ctx := r.within(startBound)
	var seen coreStatus
	require.Eventually(r.t, func() bool {
		now, ok := statusAt(ctx, r, 0)
		seen = now
		return ok && seen.Core.Wanted > 0 && len(seen.Core.Voters) >= seen.Core.Wanted
	}, startBound, pollPause, "the core has too few voters for the losses to be borne")
	for _, control := range r.system.Controls {
		for _, voter := range seen.Core.Voters {
			if voter.Address == r.system.ControlRPC(control) {
				voters = append(voters, control)
			}
		}
	}
	return voters
}

// ordersAreTaken changes the configuration, and reads it back from each control process but one.
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

// Two control processes lose their disks at the same moment, right after an acknowledgement (incident inc2).
func TestTwoControlProcessesLoseTheirDisksAtOnce(t *testing.T) {
	r, wait, first, second := startBearingTwoLosses(t)
	r.crash([]*cluster.Process{first, second}, 300*time.Millisecond, (*cluster.Process).Wipe)
	ordersAreTaken(r, 800, nil)
	wait()
	r.verify()
}

// A control process loses its disk, and another falls silent before the first has caught up (incident inc1).
func TestAControlProcessLosesItsDiskWhileAnotherIsSilent(t *testing.T) {
	r, wait, wiped, silent := startBearingTwoLosses(t)
	over := r.world.Record.Trouble(silent.Node(), "freeze", false)
	require.NoError(t, silent.Freeze())
	r.crash([]*cluster.Process{wiped}, 300*time.Millisecond, (*cluster.Process).Wipe)
	ordersAreTaken(r, 800, silent)
	require.NoError(t, silent.Thaw())
	over()
	wait()
	r.verify()
}
