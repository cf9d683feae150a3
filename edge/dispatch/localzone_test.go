package dispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

// newZonedHarness returns a harness whose service s has workers in two zones, with a capacity of 4 each.
func newZonedHarness(t *testing.T, local, remote int) *harness {
	h := newHarness(t)
	h.workers.Entries = nil
	for i := range local + remote {
		zone := "z1"
		if i >= local {
			zone = "z2"
		}
		h.workers.Entries = append(h.workers.Entries, wire.Worker{
			ID: fmt.Sprint(zone, "-", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: zone, Capacity: 4,
		})
	}
	h.record(h.core.SetEdges(h.now, []wire.Edge{{ID: "e1", Zone: "z1"}, {ID: "e2", Zone: "z2"}}))
	h.listWorkers()
	return h
}

// runMessages delivers messages one after the other, and returns how many went to workers of the edge's zone.
func runMessages(h *harness, count int) (local int) {
	for i := range count {
		id := fmt.Sprint("run", i)
		h.accept("/p/", id)
		d := h.takeDelivery()
		if d.Delivery.Worker[:2] == "z1" {
			local++
		}
		h.finishAttempt(d, worker.Done)
		h.record(h.core.Acknowledged(h.now, "0."+id))
	}
	return local
}

func TestLocalZoneIsPreferred(t *testing.T) {
	h := newZonedHarness(t, 5, 5)
	assert.Greater(t, runMessages(h, 200), 150)
	for i := range 5 {
		h.accept("/p/", fmt.Sprint(i))
	}
	used := make(map[string]bool)
	for _, d := range h.deliveries {
		used[d.Delivery.Worker] = true
	}
	assert.Len(t, used, 5, "no worker gets a second message while another has none")
	assert.Equal(t, 4+connectionSlack, h.core.Connections()["z1-0"].Max)
}

// A zone with less than its share of the capacity must not be overloaded: the weights stay as listed.
func TestSmallLocalZoneIsNotPreferred(t *testing.T) {
	for local, weight := range map[int]float64{2: 4, 4: 4 * localZoneWeight} {
		h := newZonedHarness(t, local, 10-local)
		for _, entry := range h.core.services["s"].entries {
			if entry.Zone == 0 {
				assert.Equal(t, weight, entry.Weight)
			} else {
				assert.EqualValues(t, 4, entry.Weight)
			}
		}
	}
}
