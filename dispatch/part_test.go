package dispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/catalog"
	"ravendale/wire"
	"ravendale/worker"
)

// crowd has a number of edges with a service whose workers take few connections, and returns the bounds of each edge.
func crowd(t *testing.T, edges, workers, maxConns int) []map[string]worker.Limit {
	var all []wire.Edge
	for i := range edges {
		all = append(all, wire.Edge{ID: fmt.Sprint("edge", i), Zone: "z1"})
	}
	list := &wire.Workers{}
	for i := range workers {
		list.Entries = append(list.Entries, wire.Worker{ID: fmt.Sprint("w", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: "z1", Capacity: 4})
	}
	config := &catalog.Config{Version: 1, Services: []catalog.Service{{Name: "s", MaxConns: maxConns}, {Name: "one", Endpoint: "10.1.0.1:80", MaxConns: maxConns}}}
	var limits []map[string]worker.Limit
	for _, edge := range all {
		core := NewCore(Config{Topology: Topology{Edge: edge.ID, Zone: "z1", Zones: []string{"z1"}}, Seed: 1})
		core.Configure(0, catalog.NewIndex(config))
		core.List(0, list)
		core.Place(0, all)
		require.GreaterOrEqual(t, core.services["s"].ready, min(fewestReady, workers))
		limits = append(limits, core.Connections())
	}
	return limits
}

func TestManyWorkersArePartedAmongTheEdges(t *testing.T) {
	for _, c := range []struct{ edges, workers, maxConns int }{{58, 17, 18}, {58, 24, 24}, {58, 100, 18}, {58, 60, 6}, {30, 9, 18}, {20, 10, 10}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			open := make(map[string]int)
			for _, limits := range crowd(t, c.edges, c.workers, c.maxConns) {
				delete(limits, "10.1.0.1:80")
				assert.GreaterOrEqual(t, len(limits), fewestReady)
				for name, limit := range limits {
					assert.False(t, limit.Once)
					open[name] += limit.Open
				}
			}
			assert.Len(t, open, c.workers, "none is left to nobody")
			for name, count := range open {
				assert.LessOrEqual(t, count, c.maxConns, name)
			}
		})
	}
}

func TestFewWorkersAreNotKeptConnected(t *testing.T) {
	for _, limits := range crowd(t, 58, 6, 18) {
		require.Len(t, limits, 7)
		for name, limit := range limits {
			assert.Equal(t, worker.Limit{Open: 1, Once: true}, limit, name)
		}
	}
}

func TestConnectionsAreKeptWhereTheySuffice(t *testing.T) {
	for _, limits := range crowd(t, 10, 6, 18) {
		assert.Equal(t, worker.Limit{Open: 1}, limits["w0"])
		assert.Equal(t, worker.Limit{Open: 1}, limits["10.1.0.1:80"])
	}
}
