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

// All processes are replaced one by one, under load, by those of this version, and by those of the version before again: nothing is lost, each rule
// is kept, and the configuration stays and can be changed while both versions run. Without another version's programs the test upgrades to
// the same version.
func TestUpgradeProcessByProcessAndBack(t *testing.T) {
	other := *otherPrograms
	if other == "" {
		other = programs
	}
	r := startWith(t, func(spec *cluster.Spec) { spec.Programs = other })
	stopLoad := r.loadUntilStopped()
	r.upgradeAll(programs)
	r.verifyUpgrade("all processes run this version")
	if other != programs {
		r.upgradeAll(other)
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

// upgradeAll restarts each process from a folder of programs, in the order of docs/operations.md: edges, stores, control processes, the
// leader's last. The configuration is changed in between.
func (r *rig) upgradeAll(programs string) {
	r.t.Helper()
	for i, edge := range r.system.Edges {
		r.upgrade(edge, programs)
		r.awaitEdge(i)
	}
	ordersAreTaken(r, 800, nil)
	for _, store := range r.system.Stores {
		r.upgrade(store, programs)
		r.awaitComplete()
	}
	ordersAreTaken(r, 900, nil)
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
