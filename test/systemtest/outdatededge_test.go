package systemtest

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/test/standin/check"
	"ravendale/test/standin/client"
	"ravendale/test/standin/cluster"
	"ravendale/test/standin/protocol"
)

// Lengths of the faults in the tests of edges that have missed a change of the configuration.
const (
	changeSettles  = time.Second // until all edges but a frozen one apply a change
	newRouteLoad   = 1500 * time.Millisecond
	coreOutage     = 5 * time.Second // longer than convergeBound, and than the time for which a store keeps an edge's leases
	rateLimitDrain = 30 * time.Second
)

// outdatedEdge is the last zone's second edge: the first edge machine of each zone also runs a control process.
const (
	edgesPerZone = 2
	outdatedEdge = 2*edgesPerZone + 1
)

// coreMachines returns the processes on the machines of the core.
func (r *rig) coreMachines() []*cluster.Process {
	processes := append([]*cluster.Process(nil), r.system.Controls...)
	for i := 0; i < len(r.system.Edges); i += edgesPerZone {
		processes = append(processes, r.system.Edges[i])
	}
	return processes
}

// awaitDelivered waits until all accepted messages have ended at workers.
func (r *rig) awaitDelivered(limit time.Duration) {
	for deadline := time.Now().Add(limit); len(check.Undelivered(r.world.Record.History())) > 0 && time.Now().Before(deadline); {
		time.Sleep(100 * time.Millisecond)
	}
}

// missChange freezes an edge, and adds a route to a service with a rate limit meanwhile. The edges that run accept more
// messages on it than the service takes, so that the stores assign the rest to any edge. Then the core loses power as
// the frozen edge goes on: nobody can tell that edge of the route.
func (r *rig) missChange(whileOutdated func()) {
	r.t.Helper()
	outdated := r.system.Edges[outdatedEdge]
	endFreeze := r.world.Record.BeginFault(outdated.Node(), "freeze", false)
	require.NoError(r.t, outdated.Freeze())
	time.Sleep(changeSettles) // the clients' balancer takes it out of rotation
	added := route("added", false)
	added.Type, added.Service = protocol.TypeDeferred, "limited"
	r.patch(protocol.Patch{Upsert: protocol.Upsert{Routes: []protocol.Route{added}}})
	time.Sleep(changeSettles)
	r.loadTraffic(newRouteLoad, []client.Traffic{{Route: "added", Host: host, Target: "/added/a", Weight: 1, BodyBytes: 2048}})()
	assert.GreaterOrEqual(r.t, r.acceptedSince(0), minAccepted)

	core := r.coreMachines()
	for _, process := range core {
		defer r.world.Record.BeginFault(process.Node(), "kill", false)()
	}
	require.NoError(r.t, cluster.Each(core, (*cluster.Process).Kill))
	require.NoError(r.t, outdated.Thaw())
	defer endFreeze()
	time.Sleep(coreOutage)
	whileOutdated()
	require.NoError(r.t, cluster.Each(core, func(p *cluster.Process) error { return p.Start(false) }))
}

// twoEdgesPerZone gives each zone an edge machine that doesn't belong to the core.
func twoEdgesPerZone(spec *cluster.Spec) { spec.EdgesPerZone = edgesPerZone }

// Guards against review/1 (LOST): an edge that was frozen while a route was added dropped its messages after convergeMs
// as dead letters, while the core was away.
func TestEdgeThatMissedRouteLosesNoMessage(t *testing.T) {
	r := startWith(t, twoEdgesPerZone)
	r.missChange(func() {})
	r.awaitReady(len(r.system.Edges))
	r.awaitDelivered(rateLimitDrain)
	r.verify()
}

// CONFIG: an edge that has missed a route must not refuse its requests for good either: a client that gets 404 gives up.
func TestEdgeThatMissedRouteRefusesNoRequestForGood(t *testing.T) {
	r := startWith(t, twoEdgesPerZone)
	r.missChange(func() {
		address := r.system.EdgeAddresses()[outdatedEdge].HTTP
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/added/b", http.NoBody)
		require.NoError(t, err)
		request.Host = host
		request.Header.Set("Request-Id", "asked-of-outdated-edge")
		answer, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		defer func() { _ = answer.Body.Close() }()
		assert.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
		assert.NotEmpty(t, answer.Header.Get("Retry-After"))
	})
	r.awaitReady(len(r.system.Edges))
	r.awaitDelivered(rateLimitDrain)
	r.verify()
}
