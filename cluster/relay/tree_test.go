package relay

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravendale/cluster/wire"
)

const leader = "leader:1"

func edgesIn(zones ...int) *wire.Members {
	members := new(wire.Members)
	for z, count := range zones {
		for i := range count {
			id := fmt.Sprintf("z%02d-%02d", z, i)
			members.Edges = append(members.Edges, wire.Edge{ID: id, Node: id, Address: id + ":1", Zone: fmt.Sprintf("z%02d", z)})
		}
	}
	return members
}

func selfOf(edge wire.Edge) wire.Member {
	return wire.Member{ID: edge.ID, Node: edge.Node, Address: edge.Address, Zone: edge.Zone, Edge: true}
}

func TestParentsOfFirstEdgePerZone(t *testing.T) {
	members := edgesIn(20, 3)
	require.Equal(t, []string{leader}, Parents(selfOf(members.Edges[0]), members, 0, leader))
	require.Equal(t, []string{leader}, Parents(selfOf(members.Edges[20]), members, 0, leader))
	require.Equal(t, []string{"z01-00:1", leader}, Parents(selfOf(members.Edges[21]), members, 0, leader))
}

func TestParentsWithinZone(t *testing.T) {
	members := edgesIn(20)
	require.Equal(t, []string{"z00-00:1", leader}, Parents(selfOf(members.Edges[8]), members, 0, leader))
	require.Equal(t, []string{"z00-01:1", "z00-00:1", leader}, Parents(selfOf(members.Edges[9]), members, 0, leader))
}

func TestParentsAmongManyZones(t *testing.T) {
	members := edgesIn(1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	require.Equal(t, []string{leader}, Parents(selfOf(members.Edges[7]), members, 0, leader))
	require.Equal(t, []string{"z00-00:1", leader}, Parents(selfOf(members.Edges[8]), members, 0, leader))
}

func TestParentsOfUnlistedEdge(t *testing.T) {
	members := edgesIn(2)
	fresh := wire.Member{ID: "x", Address: "x:1", Zone: "z00", Edge: true}
	require.Equal(t, []string{"z00-00:1", leader}, Parents(fresh, members, 0, leader))
	require.Equal(t, []string{leader}, Parents(fresh, nil, 0, leader))
	fresh.Zone = "elsewhere"
	require.Equal(t, []string{leader}, Parents(fresh, members, 0, leader))
}

func TestParentsOfStores(t *testing.T) {
	members := edgesIn(2)
	store := wire.Member{ID: "s", Address: "s:1", Zone: "z00", Storage: true}
	require.Equal(t, []string{leader}, Parents(store, members, fanOut, leader))
	require.Equal(t, []string{"z00-00:1", leader}, Parents(store, members, fanOut+1, leader))
}

func TestTreeHasBoundedFanOutAndNoCycle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.SliceOfN(rapid.IntRange(1, 40), 1, 30).Draw(t, "zones")
		members := edgesIn(zones...)
		parent := make(map[string]string)
		children := make(map[string]int)
		for _, edge := range members.Edges {
			parents := Parents(selfOf(edge), members, 0, leader)
			require.Equal(t, leader, parents[len(parents)-1])
			parent[edge.Address] = parents[0]
			children[parents[0]]++
		}
		for address, count := range children {
			require.LessOrEqual(t, count, 2*fanOut, address)
		}
		for _, edge := range members.Edges {
			at, hops := edge.Address, 0
			for ; at != leader; hops++ {
				at = parent[at]
				require.Less(t, hops, 10)
			}
		}
	})
}
