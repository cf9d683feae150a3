package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ravendale/cluster/wire"
)

func TestConnectionsAreDividedAmongEdges(t *testing.T) {
	h := newHarness(t)
	for i := range h.workers.Entries {
		h.workers.Entries[i].Capacity = 100
	}
	h.listWorkers()
	assert.Equal(t, 80, h.core.Connections()["s-0"].Max)
	assert.Equal(t, 8, h.core.Connections()["10.0.0.9:80"].Max)
	h.record(h.core.SetEdges(h.now, edgesOf("e1", "e2", "e3", "e4")))
	assert.Equal(t, 20, h.core.Connections()["s-0"].Max)
	many := make([]wire.Edge, 300)
	for i := range many {
		many[i] = wire.Edge{ID: fmt.Sprintf("e%d", i), Zone: "z1"}
	}
	h.record(h.core.SetEdges(h.now, many))
	assert.Equal(t, 1, h.core.Connections()["s-0"].Max)
	assert.True(t, h.core.Connections()["s-0"].Scarce, "the worker accepts fewer connections than there are edges")
}

// A list of edges that is incomplete for a moment, as after a change of the leader, does not raise the share of the
// remaining edges: the missing edges still have their connections open.
func TestConnectionsAreDividedByRecentPeakOfEdges(t *testing.T) {
	h := newHarness(t)
	h.workers.Entries[0].Capacity = 100
	h.listWorkers()
	h.record(h.core.SetEdges(h.now, edgesOf("e1", "e2", "e3", "e4")))
	h.advance(time.Second)
	h.record(h.core.SetEdges(h.now, edgesOf("e1")))
	assert.Equal(t, 20, h.core.Connections()["s-0"].Max)
	h.advance(time.Second)
	h.record(h.core.SetEdges(h.now, edgesOf("e1", "e2")))
	h.advance(edgePeakWindow - 2*time.Second)
	h.listWorkers()
	assert.Equal(t, 20, h.core.Connections()["s-0"].Max)
	h.advance(2 * time.Second)
	h.listWorkers()
	assert.Equal(t, 40, h.core.Connections()["s-0"].Max)
}

func TestConnectionsAreLimitedByCapacity(t *testing.T) {
	h := newHarness(t)
	assert.Equal(t, 4+connectionSlack, h.core.Connections()["s-0"].Max)
}
