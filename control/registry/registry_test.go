package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravendale/cluster/wire"
)

const ms = time.Millisecond

func testConfig() Config { return DefaultConfig(1000 * ms) }

func edge(id, node, zone string) *wire.Renew {
	return &wire.Renew{Member: wire.Member{ID: id, Node: node, Address: node + ":1", Zone: zone, Edge: true, Ready: true}}
}

func store(id, node string) *wire.Renew {
	return &wire.Renew{
		Member: wire.Member{ID: id, Node: node, Address: node + ":2", Zone: "z", Storage: true, Disk: "disk-" + node, Ready: true},
	}
}

func renew(r *Registry, now time.Duration, link uint64, message *wire.Renew) Changes {
	_, changes := r.Renew(now, link, message)
	return changes
}

// run calls Tick whenever Next asks for it, until a time.
func run(r *Registry, until time.Duration) Changes {
	var changes Changes
	for {
		next, ok := r.Next()
		if !ok || next > until {
			return changes
		}
		changes.add(r.Tick(next))
	}
}

func TestMembersChangeOnlyWhenTheirTopicDoes(t *testing.T) {
	r := New(testConfig())
	require.Equal(t, Changes{Members: true}, renew(r, 0, 1, edge("a", "n2", "z1")))
	require.Equal(t, Changes{}, renew(r, 800*ms, 1, edge("a", "n2", "z1")))
	require.Equal(t, Changes{Members: true}, renew(r, 900*ms, 2, edge("b", "n1", "z1")))
	require.Equal(t, Changes{Members: true}, renew(r, 900*ms, 3, edge("c", "n9", "z0")))
	edges := r.Edges()
	require.Equal(t, []string{"c", "b", "a"}, []string{edges[0].ID, edges[1].ID, edges[2].ID}, "by zone and node")
	unready := edge("a", "n2", "z1")
	unready.Member.Ready = false
	require.Equal(t, Changes{Members: true}, renew(r, 1000*ms, 1, unready))
	require.False(t, r.Edges()[2].Ready)
}

func TestAnEdgeExpiresAfterItsLease(t *testing.T) {
	r := New(testConfig())
	renew(r, 0, 1, edge("a", "n", "z"))
	require.Equal(t, Changes{}, run(r, 1999*ms))
	require.Equal(t, Changes{Members: true}, run(r, 2000*ms))
	require.Empty(t, r.Edges())
}

func TestAStoreExpiresSoonerAndSoonestWhenItsConnectionBroke(t *testing.T) {
	r := New(testConfig())
	require.Equal(t, Changes{Stores: true}, renew(r, 0, 1, store("a", "n")))
	require.Equal(t, Changes{}, run(r, 699*ms))
	require.Equal(t, Changes{Stores: true, Urgent: true}, run(r, 700*ms))
	renew(r, 1000*ms, 1, store("a", "n"))
	require.Equal(t, Changes{}, r.Disconnected(1010*ms, 1))
	require.Len(t, r.Stores(), 1, "it may connect again")
	require.Equal(t, Changes{Stores: true, Urgent: true}, run(r, 1160*ms))
}

func TestAnEdgeWhoseConnectionBrokeKeepsItsLease(t *testing.T) {
	r := New(testConfig())
	renew(r, 0, 1, edge("a", "n", "z"))
	r.Disconnected(10*ms, 1)
	require.Equal(t, Changes{}, run(r, 1999*ms), "it may act by it")
	require.Equal(t, Changes{Members: true}, run(r, 2000*ms))
}

func TestABrokenConnectionThatIsMadeAgainMeansNothing(t *testing.T) {
	r := New(testConfig())
	renew(r, 0, 1, store("a", "n"))
	r.Disconnected(10*ms, 1)
	require.Equal(t, Changes{}, renew(r, 100*ms, 2, store("a", "n")))
	r.Disconnected(110*ms, 1)
	require.Equal(t, Changes{}, run(r, 799*ms), "the old connection says nothing any more")
}

func TestALeavingStoreStaysUntilItsConnectionEnds(t *testing.T) {
	r := New(testConfig())
	renew(r, 0, 1, store("a", "n"))
	leaving := store("a", "n")
	leaving.Member.Leaving = true
	require.Equal(t, Changes{Stores: true, Urgent: true}, renew(r, 10*ms, 1, leaving))
	require.True(t, r.Stores()[0].Member.Leaving)
	require.Equal(t, Changes{Stores: true, Urgent: true}, r.Disconnected(20*ms, 1))
	require.Empty(t, r.Stores())
}

func TestALeavingEdgeIsNotReady(t *testing.T) {
	r := New(testConfig())
	renew(r, 0, 1, edge("a", "n", "z"))
	leaving := edge("a", "n", "z")
	leaving.Member.Leaving = true
	require.Equal(t, Changes{Members: true}, renew(r, 10*ms, 1, leaving))
	require.False(t, r.Edges()[0].Ready)
}

func TestARestartReplacesTheProcessBefore(t *testing.T) {
	r := New(testConfig())
	renew(r, 0, 1, edge("old", "n", "z"))
	require.Equal(t, Changes{Members: true}, renew(r, 10*ms, 2, edge("new", "n", "z")))
	require.Len(t, r.Edges(), 1)
	lease, changes := r.Renew(20*ms, 1, edge("old", "n", "z"))
	require.Zero(t, lease, "a late renewal of the old one is not granted")
	require.Equal(t, Changes{}, changes)
	require.Equal(t, "new", r.Edges()[0].ID)
}

func TestAnEdgeAndAStoreOfOneMachineAreTwo(t *testing.T) {
	r := New(testConfig())
	renew(r, 0, 1, edge("a", "n", "z"))
	renew(r, 0, 2, store("b", "n"))
	require.Len(t, r.Edges(), 1)
	require.Len(t, r.Stores(), 1)
}

func TestStoresChangeWithWhatTheySayOfPartitions(t *testing.T) {
	r := New(testConfig())
	renew(r, 0, 1, store("a", "n"))
	announced := store("a", "n")
	announced.Store.Pending, announced.Store.Messages = 5, 9
	require.Equal(t, Changes{}, renew(r, 10*ms, 1, announced))
	announced.Store.Synced = []uint16{3}
	require.Equal(t, Changes{Stores: true}, renew(r, 20*ms, 1, announced))
	require.Equal(t, []uint16{3}, r.Stores()[0].Status.Synced)
}

func TestAdoptedEdgesHaveALeaseToRenew(t *testing.T) {
	r := New(testConfig())
	known := &wire.Members{Edges: []wire.Edge{
		{ID: "a", Node: "n1", Address: "n1:1", Zone: "z"}, {ID: "b", Node: "n2", Address: "n2:1", Zone: "z"},
	}}
	require.Equal(t, Changes{Members: true}, r.Adopt(0, known))
	require.False(t, r.Heard())
	renew(r, 500*ms, 1, edge("a", "n1", "z"))
	require.Equal(t, Changes{Members: true}, run(r, 2100*ms))
	require.Len(t, r.Edges(), 1)
	require.True(t, r.Heard())
	require.Equal(t, Changes{}, r.Adopt(2200*ms, &wire.Members{Edges: known.Edges[:1]}), "who renewed is known better")
}

func TestALeaderThatStoodStillBlamesNobody(t *testing.T) {
	r := New(testConfig())
	renew(r, 0, 1, edge("a", "n1", "z"))
	renew(r, 0, 2, store("b", "n2"))
	require.Equal(t, Changes{}, r.Tick(5000*ms), "frozen for five seconds")
	require.Len(t, r.Edges(), 1)
	require.Len(t, r.Stores(), 1)
	require.Equal(t, Changes{Stores: true, Members: true, Urgent: true}, run(r, 10000*ms), "they had their time again")
}

func TestNamelessMembersGetNothing(t *testing.T) {
	lease, _ := New(testConfig()).Renew(0, 1, edge("", "n", "z"))
	require.Zero(t, lease)
}

// TestWhoRenewsInTimeStays plays renewals and breaks of one member: it is never lost within its lease unless a connection broke.
func TestWhoRenewsInTimeStays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(testConfig())
		now := time.Duration(0)
		renew(r, now, 1, store("a", "n"))
		for range rapid.IntRange(1, 50).Draw(t, "renewals") {
			now += time.Duration(rapid.IntRange(1, 699).Draw(t, "pause")) * ms
			require.Equal(t, Changes{}, run(r, now))
			renew(r, now, 1, store("a", "n"))
			require.Len(t, r.Stores(), 1)
		}
	})
}
