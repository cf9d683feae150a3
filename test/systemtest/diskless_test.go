package systemtest

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/control/status"
	"ravendale/test/standin/cluster"
	"ravendale/test/standin/protocol"
)

const completeBound = 30 * time.Second // until a store has received all its data, or is emptied

// diskless specifies a cluster whose control processes have no disk, so that stores host the core.
func diskless(spec *cluster.Spec) { spec.DisklessControl = true }

// hostsCore reports whether a store has core data on its disk.
func hostsCore(store *cluster.Process) bool {
	_, err := os.Stat(filepath.Join(store.DataPath(), "control"))
	return err == nil
}

func TestDisklessControlSurvivesKillOfAllProcesses(t *testing.T) {
	r := startWith(t, diskless)
	for _, store := range r.system.Stores {
		assert.True(t, hostsCore(store), store.Name())
	}
	wait := r.load(3 * time.Second)
	r.patch(protocol.Patch{Upsert: protocol.Upsert{Routes: []protocol.Route{extraRoute(700)}}})
	r.crash(r.system.Processes(), 500*time.Millisecond, nil) // right after an acknowledgement
	r.verifyShownConfig()
	r.patch(protocol.Patch{Upsert: protocol.Upsert{Routes: []protocol.Route{extraRoute(800)}}})
	wait()
	r.awaitReady(len(r.system.Edges))
	over := r.world.Record.Now()
	r.load(3 * time.Second)()
	assert.GreaterOrEqual(t, r.acceptedSince(over), minAccepted)
	r.verify()
}

func TestDisklessControlSurvivesLostStoreDisk(t *testing.T) {
	r := startWith(t, diskless)
	wait := r.load(10 * time.Second)
	for i, store := range r.system.Stores { // the leader is one of them
		r.patch(protocol.Patch{Upsert: protocol.Upsert{Routes: []protocol.Route{extraRoute(500 + i)}}})
		r.crash([]*cluster.Process{store}, 300*time.Millisecond, (*cluster.Process).Wipe)
		r.verifyShownConfig()
		r.awaitFilled(store)
	}
	wait()
	r.verify()
}

// awaitFilled waits until a store that lost its disk is in the core's chain and has all its messages of the queue
// again. Changes after that are acknowledged only once the store has all of the core's state.
func (r *rig) awaitFilled(store *cluster.Process) {
	r.t.Helper()
	require.Eventually(r.t, func() bool {
		answer := r.operator.Call(r.within(ackBound), http.MethodGet, "/v1/status", nil, nil)
		var seen status.Status
		if json.Unmarshal(answer.Body, &seen) != nil || seen.Placement == nil {
			return false
		}
		return inChain(&seen.Core, r.system.ControlRPC(store)) && filled(seen.Placement)
	}, completeBound, 50*time.Millisecond, "%s did not receive all its data", store.Name())
}

func inChain(core *status.Core, address string) bool {
	return slices.ContainsFunc(core.Voters, func(voter status.Voter) bool {
		return voter.Address == address && slices.Contains(core.Chain, voter.Disk)
	})
}

func filled(placement *status.Placement) bool {
	return placement.UnderReplicated == 0 && !slices.ContainsFunc(placement.Stores, func(s status.Store) bool { return s.Joining > 0 })
}

func TestDisklessControlRetiresVoter(t *testing.T) {
	r := startWith(t, func(spec *cluster.Spec) {
		diskless(spec)
		spec.StoresPerZone = 2
	})
	var voter *cluster.Process
	for _, store := range r.system.Stores {
		if hostsCore(store) {
			voter = store
		}
	}
	require.NotNil(t, voter)
	wait := r.load(6 * time.Second)
	answer := r.operator.StartRetire(r.within(ackBound), voter.Node(), 10*time.Second)
	require.Equal(t, http.StatusOK, answer.Status, "%s", answer.Body)
	require.Eventually(t, func() bool {
		state, err := r.operator.RetireState(r.within(ackBound), voter.Node())
		return err == nil && state == "done"
	}, completeBound, 50*time.Millisecond, "the store was not emptied")
	require.Eventually(t, func() bool { return !hostsCore(voter) }, startBound, 20*time.Millisecond, "the store still has core data on its disk")
	hosts := 0
	for _, store := range r.system.Stores {
		if hostsCore(store) {
			hosts++
		}
	}
	assert.Equal(t, 3, hosts, "another store hosts the core instead")
	require.NoError(t, voter.Kill())
	r.patch(protocol.Patch{Upsert: protocol.Upsert{Routes: []protocol.Route{extraRoute(700)}}})
	wait()
	r.verify()
}
