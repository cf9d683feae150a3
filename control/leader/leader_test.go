package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

const (
	heartbeat = 300 // ms
	soon      = 8 * time.Second
	often     = 5 * time.Millisecond
	document  = `{"version":1,"routes":[],"backends":[],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
)

func TestAChangeReachesThirtyMembersThroughTheTree(t *testing.T) {
	f := newFleet(t, 1)
	f.configure(document, 0)
	f.setWorkers("a")
	f.lead(f.controls[0])
	edges := f.edges(3, 10)
	f.eventually("all are members", all(edges, hasMembers(30)))
	f.eventually("all have the workers", all(edges, hasWorkers("a")))
	f.eventually("all have the configuration", all(edges, func(p *process) bool { return p.Snapshot().Catalog != nil }))
	f.eventually("the leader feeds the zones' first only", func() bool { return f.controls[0].open.Load() == 30+3 })

	f.setWorkers("a", "b")
	f.eventually("all have the change", all(edges, hasWorkers("a", "b")))

	edges[0].kill() // it fed the rest of its zone
	rest := edges[1:]
	f.setWorkers("a", "b", "c")
	f.eventually("the change goes round it", all(rest, hasWorkers("a", "b", "c")))
	f.eventually("it is no member any more", all(rest, hasMembers(29)))
}

func TestANewLeaderKeepsWhatMembersKnow(t *testing.T) {
	f := newFleet(t, 2)
	f.setWorkers("a")
	f.lead(f.controls[0])
	edges := f.edges(2, 3)
	f.eventually("all are members", all(edges, hasMembers(6)))
	f.eventually("all have the workers", all(edges, hasWorkers("a")))
	before := edges[0].Snapshot().Versions[wire.TopicMembers].Term

	f.controls[0].depose()
	f.lead(f.controls[1])
	f.setWorkers("a", "b")
	f.eventually("the new leader is heard", all(edges, hasWorkers("a", "b")))
	f.eventually("and lists the members", all(edges, func(p *process) bool {
		return p.Snapshot().Versions[wire.TopicMembers].Term > before && hasMembers(6)(p)
	}))
	for _, p := range edges {
		require.Zero(t, p.shrunk.Load(), "nobody was missing in between")
	}
	late := f.member(wire.Member{Node: "late", Zone: "z0", Edge: true})
	f.eventually("one more joins", all([]*process{late}, hasMembers(7)))
}

// TestALeaderOfARestartedSystemCountsAllSchedulers has all processes end, and some come back.
func TestALeaderOfARestartedSystemCountsAllSchedulers(t *testing.T) {
	f := newFleet(t, 2)
	f.setWorkers("a")
	f.lead(f.controls[0])
	edges := f.edges(2, 3)
	f.eventually("all are members", all(edges, hasMembers(6)))
	f.eventually("they are kept", func() bool { return len(f.machine.Current().Edges) == 6 })
	f.controls[0].depose()
	for _, p := range edges {
		p.kill()
	}
	began := time.Now()
	f.lead(f.controls[1])
	var back []*process
	for _, p := range edges[:4] {
		back = append(back, f.member(wire.Member{Node: p.self.Node, Zone: p.self.Zone, Address: p.self.Address, Edge: true}))
	}
	f.eventually("those who are back have a list", all(back, func(p *process) bool { return p.Current() }))
	require.Less(t, time.Since(began), membersFirst, "at once")
	for _, p := range back {
		require.Len(t, p.Snapshot().Members.Edges, 6, "that counts the others too")
	}
	f.eventually("who does not come is dropped", all(back, hasMembers(4)))
	for _, p := range back {
		require.EqualValues(t, 2, p.shrunk.Load())
	}
	f.eventually("and no longer kept", func() bool { return len(f.machine.Current().Edges) == 4 })
}
