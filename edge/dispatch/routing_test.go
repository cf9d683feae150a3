package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

// longOutage is how long the control plane is away in the tests: no time-out of the core is as long.
const longOutage = 30 * time.Second

// droppedBy returns the report that drops a message whose route was removed in a version of the configuration.
func droppedBy(id string, version uint64) wire.Report {
	return wire.Report{ID: id, Kind: wire.ReportDropped, Signature: string(wire.DropRemovedRoute(version))}
}

// newRoute is a route that only a newer configuration than that of the harness has.
func newRoute() catalog.Route {
	return catalog.Route{
		Name: "new", Host: "a.example", PathPrefix: "/new/", Type: DeferredType, Service: "s", TimeoutMs: 600, Retries: 3, RetentionS: 90,
	}
}

// grantOf returns a store's grant of a message that another edge accepted under a version of the configuration; 0: an
// edge of an earlier version of the program accepted it.
func grantOf(path, id string, version uint64) *wire.Grant {
	m := messageTo(path, id)
	m.ID = wire.VersionedMessageID(0, id, version)
	return &wire.Grant{ID: m.ID, HasMessage: true, Message: *m}
}

// applyVersion puts the configuration of the harness in force under a version.
func (h *harness) applyVersion(version uint64) {
	h.config.Version = version
	h.configure()
}

// advanceThroughOutage advances the time while the control plane confirms nothing, and requires that the messages are
// neither sent nor ended: they may only be released, and are then granted again, as to the only edge that is left.
func (h *harness) advanceThroughOutage(grants ...*wire.Grant) {
	h.t.Helper()
	for end := h.now + longOutage; h.now < end; {
		h.advance(100 * ms)
		h.requireNoDelivery()
		for _, report := range h.reports {
			require.Equal(h.t, wire.ReportReleased, report.Kind, report.ID)
			h.record(h.core.Acknowledged(h.now, report.ID))
			for _, g := range grants {
				if g.ID == report.ID {
					h.record(h.core.Grant(h.now, g))
				}
			}
		}
		h.reports = nil
	}
}

// requireDeliveryOnMissedRoute grants a message on a route that this edge has missed, and requires that it is delivered
// once the edge has the route: after an outage of the control plane that is longer than any time-out.
func requireDeliveryOnMissedRoute(t *testing.T, version uint64) {
	h := newHarness(t)
	h.confirm()
	h.advance(time.Second)
	g := grantOf("/new/", "1", version)
	h.record(h.core.Grant(h.now, g))
	h.advanceThroughOutage(g)
	h.config.Routes = append(h.config.Routes, newRoute())
	h.applyVersion(4)
	h.confirm()
	h.advance(maxBackoff)
	h.finishAttempt(h.takeDelivery(), worker.Done)
	assert.Equal(t, wire.ReportDone, h.takeReport().Kind)
}

// Guards against review/1 (LOST): an edge that was frozen while a route was added dropped its messages convergeMs after
// their grant, by its own old configuration.
func TestEdgeThatMissedRouteDropsNoMessageOfIt(t *testing.T) {
	requireDeliveryOnMissedRoute(t, 4)
}

// The same for a message that an earlier version of the program accepted: its ID does not have the version.
func TestEdgeThatMissedRouteDropsNoUnversionedMessageOfIt(t *testing.T) {
	requireDeliveryOnMissedRoute(t, 0)
}

// A message whose route leads to another service than an older configuration says must not run at the old one.
func TestOutdatedEdgeSendsNothingToFormerService(t *testing.T) {
	for _, version := range []uint64{4, 0} {
		h := newHarness(t)
		h.confirm()
		h.advance(time.Second)
		g := grantOf("/p/", "1", version)
		h.record(h.core.Grant(h.now, g))
		h.advanceThroughOutage(g)
		h.config.Routes[0].Service = "safe"
		h.applyVersion(4)
		h.confirm()
		h.advance(maxBackoff)
		assert.Contains(t, h.takeDelivery().Delivery.Worker, "safe-")
	}
}

// A message is dead after as many failed attempts as its route allows under the configuration that it was accepted under,
// or a newer one.
func TestOutdatedEdgeEndsNoMessageByFormerRetries(t *testing.T) {
	h := newHarness(t)
	h.confirm()
	h.advance(time.Second)
	g := grantOf("/p/", "1", 4)
	g.Failed = 3 // as many as the old configuration allows
	h.record(h.core.Grant(h.now, g))
	h.advanceThroughOutage(g)
	h.config.Routes[0].Retries = 5
	h.applyVersion(4)
	h.advance(maxBackoff)
	h.finishAttempt(h.takeDelivery(), worker.Failed)
	report := h.takeReport()
	assert.Equal(t, wire.ReportFailed, report.Kind)
	assert.EqualValues(t, 4, report.Failed)
}

// The newer configuration that removes a route may itself be outdated: another one may have added the route again before
// the message was accepted. Nothing is dropped until the leader has confirmed the configuration.
func TestRemovedRouteIsConfirmedBeforeDrop(t *testing.T) {
	h := newHarness(t)
	h.confirm()
	h.advance(time.Second)
	h.accept("/p/", "here")
	h.finishAttempt(h.takeDelivery(), worker.NotRun)
	g := grantOf("/p/", "granted", 1)
	routes := h.config.Routes
	h.config.Routes = routes[1:]
	h.applyVersion(2)
	h.record(h.core.Grant(h.now, g))
	confirmedBefore := h.now - ms
	h.record(h.core.ConfirmConfig(h.now, confirmedBefore)) // sent before the messages arrived
	h.advanceThroughOutage(g)
	h.config.Routes = routes
	h.applyVersion(3)
	h.advance(maxBackoff)
	assert.Len(t, h.deliveries, 2)
}

func TestConfirmedRemovalDropsWaitingMessages(t *testing.T) {
	h := newHarness(t)
	h.record(h.core.Grant(h.now, grantOf("/gone/", "1", 1)))
	h.record(h.core.Grant(h.now, grantOf("/gone/", "2", 0)))
	assert.Empty(t, h.reports)
	h.confirm()
	h.advance(maxBackoff)
	assert.ElementsMatch(t, []wire.Report{droppedBy("0.1_1", 1), droppedBy("0.2", 1)}, h.reports)
}

// An edge that lags by a moment must not give its messages away.
func TestAwaitedConfigArrivesInTime(t *testing.T) {
	h := newHarness(t)
	h.record(h.core.Grant(h.now, grantOf("/new/", "1", 4)))
	h.advance(maxConfigWait - ms)
	assert.Empty(t, h.reports)
	h.config.Routes = append(h.config.Routes, newRoute())
	h.applyVersion(4)
	h.advance(ms)
	h.finishAttempt(h.takeDelivery(), worker.Done)
	assert.Equal(t, wire.ReportDone, h.takeReport().Kind)
}

// Each mutation brings one of the faults back. The tests above must detect it.
func TestMutationsOfOutdatedConfigAreDetected(t *testing.T) {
	h := newHarness(t)
	h.core.mutations.dropsByUnconfirmedConfig = true
	h.record(h.core.Grant(h.now, grantOf("/new/", "1", 1)))
	h.advance(longOutage)
	require.NotEmpty(t, h.reports)
	assert.Equal(t, wire.ReportDropped, h.reports[0].Kind)

	h = newHarness(t)
	h.core.mutations.ignoresAcceptedVersion = true
	h.record(h.core.Grant(h.now, grantOf("/p/", "1", 4)))
	assert.Len(t, h.deliveries, 1, "sent to the former service")
}
