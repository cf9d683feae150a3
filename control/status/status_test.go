package status

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
	"ravendale/control/core"
	"ravendale/control/state"
	"ravendale/control/view"
)

func TestCoreOf(t *testing.T) {
	coreStatus := core.Status{
		ID: 0x1f, Epoch: 3, Chain: []view.ID{0x1f, 2}, Attached: true, Durable: true, Last: 9, Committed: 8, Leader: "10.0.0.1:7000", RequiredVoters: 3,
		Voters: []view.Member{{ID: 0x1f, Address: "10.0.0.1:7000", Zone: "a"}, {ID: 2, Address: "10.0.0.2:7000", Zone: "b"}},
	}
	require.Equal(t, Core{
		Disk: "1f", Epoch: 3, Chain: []string{"1f", "2"}, Attached: true, Durable: true, Last: 9, Committed: 8, Leader: "10.0.0.1:7000", Term: 4, RequiredVoters: 3,
		Voters: []Voter{{"1f", "10.0.0.1:7000", "a"}, {"2", "10.0.0.2:7000", "b"}},
	}, CoreOf(coreStatus, 4))
	encoded, err := json.Marshal(CoreOf(core.Status{}, 0))
	require.NoError(t, err)
	require.Contains(t, string(encoded), `"voters":[],"chain":[]`, "empty lists are encoded as [], not as null")
	require.NotContains(t, string(encoded), `"disk"`)
	require.Equal(t, Config{Version: 7, Sequence: 2}, ConfigOf(&state.Snapshot{Version: 7, Sequence: 2}))
}

func TestPlacementOfCountsPartitionsByStore(t *testing.T) {
	require.Nil(t, PlacementOf(nil))
	counted := PlacementOf(&wire.StoreView{
		Epoch: 5, Copies: 2,
		Stores: []wire.Store{{Node: "s-0", Zone: "a", Disk: "d0"}, {Node: "s-1", Zone: "b", Disk: "d1", Retiring: true}},
		Partitions: []wire.Placement{
			{Replicas: []uint16{0, 1}}, {Replicas: []uint16{1}, Joining: []uint16{0}}, {},
		},
	})
	require.Equal(t, &Placement{
		Epoch: 5, Copies: 2, Partitions: 3, UnderReplicated: 2, WithoutReplicas: 1,
		Stores: []Store{
			{Node: "s-0", Zone: "a", Disk: "d0", Primaries: 1, Replicas: 1, Joining: 1},
			{Node: "s-1", Zone: "b", Disk: "d1", Retiring: true, Primaries: 1, Replicas: 2},
		},
	}, counted)
}

func TestMembersOfCountsByZone(t *testing.T) {
	edges := []wire.Edge{{Zone: "b", Ready: true}, {Zone: "a"}, {Zone: "b", Ready: true}, {Zone: "b"}}
	stores := []StoreLease{{Zone: "a", Epoch: 4, Pending: 3}, {Zone: "a", Epoch: 3, Pending: 2}, {Zone: "a", Epoch: 4, Leaving: true}}
	require.Equal(t, &Members{
		Edges:  []ZoneEdges{{Zone: "a", NotReady: 1}, {Zone: "b", Ready: 2, NotReady: 1}},
		Stores: []ZoneStores{{Zone: "a", Live: 3, Leaving: 1, Behind: 1, Pending: 5}},
	}, MembersOf(edges, stores, 4))
	require.Equal(t, &Members{Edges: []ZoneEdges{}, Stores: []ZoneStores{}}, MembersOf(nil, nil, 0))
}
