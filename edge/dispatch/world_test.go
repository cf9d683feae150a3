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

// harness drives a Core with a simulated clock, and collects its actions.
type harness struct {
	t       *testing.T
	core    *Core
	now     time.Duration
	config  catalog.Config
	workers wire.Workers

	deliveries []Deliver
	cancels    []Cancel
	reports    []wire.Report
}

// edgesOf returns edges of zone z1.
func edgesOf(ids ...string) (edges []wire.Edge) {
	for _, id := range ids {
		edges = append(edges, wire.Edge{ID: id, Zone: "z1"})
	}
	return edges
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, now: time.Second}
	h.core = NewCore(Config{
		Topology: Topology{Edge: "e1", Zone: "z1", Zones: []string{"z1", "z2"}, Edges: edgesOf("e1")},
		Window:   5 * time.Second, Overshoot: 1.1, Seed: 1,
	})
	h.config = catalog.Config{
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
			h.workers.Entries = append(h.workers.Entries, wire.Worker{
				ID: fmt.Sprintf("%s-%d", service, i), Service: service, Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: "z1", Capacity: 4,
			})
		}
	}
	h.configure()
	h.listWorkers()
	return h
}

func (h *harness) configure() {
	config := h.config
	config.Routes = append([]catalog.Route(nil), config.Routes...)
	config.Services = append([]catalog.Service(nil), config.Services...)
	h.record(h.core.ApplyConfig(h.now, catalog.NewIndex(&config)))
}

// confirm confirms that the configuration is the newest now, as each renewal of the membership lease does.
func (h *harness) confirm() {
	h.record(h.core.ConfirmConfig(h.now, h.now))
	h.record(h.core.Tick(h.now))
}

// grant passes a grant to the core, and then the next confirmation of the configuration.
func (h *harness) grant(g *wire.Grant) {
	h.record(h.core.Grant(h.now, g))
	h.confirm()
}

func (h *harness) listWorkers() {
	workers := wire.Workers{Entries: append([]wire.Worker(nil), h.workers.Entries...)}
	h.record(h.core.SetWorkers(h.now, &workers))
}

func (h *harness) record(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Deliver:
			h.deliveries = append(h.deliveries, a)
		case Cancel:
			h.cancels = append(h.cancels, a)
		case Report:
			h.reports = append(h.reports, a.Report)
		}
	}
}

// advance advances the clock by a span, and ticks the core whenever it is due.
func (h *harness) advance(span time.Duration) {
	until := h.now + span
	for h.core.Next() <= until {
		h.now = max(h.now, h.core.Next())
		h.record(h.core.Tick(h.now))
	}
	h.now = until
}

func messageTo(path, id string) *wire.Message {
	return &wire.Message{
		ID: "0." + id, RequestID: id, Method: "POST", Host: "a.example", Target: path, Body: []byte("body"),
		RetentionMs: 90000, Retries: 3,
	}
}

func (h *harness) accept(path, id string) { h.record(h.core.Accept(h.now, messageTo(path, id), false)) }

// takeDelivery returns the delivery requested since the last call, and requires that there is exactly one.
func (h *harness) takeDelivery() Deliver {
	h.t.Helper()
	require.Len(h.t, h.deliveries, 1)
	d := h.deliveries[0]
	h.deliveries = nil
	return d
}

func (h *harness) requireNoDelivery() {
	h.t.Helper()
	require.Empty(h.t, h.deliveries)
}

func (h *harness) finishAttempt(d Deliver, outcome worker.Outcome) {
	result := worker.Result{Outcome: outcome, Took: 10 * ms}
	if outcome == worker.Done {
		result.Signature = "sig"
	}
	h.record(h.core.FinishAttempt(h.now, d.Job, d.Attempt, result))
}

// takeReport returns the report sent since the last call, and requires that there is exactly one.
func (h *harness) takeReport() wire.Report {
	h.t.Helper()
	require.Len(h.t, h.reports, 1)
	r := h.reports[0]
	h.reports = nil
	return r
}
