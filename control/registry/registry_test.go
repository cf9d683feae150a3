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

func edgeRenewal(id, node, zone string) *wire.Renew {
	return &wire.Renew{Member: wire.Member{ID: id, Node: node, Address: node + ":1", Zone: zone, Edge: true, Ready: true}}
}

func storeRenewal(id, node string) *wire.Renew {
	return &wire.Renew{
		Member: wire.Member{ID: id, Node: node, Address: node + ":2", Zone: "z", Storage: true, Disk: "disk-" + node, Ready: true},
	}
}

func renew(r *Registry, now time.Duration, connection uint64, message *wire.Renew) Changes {
	_, changes := r.Renew(now, connection, message)
	return changes
}

// tickUntil calls Tick at each time that Next returns, up to and including until, and returns the combined changes.
func tickUntil(r *Registry, until time.Duration) Changes {
	var changes Changes
	for {
		next, ok := r.Next()
		if !ok || next > until {
			return changes
		}
		changes.add(r.Tick(next))
	}
}

func TestRenewReportsMemberChanges(t *testing.T) {
	r := New(testConfig())
	require.Equal(t, Changes{Members: true}, renew(r, 0, 1, edgeRenewal("a", "n2", "z1")))
	require.Equal(t, Changes{}, renew(r, 800*ms, 1, edgeRenewal("a", "n2", "z1")))
	require.Equal(t, Changes{Members: true}, renew(r, 900*ms, 2, edgeRenewal("b", "n1", "z1")))
	require.Equal(t, Changes{Members: true}, renew(r, 900*ms, 3, edgeRenewal("c", "n9", "z0")))
	edges := r.Edges()
	require.Equal(t, []string{"c", "b", "a"}, []string{edges[0].ID, edges[1].ID, edges[2].ID}, "ordered by zone and node")
	unready := edgeRenewal("a", "n2", "z1")
	unready.Member.Ready = false
	require.Equal(t, Changes{Members: true}, renew(r, 1000*ms, 1, unready))
	require.False(t, r.Edges()[2].Ready)
}

func TestEdgeExpiresAfterLease(t *testing.T) {
	r := New(testConfig())
	renew(r, 0, 1, edgeRenewal("a", "n", "z"))
	require.Equal(t, Changes{}, tickUntil(r, 1999*ms))
	require.Equal(t, Changes{Members: true}, tickUntil(r, 2000*ms))
	require.Empty(t, r.Edges())
}

func TestStoreExpiresAfterLeaseOrDisconnect(t *testing.T) {
	r := New(testConfig())
	require.Equal(t, Changes{Stores: true}, renew(r, 0, 1, storeRenewal("a", "n")))
	require.Equal(t, Changes{}, tickUntil(r, 699*ms))
	require.Equal(t, Changes{Stores: true, Urgent: true}, tickUntil(r, 700*ms))
	renew(r, 1000*ms, 1, storeRenewal("a", "n"))
	require.Equal(t, Changes{}, r.Disconnected(1010*ms, 1))
	require.Len(t, r.Stores(), 1, "the store may still reconnect")
	require.Equal(t, Changes{Stores: true, Urgent: true}, tickUntil(r, 1160*ms))
}

func TestDisconnectedEdgeKeepsLease(t *testing.T) {
	r := New(testConfig())
	renew(r, 0, 1, edgeRenewal("a", "n", "z"))
	r.Disconnected(10*ms, 1)
	require.Equal(t, Changes{}, tickUntil(r, 1999*ms), "an edge may act on its lease until it ends")
	require.Equal(t, Changes{Members: true}, tickUntil(r, 2000*ms))
}

func TestReconnectedStoreDoesNotExpire(t *testing.T) {
	r := New(testConfig())
	renew(r, 0, 1, storeRenewal("a", "n"))
	r.Disconnected(10*ms, 1)
	require.Equal(t, Changes{}, renew(r, 100*ms, 2, storeRenewal("a", "n")))
	r.Disconnected(110*ms, 1)
	require.Equal(t, Changes{}, tickUntil(r, 799*ms), "the end of the old connection has no effect after a renewal over a new one")
}

func TestLeavingStoreIsDroppedOnDisconnect(t *testing.T) {
	r := New(testConfig())
	renew(r, 0, 1, storeRenewal("a", "n"))
	leaving := storeRenewal("a", "n")
	leaving.Member.Leaving = true
	require.Equal(t, Changes{Stores: true, Urgent: true}, renew(r, 10*ms, 1, leaving))
	require.True(t, r.Stores()[0].Member.Leaving)
	require.Equal(t, Changes{Stores: true, Urgent: true}, r.Disconnected(20*ms, 1))
	require.Empty(t, r.Stores())
}

func TestLeavingEdgeIsNotReady(t *testing.T) {
	r := New(testConfig())
	renew(r, 0, 1, edgeRenewal("a", "n", "z"))
	leaving := edgeRenewal("a", "n", "z")
	leaving.Member.Leaving = true
	require.Equal(t, Changes{Members: true}, renew(r, 10*ms, 1, leaving))
	require.False(t, r.Edges()[0].Ready)
}

func TestRestartReplacesPreviousProcess(t *testing.T) {
	r := New(testConfig())
	renew(r, 0, 1, edgeRenewal("old", "n", "z"))
	require.Equal(t, Changes{Members: true}, renew(r, 10*ms, 2, edgeRenewal("new", "n", "z")))
	require.Len(t, r.Edges(), 1)
	lease, changes := r.Renew(20*ms, 1, edgeRenewal("old", "n", "z"))
	require.Zero(t, lease, "a late renewal of the replaced process is refused")
	require.Equal(t, Changes{}, changes)
	require.Equal(t, "new", r.Edges()[0].ID)
}

func TestEdgeAndStoreOnOneMachineAreSeparateMembers(t *testing.T) {
	r := New(testConfig())
	renew(r, 0, 1, edgeRenewal("a", "n", "z"))
	renew(r, 0, 2, storeRenewal("b", "n"))
	require.Len(t, r.Edges(), 1)
	require.Len(t, r.Stores(), 1)
}

func TestRenewReportsStoreStatusChanges(t *testing.T) {
	r := New(testConfig())
	renew(r, 0, 1, storeRenewal("a", "n"))
	announced := storeRenewal("a", "n")
	announced.Store.Pending, announced.Store.Messages = 5, 9
	require.Equal(t, Changes{}, renew(r, 10*ms, 1, announced))
	announced.Store.Synced = []uint16{3}
	require.Equal(t, Changes{Stores: true}, renew(r, 20*ms, 1, announced))
	require.Equal(t, []uint16{3}, r.Stores()[0].Status.Synced)
}

func TestAdoptedEdgesExpireUnlessRenewed(t *testing.T) {
	r := New(testConfig())
	known := &wire.Members{Edges: []wire.Edge{
		{ID: "a", Node: "n1", Address: "n1:1", Zone: "z"}, {ID: "b", Node: "n2", Address: "n2:1", Zone: "z"},
	}}
	require.Equal(t, Changes{Members: true}, r.Adopt(0, known))
	require.False(t, r.AdoptionComplete())
	renew(r, 500*ms, 1, edgeRenewal("a", "n1", "z"))
	require.Equal(t, Changes{Members: true}, tickUntil(r, 2100*ms))
	require.Len(t, r.Edges(), 1)
	require.True(t, r.AdoptionComplete())
	require.Equal(t, Changes{}, r.Adopt(2200*ms, &wire.Members{Edges: known.Edges[:1]}), "an entry that has renewed is not adopted again")
}

func TestLeaderPausePostponesDeadlines(t *testing.T) {
	r := New(testConfig())
	renew(r, 0, 1, edgeRenewal("a", "n1", "z"))
	renew(r, 0, 2, storeRenewal("b", "n2"))
	require.Equal(t, Changes{}, r.Tick(5000*ms), "the leader was paused for five seconds")
	require.Len(t, r.Edges(), 1)
	require.Len(t, r.Stores(), 1)
	require.Equal(t, Changes{Stores: true, Members: true, Urgent: true}, tickUntil(r, 10000*ms), "members expire after the postponed deadlines")
}

func TestMemberWithoutIDGetsNoLease(t *testing.T) {
	lease, _ := New(testConfig()).Renew(0, 1, edgeRenewal("", "n", "z"))
	require.Zero(t, lease)
}

// TestTimelyRenewalsPreventExpiry renews a store after random pauses shorter than its lease: it must never expire.
func TestTimelyRenewalsPreventExpiry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(testConfig())
		now := time.Duration(0)
		renew(r, now, 1, storeRenewal("a", "n"))
		for range rapid.IntRange(1, 50).Draw(t, "renewals") {
			now += time.Duration(rapid.IntRange(1, 699).Draw(t, "pause")) * ms
			require.Equal(t, Changes{}, tickUntil(r, now))
			renew(r, now, 1, storeRenewal("a", "n"))
			require.Len(t, r.Stores(), 1)
		}
	})
}
