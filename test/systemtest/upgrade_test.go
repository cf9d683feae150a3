package systemtest

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/test/standin/client"
	"ravendale/test/standin/cluster"
)

var otherPrograms = flag.String("other", "", "folder with the programs of another version, to upgrade from and to go back to")

// upgradeAccepted is the share of the messages that must be accepted while every process is restarted once.
const upgradeAccepted = 0.95

// upgradeSteps is the order in which the roles of a system are upgraded.
type upgradeSteps []func(r *rig, programs string)

// TestUpgradeProcessByProcessAndBack replaces all processes one by one, under load, by those of this version, and by those of the other version
// again. No message may be lost, each rule must be kept, and the configuration must persist and accept changes while both versions run.
// Without another version's programs the test upgrades to the same version.
func TestUpgradeProcessByProcessAndBack(t *testing.T) {
	for name, steps := range map[string]upgradeSteps{
		"stores first":   {(*rig).upgradeEdges, (*rig).upgradeStores, (*rig).upgradeControls}, // the order of docs/operations.md
		"controls first": {(*rig).upgradeControls, (*rig).upgradeStores, (*rig).upgradeEdges},
	} {
		t.Run(name, func(t *testing.T) { testUpgrade(t, steps) })
	}
}

func testUpgrade(t *testing.T, steps upgradeSteps) {
	other := *otherPrograms
	if other == "" {
		other = programs
	}
	r := startWith(t, func(spec *cluster.Spec) { spec.Programs = other })
	stopLoad := r.loadUntilStopped()
	r.upgradeAll(programs, steps)
	r.verifyUpgrade("all processes run this version")
	if other != programs {
		r.upgradeAll(other, steps)
		r.verifyUpgrade("all processes run the other version again")
	}
	stopLoad()
	assert.GreaterOrEqual(t, r.acceptedSince(0), upgradeAccepted)
	r.verify()
}

// verifyUpgrade changes the configuration and reads it back at all control processes.
func (r *rig) verifyUpgrade(stage string) {
	r.t.Helper()
	ordersAreTaken(r, 700, nil)
	r.t.Logf("%s, and version %d of the configuration is in force", stage, r.config.Version)
}

// upgradeAll restarts each process from a folder of programs, and changes the configuration after each step.
func (r *rig) upgradeAll(programs string, steps upgradeSteps) {
	r.t.Helper()
	for i, upgradeRole := range steps {
		upgradeRole(r, programs)
		ordersAreTaken(r, 800+i, nil)
	}
}

func (r *rig) upgradeEdges(programs string) {
	r.t.Helper()
	for i, edge := range r.system.Edges {
		r.upgrade(edge, programs)
		r.awaitEdge(i)
	}
}

func (r *rig) upgradeStores(programs string) {
	r.t.Helper()
	for _, store := range r.system.Stores {
		r.upgrade(store, programs)
		r.awaitComplete()
	}
}

// upgradeControls restarts the control processes, the leader's last.
func (r *rig) upgradeControls(programs string) {
	r.t.Helper()
	leader := r.awaitLeader()
	for i := range r.system.Controls {
		r.upgrade(r.system.Controls[(leader+1+i)%len(r.system.Controls)], programs)
		r.awaitComplete()
	}
}

// upgrade stops a process in order and starts the program of another folder in its place.
func (r *rig) upgrade(process *cluster.Process, programs string) {
	r.t.Helper()
	process.RunFrom(programs)
	r.roll(process)
}

// awaitLeader waits for a control process that leads, and returns its number.
func (r *rig) awaitLeader() (leader int) {
	r.t.Helper()
	ctx := r.within(startBound)
	require.Eventually(r.t, func() bool {
		for i := range r.system.Controls {
			if seen, ok := statusAt(ctx, r, i); ok && seen.Core.Leading {
				leader = i
				return true
			}
		}
		return false
	}, startBound, pollPause, "no control process leads")
	return leader
}

// awaitComplete waits until the core's chain and the queue have all replicas again.
func (r *rig) awaitComplete() {
	r.t.Helper()
	ctx := r.within(healBound)
	require.Eventually(r.t, func() bool {
		for i := range r.system.Controls {
			if seen, ok := statusAt(ctx, r, i); ok && seen.Core.Leading {
				return seen.isComplete(len(r.system.Controls))
			}
		}
		return false
	}, healBound, pollPause, "the core or the queue lacks replicas")
}

// loadChunk is how long a part of the load lasts; the load ends after one.
const loadChunk = 2 * time.Second

// loadUntilStopped sends traffic in the background until it is stopped, and stop returns once all is answered or given up.
func (r *rig) loadUntilStopped() (stop func()) {
	stopping, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stopping:
				return
			case <-r.t.Context().Done():
				return
			default:
				r.clients.Run(r.t.Context(), client.Load{RatePerS: rate, Duration: loadChunk, Traffic: traffic()})
			}
		}
	}()
	return func() {
		close(stopping)
		<-done
	}
}
