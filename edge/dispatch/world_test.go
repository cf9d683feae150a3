package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

const ms = time.Millisecond

// world drives a Core by a clock of its own.
type world struct {
	t       *testing.T
	core    *Core
	now     time.Duration
	config  catalog.Config
	workers wire.Workers

	deliveries []Deliver
	cancels    []Cancel
	reports    []wire.Report
}

// edgesOf lists edges of zone z1.
func edgesOf(ids ...string) (edges []wire.Edge) {
	for _, id := range ids {
		edges = append(edges, wire.Edge{ID: id, Zone: "z1"})
	}
	return edges
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, now: time.Second}
	w.core = NewCore(Config{
		Topology: Topology{Edge: "e1", Zone: "z1", Zones: []string{"z1", "z2"}, Edges: edgesOf("e1")},
		Window:   5 * time.Second, Overshoot: 1.1, ConvergenceTime: 3 * time.Second, Seed: 1,
	})
	w.config = catalog.Config{
		Version: 1,
		Routes: []catalog.Route{
			{Name: "plain", Host: "a.example", PathPrefix: "/p/", Type: DeferredType, Service: "s", TimeoutMs: 600, Retries: 3, RetentionS: 90},
			{Name: "safe", Host: "a.example", PathPrefix: "/s/", Type: DeferredType, Service: "safe", TimeoutMs: 600, Retries: 3, RetentionS: 90},
			{Name: "limited", Host: "a.example", PathPrefix: "/l/", Type: DeferredType, Service: "limited", TimeoutMs: 600, Retries: 3, RetentionS: 90},
		},
		Services: []catalog.Service{
			{Name: "s", MaxConns: 100}, {Name: "safe", MaxConns: 100, Idempotent: true},
			{Name: "limited", MaxConns: 10, RatePerS: 4, Endpoint: "10.0.0.9:80"},
		},
	}
	for _, service := range []string{"s", "safe"} {
		for i := range 3 {
			w.workers.Entries = append(w.workers.Entries, wire.Worker{
				ID: fmt.Sprintf("%s-%d", service, i), Service: service, Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: "z1", Capacity: 4,
			})
		}
	}
	w.configure()
	w.listWorkers()
	return w
}

func (w *world) configure() {
	config := w.config
	config.Routes = append([]catalog.Route(nil), config.Routes...)
	config.Services = append([]catalog.Service(nil), config.Services...)
	w.apply(w.core.ApplyConfig(w.now, catalog.NewIndex(&config)))
}

func (w *world) listWorkers() {
	workers := wire.Workers{Entries: append([]wire.Worker(nil), w.workers.Entries...)}
	w.apply(w.core.SetWorkers(w.now, &workers))
}

func (w *world) apply(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Deliver:
			w.deliveries = append(w.deliveries, a)
		case Cancel:
			w.cancels = append(w.cancels, a)
		case Report:
			w.reports = append(w.reports, a.Report)
		}
	}
}

// pass lets time go by, ticking when the core wants to be.
func (w *world) pass(span time.Duration) {
	until := w.now + span
	for w.core.Next() <= until {
		w.now = max(w.now, w.core.Next())
		w.apply(w.core.Tick(w.now))
	}
	w.now = until
}

func messageTo(path, id string) *wire.Message {
	return &wire.Message{
		ID: "0." + id, RequestID: id, Method: "POST", Host: "a.example", Target: path, Body: []byte("body"),
		RetentionMs: 90000, Retries: 3,
	}
}

func (w *world) accept(path, id string) { w.apply(w.core.Accept(w.now, messageTo(path, id), false)) }

// sent returns the only delivery since the last look.
func (w *world) sent() Deliver {
	w.t.Helper()
	require.Len(w.t, w.deliveries, 1)
	d := w.deliveries[0]
	w.deliveries = nil
	return d
}

func (w *world) sentNothing() {
	w.t.Helper()
	require.Empty(w.t, w.deliveries)
}

func (w *world) end(d Deliver, outcome worker.Outcome) {
	result := worker.Result{Outcome: outcome, Took: 10 * ms}
	if outcome == worker.Done {
		result.Signature = "sig"
	}
	w.apply(w.core.FinishAttempt(w.now, d.Job, d.Attempt, result))
}

func (w *world) reported() wire.Report {
	w.t.Helper()
	require.Len(w.t, w.reports, 1)
	r := w.reports[0]
	w.reports = nil
	return r
}
