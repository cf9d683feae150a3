package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ravendale/cluster/wire"
)

func TestConnectionsAreShared(t *testing.T) {
	w := newWorld(t)
	for i := range w.workers.Entries {
		w.workers.Entries[i].Capacity = 100
	}
	w.listWorkers()
	assert.Equal(t, 80, w.core.Connections()["s-0"].Max)
	assert.Equal(t, 8, w.core.Connections()["10.0.0.9:80"].Max)
	w.apply(w.core.SetEdges(w.now, edgesOf("e1", "e2", "e3", "e4")))
	assert.Equal(t, 20, w.core.Connections()["s-0"].Max)
	many := make([]wire.Edge, 300)
	for i := range many {
		many[i] = wire.Edge{ID: fmt.Sprintf("e%d", i), Zone: "z1"}
	}
	w.apply(w.core.SetEdges(w.now, many))
	assert.Equal(t, 1, w.core.Connections()["s-0"].Max)
	assert.True(t, w.core.Connections()["s-0"].Scarce, "not all edges can have one")
}

// A list of edges that is short for a moment, as after a change of the leader, frees no connections: the others still have theirs.
func TestConnectionsAreSharedWithEdgesOfAMomentAgo(t *testing.T) {
	w := newWorld(t)
	w.workers.Entries[0].Capacity = 100
	w.listWorkers()
	w.apply(w.core.SetEdges(w.now, edgesOf("e1", "e2", "e3", "e4")))
	w.pass(time.Second)
	w.apply(w.core.SetEdges(w.now, edgesOf("e1")))
	assert.Equal(t, 20, w.core.Connections()["s-0"].Max)
	w.pass(time.Second)
	w.apply(w.core.SetEdges(w.now, edgesOf("e1", "e2")))
	w.pass(edgePeakWindow - 2*time.Second)
	w.listWorkers()
	assert.Equal(t, 20, w.core.Connections()["s-0"].Max)
	w.pass(2 * time.Second)
	w.listWorkers()
	assert.Equal(t, 40, w.core.Connections()["s-0"].Max)
}

func TestConnectionsAreBoundByCapacity(t *testing.T) {
	w := newWorld(t)
	assert.Equal(t, 4+connectionSlack, w.core.Connections()["s-0"].Max)
}
