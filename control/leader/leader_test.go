package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

const (
	heartbeat    = 300 // ms
	timeout      = 8 * time.Second
	pollInterval = 5 * time.Millisecond
	document     = `{"version":1,"routes":[],"backends":[],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
)

func TestChangesReachAllMembersThroughRelayTree(t *testing.T) {
	f := newFleet(t, 1)
	f.configure(document, 0)
	f.setWorkers("a")
	f.lead(f.controls[0])
	edges := f.startEdges(3, 10)
	f.eventually("all edges are members", all(edges, hasMembers(30)))
	f.eventually("all edges have the list of workers", all(edges, hasWorkers("a")))
	f.eventually("all edges have the configuration", all(edges, func(p *process) bool { return p.Snapshot().Catalog != nil }))
	f.eventually("only the first edge of each zone is subscribed to the leader", func() bool { return f.controls[0].open.Load() == 30+3 })

	f.setWorkers("a", "b")
	f.eventually("all edges have the changed list", all(edges, hasWorkers("a", "b")))

	edges[0].kill() // the parent of the rest of its zone in the relay tree
	rest := edges[1:]
	f.setWorkers("a", "b", "c")
	f.eventually("the change reaches the rest without it", all(rest, hasWorkers("a", "b", "c")))
	f.eventually("it is removed from the list of members", all(rest, hasMembers(29)))
}

func TestNewLeaderAdoptsMembersAndWorkers(t *testing.T) {
	f := newFleet(t, 2)
	f.setWorkers("a")
	f.lead(f.controls[0])
	edges := f.startEdges(2, 3)
	f.eventually("all edges are members", all(edges, hasMembers(6)))
	f.eventually("all edges have the list of workers", all(edges, hasWorkers("a")))
	earlierTerm := edges[0].Snapshot().Versions[wire.TopicMembers].Term

	f.controls[0].depose()
	f.lead(f.controls[1])
	f.setWorkers("a", "b")
	f.eventually("all edges have the new leader's list of workers", all(edges, hasWorkers("a", "b")))
	f.eventually("all edges have the new leader's list of members", all(edges, func(p *process) bool {
		return p.Snapshot().Versions[wire.TopicMembers].Term > earlierTerm && hasMembers(6)(p)
	}))
	for _, p := range edges {
		require.Zero(t, p.shrunk.Load(), "no list was shorter in between")
	}
	added := f.startMember(wire.Member{Node: "late", Zone: "z0", Edge: true})
	f.eventually("another edge joins", all([]*process{added}, hasMembers(7)))
}

// TestRestartedSystemListsSavedSchedulers stops the leader and all edges, and restarts only some of the edges under a
// new leader.
func TestRestartedSystemListsSavedSchedulers(t *testing.T) {
	f := newFleet(t, 2)
	f.setWorkers("a")
	f.lead(f.controls[0])
	edges := f.startEdges(2, 3)
	f.eventually("all edges are members", all(edges, hasMembers(6)))
	f.eventually("the schedulers are saved", func() bool { return len(f.machine.Current().Edges) == 6 })
	f.controls[0].depose()
	for _, p := range edges {
		p.kill()
	}
	began := time.Now()
	f.lead(f.controls[1])
	var restarted []*process
	for _, p := range edges[:4] {
		restarted = append(restarted, f.startMember(wire.Member{Node: p.self.Node, Zone: p.self.Zone, Address: p.self.Address, Edge: true}))
	}
	f.eventually("the restarted edges have a list of members", all(restarted, func(p *process) bool { return p.Current() }))
	require.Less(t, time.Since(began), firstMembersDelay, "the saved list is published without firstMembersDelay")
	for _, p := range restarted {
		require.Len(t, p.Snapshot().Members.Edges, 6, "the list includes the edges that are still down")
	}
	f.eventually("edges that do not renew are dropped", all(restarted, hasMembers(4)))
	for _, p := range restarted {
		require.EqualValues(t, 2, p.shrunk.Load())
	}
	f.eventually("they are removed from the saved list", func() bool { return len(f.machine.Current().Edges) == 4 })
}
