package systemtest

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/test/standin/client"
	"ravendale/test/standin/cluster"
	"ravendale/test/standin/protocol"
	"ravendale/test/standin/workers"
)

// minAccepted is the fraction of the messages that must be accepted once a fault has ended.
const minAccepted = 0.95

func TestNoFaults(t *testing.T) {
	r := start(t)
	r.load(5 * time.Second)()
	summary := r.verify()
	assert.Equal(t, summary.Sent, summary.Accepted, "without faults each message is accepted at the first attempt")
	assert.Zero(t, summary.Duplicates)
	assert.Less(t, summary.AcceptP99, 500*time.Millisecond)
}

func TestKilledStore(t *testing.T) {
	r := start(t)
	wait := r.load(6 * time.Second)
	time.Sleep(1500 * time.Millisecond)
	r.crash(r.system.Stores[:1], 1500*time.Millisecond, nil)
	over := r.world.Record.Now() + time.Second
	wait()
	assert.GreaterOrEqual(t, r.acceptedSince(over), minAccepted)
	r.verify()
}

func TestStoreLosesDisk(t *testing.T) {
	r := start(t)
	wait := r.load(7 * time.Second)
	time.Sleep(1500 * time.Millisecond)
	r.crash(r.system.Stores[1:2], 500*time.Millisecond, (*cluster.Process).Wipe)
	over := r.world.Record.Now() + time.Second
	wait()
	assert.GreaterOrEqual(t, r.acceptedSince(over), minAccepted)
	r.verify()
}

func TestKilledEdge(t *testing.T) {
	r := start(t)
	wait := r.load(6 * time.Second)
	time.Sleep(1500 * time.Millisecond)
	r.crash(r.system.Edges[:1], 1500*time.Millisecond, nil)
	wait()
	r.awaitEdge(0)
	r.verify()
}

func TestKilledControlProcesses(t *testing.T) {
	r := start(t)
	wait := r.load(9 * time.Second)
	for i := range r.system.Controls { // the leader is one of them
		r.crash(r.system.Controls[i:i+1], 500*time.Millisecond, nil)
		r.patch(protocol.Patch{Upsert: protocol.Upsert{Routes: []protocol.Route{extraRoute(500 + i)}}})
		time.Sleep(500 * time.Millisecond)
	}
	wait()
	assert.GreaterOrEqual(t, r.acceptedSince(0), minAccepted, "traffic does not depend on the control plane")
	r.verify()
}

func TestAllControlProcessesKilledAtOnce(t *testing.T) {
	r := start(t)
	wait := r.load(7 * time.Second)
	time.Sleep(time.Second)
	r.patch(protocol.Patch{Upsert: protocol.Upsert{Routes: []protocol.Route{extraRoute(700)}}})
	r.crash(r.system.Controls, 500*time.Millisecond, nil) // right after an acknowledgement
	r.verifyShownConfig()
	r.patch(protocol.Patch{Upsert: protocol.Upsert{Routes: []protocol.Route{extraRoute(800)}}})
	wait()
	assert.GreaterOrEqual(t, r.acceptedSince(0), minAccepted, "traffic does not depend on the control plane")
	r.verify()
}

func TestAllStoresKilledAtOnce(t *testing.T) {
	r := start(t)
	wait := r.load(6 * time.Second)
	time.Sleep(1500 * time.Millisecond)
	r.crash(r.system.Stores, 500*time.Millisecond, nil)
	over := r.world.Record.Now() + 2*time.Second
	wait()
	assert.GreaterOrEqual(t, r.acceptedSince(over), minAccepted)
	r.verify()
}

func TestRollOverAllEdges(t *testing.T) {
	r := start(t)
	wait := r.load(10 * time.Second)
	for i, edge := range r.system.Edges {
		r.roll(edge)
		r.awaitEdge(i)
	}
	wait()
	summary := r.verify()
	assert.Zero(t, summary.Duplicates, "no message runs twice when edges stop gracefully")
}

func TestRollOverAllStores(t *testing.T) {
	r := start(t)
	wait := r.load(9 * time.Second)
	for _, store := range r.system.Stores {
		r.roll(store)
		time.Sleep(1500 * time.Millisecond)
	}
	wait()
	assert.GreaterOrEqual(t, r.acceptedSince(0), minAccepted)
	r.verify()
}

// Dead letters and their bodies survive a roll over all stores, including messages accepted while the placement changed
// and copies that a restarted store received from other stores.
func TestDeadLettersSurviveRollOverAllStores(t *testing.T) {
	r := start(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.clients.Run(t.Context(), client.Load{
			RatePerS: 2 * rate, Duration: 6 * time.Second,
			Traffic: []client.Traffic{{Route: "refusing", Host: host, Target: "/refusing/a", BodyBytes: 2048}},
		})
	}()
	for _, store := range r.system.Stores {
		time.Sleep(1200 * time.Millisecond)
		r.roll(store)
	}
	<-done
	r.verify()
}

// extraRoute returns a route to the plain service with the given timeout in milliseconds.
func extraRoute(timeout int) protocol.Route {
	extra := route("extra", false)
	extra.Type, extra.Service, extra.TimeoutMs = protocol.TypeDeferred, "plain", float64(timeout)
	return extra
}

func TestConfigurationChangesUnderLoad(t *testing.T) {
	r := start(t)
	wait := r.load(6 * time.Second)
	extra := func(duration time.Duration) {
		r.clients.Run(t.Context(), client.Load{
			RatePerS: 40, Duration: duration,
			Traffic: []client.Traffic{{Route: "extra", Host: host, Target: "/extra/a", BodyBytes: 100}},
		})
	}
	r.patch(protocol.Patch{Upsert: protocol.Upsert{Routes: []protocol.Route{extraRoute(900)}}})
	extra(convergeBound + time.Second)
	added := r.world.Record.Now()
	r.patch(protocol.Patch{Delete: protocol.Delete{Routes: []string{"extra"}}})
	extra(convergeBound + 500*time.Millisecond)
	wait()

	lost, err := r.operator.Set(r.within(ackBound), 1, r.world.Config(r.config.Version+5, r.config.Limits))
	require.NoError(t, err)
	assert.Equal(t, http.StatusPreconditionFailed, lost.Status, "the base version is outdated")
	invalid := r.config
	invalid.Version += 5
	invalid.Routes = append([]protocol.Route{{Name: "x", Host: "x", PathPrefix: "/", Type: protocol.TypeDeferred, TimeoutMs: 1, Service: "nobody"}}, invalid.Routes...)
	refused, err := r.operator.Set(r.within(ackBound), r.config.Version, invalid)
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadRequest, refused.Status)

	r.verify()
	missing := 0
	for _, send := range r.world.Record.History().Sends {
		if send.Route == "extra" && send.Sent > added && send.Status == http.StatusNotFound {
			missing++
		}
	}
	assert.NotZero(t, missing, "the removed route is no longer served")
}

func TestWorkerFaults(t *testing.T) {
	r := start(t)
	wait := r.load(7 * time.Second)
	ordered, flaky, plain := r.world.Fleet.Workers("ordered"), r.world.Fleet.Workers("flaky"), r.world.Fleet.Workers("plain")
	time.Sleep(500 * time.Millisecond)
	flaky[0].SetFaults(workers.Faults{AnswerFaults: workers.AnswerFaults{DuplicatedShare: 0.3}})
	plain[0].SetFaults(workers.Faults{AnswerFaults: workers.AnswerFaults{TruncatedShare: 0.3, NeverSentShare: 0.1}})
	ordered[0].SetFaults(workers.Faults{Slow: 5})
	_, err := r.world.Replace(ordered[1], drainBound+500*time.Millisecond)
	require.NoError(t, err)
	_, err = r.world.Replace(flaky[1], drainBound+500*time.Millisecond)
	require.NoError(t, err)
	time.Sleep(2 * time.Second)
	plain[1].SetFaults(workers.Faults{Unresponsive: true})
	r.world.Crash(flaky[2], time.Second)
	time.Sleep(2 * time.Second)
	for _, worker := range []*workers.Worker{flaky[0], plain[0], plain[1], ordered[0]} {
		worker.SetFaults(workers.Faults{})
	}
	wait()
	assert.GreaterOrEqual(t, r.acceptedSince(0), minAccepted, "acceptance does not depend on workers")
	r.verify()
}

func TestFrozenStore(t *testing.T) {
	r := start(t)
	wait := r.load(6 * time.Second)
	time.Sleep(1500 * time.Millisecond)
	store := r.system.Stores[2]
	thawed := r.world.Record.BeginFault(store.Node(), "freeze", false)
	require.NoError(t, store.Freeze())
	time.Sleep(1500 * time.Millisecond)
	require.NoError(t, store.Thaw())
	thawed()
	wait()
	r.verify()
}
