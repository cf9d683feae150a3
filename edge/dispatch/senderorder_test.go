package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
)

// rankedEdge is an edge with the values that sortedSenders sorts by.
type rankedEdge struct {
	id, zone string
	hash     uint64
	rank     int // among the edges of its zone
}

// sortedSenders returns the IDs of all edges in the order in which they become senders. It sorts the edges, as older
// versions of the program do, which have no senderOrder.
func sortedSenders(service string, edges []wire.Edge) []string {
	list := make([]rankedEdge, len(edges))
	for i := range edges {
		list[i] = rankedEdge{id: edges[i].ID, zone: edges[i].Zone, hash: xxhash.Sum64String(service + "\x00" + edges[i].ID)}
	}
	slices.SortFunc(list, func(a, b rankedEdge) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id)) })
	counts := make(map[string]int)
	for i := range list {
		list[i].rank = counts[list[i].zone]
		counts[list[i].zone]++
	}
	slices.SortStableFunc(list, func(a, b rankedEdge) int { return cmp.Compare(a.rank, b.rank) })
	var ids []string
	for i := range list {
		ids = append(ids, list[i].id)
	}
	return ids
}

// After any changes of the list, an edge has the position that sorting yields. Older versions of the program sort, and
// during a rolling upgrade both versions divide the same rate limits.
func TestSenderOrderEqualsSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const own = "edge-7"
		service := rapid.SampledFrom([]string{"s", "partner-17", "a-service-with-a-longer-name-than-most"}).Draw(t, "service")
		pool := edgesIn(rapid.IntRange(1, 7).Draw(t, "zones"), 40)
		var list edgeList
		order := newSenderOrder(service, own)
		for range rapid.IntRange(1, 8).Draw(t, "lists") {
			var edges []wire.Edge
			for i := range pool {
				if rapid.IntRange(0, 3).Draw(t, "present") > 0 {
					edges = append(edges, pool[i])
				}
			}
			order.update(list.set(edges, own))
			position := slices.Index(sortedSenders(service, edges), own)
			if position < 0 {
				assert.Equal(t, -1, list.ownIndex)
				continue
			}
			assert.Equal(t, position, order.position(&list))
		}
	})
}

// An edge that moves to another zone under the same ID is counted there. A change of Ready alone is no change.
func TestEdgeListZoneChanges(t *testing.T) {
	var list edgeList
	list.set([]wire.Edge{{ID: "a", Zone: "z1"}, {ID: "b", Zone: "z1"}}, "a")
	version := list.version
	assert.Empty(t, list.set([]wire.Edge{{ID: "a", Zone: "z1", Ready: true}, {ID: "b", Zone: "z1"}}, "a"))
	assert.Equal(t, version, list.version)
	assert.Len(t, list.set([]wire.Edge{{ID: "a", Zone: "z1"}, {ID: "b", Zone: "z2"}}, "a"), 2)
	assert.Equal(t, 1, list.edgesInZone("z1"))
	assert.Equal(t, 1, list.edgesInZone("z2"))
	assert.Equal(t, 2, list.populatedZones())
	list.set([]wire.Edge{{ID: "b", Zone: "z2"}}, "a")
	assert.Equal(t, 1, list.populatedZones())
	assert.Equal(t, -1, list.ownIndex)
}

// Edges that received different earlier lists agree on the senders once they have the same list: the shares sum to no
// more than the limit.
func TestSharesDoNotDependOnEarlierLists(t *testing.T) {
	limit := rateLimit{RatePerS: 75, Window: 5 * time.Second, Overshoot: 1.1}
	edges := edgesIn(6, 60)
	sum := 0.0
	for i, edge := range edges {
		core := NewCore(Config{Topology: Topology{Edge: edge.ID, Zone: edge.Zone}, Window: limit.Window, Overshoot: limit.Overshoot})
		config := catalog.Config{Services: []catalog.Service{{Name: "partner", RatePerS: limit.RatePerS, Endpoint: "10.0.0.1:80", MaxConns: 34}}}
		core.ApplyConfig(0, catalog.NewIndex(&config))
		for j := i % 7; j < len(edges); j += 7 { // the edges receive different earlier lists, some of them many
			core.SetEdges(0, edges[:j])
		}
		core.SetEdges(0, edges)
		share := core.services["partner"].tokens.share
		assert.Equal(t, limit.shareOf("partner", edge.ID, edges), share)
		sum += share.Rate
	}
	assert.Greater(t, sum, 0.7*limit.RatePerS)
	assert.LessOrEqual(t, sum, limit.RatePerS*limit.Overshoot)
}

// The cost of a change of the edge list grows with the edges that changed, not with all edges. A service whose share
// stays the same is not updated.
func TestEdgeChangeUpdatesFewServices(t *testing.T) {
	core := NewCore(Config{Topology: Topology{Edge: "edge-0", Zone: "z0", Zones: []string{"z0", "z1"}}, Window: 5 * time.Second, Overshoot: 1.1})
	var config catalog.Config
	for i := range 300 {
		config.Services = append(config.Services, catalog.Service{
			Name: fmt.Sprint("partner-", i), RatePerS: 75, MaxConns: 34, Endpoint: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200),
		})
	}
	edges := edgesIn(2, 240)
	core.SetEdges(0, edges[:239])
	core.ApplyConfig(0, catalog.NewIndex(&config))
	core.Connections()
	before := make(map[string]*bucket)
	for name, s := range core.services {
		before[name] = s.tokens
	}
	allocations := testing.AllocsPerRun(1, func() { core.SetEdges(0, edges) })
	assert.Less(t, allocations, 60.0, "allocations for 300 services")
	changed := 0
	for name, s := range core.services {
		if s.tokens != before[name] {
			changed++
		}
	}
	assert.Less(t, changed, 30)
	assert.False(t, core.ConnectionsChanged())
	assert.Empty(t, core.timed)
}
