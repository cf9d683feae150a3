package dispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

// inZones has service s run by workers of two zones, with a capacity of 4 each.
func inZones(t *testing.T, local, away int) *world {
	w := newWorld(t)
	w.workers.Entries = nil
	for i := range local + away {
		zone := "z1"
		if i >= local {
			zone = "z2"
		}
		w.workers.Entries = append(w.workers.Entries, wire.Worker{
			ID: fmt.Sprint(zone, "-", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: zone, Capacity: 4,
		})
	}
	w.apply(w.core.SetEdges(w.now, []wire.Edge{{ID: "e1", Zone: "z1"}, {ID: "e2", Zone: "z2"}}))
	w.listWorkers()
	return w
}

// runs has messages run one after the other, and counts those that stayed in the edge's zone.
func runs(w *world, count int) (local int) {
	for i := range count {
		id := fmt.Sprint("run", i)
		w.accept("/p/", id)
		d := w.sent()
		if d.Delivery.Worker[:2] == "z1" {
			local++
		}
		w.end(d, worker.Done)
		w.apply(w.core.Acknowledged(w.now, "0."+id))
	}
	return local
}

func TestWorkersOfTheOwnZoneArePreferred(t *testing.T) {
	w := inZones(t, 5, 5)
	assert.Greater(t, runs(w, 200), 150)
	for i := range 5 {
		w.accept("/p/", fmt.Sprint(i))
	}
	used := make(map[string]bool)
	for _, d := range w.deliveries {
		used[d.Delivery.Worker] = true
	}
	assert.Len(t, used, 5, "but not one twice while another has nothing")
	assert.Equal(t, 4+connectionSlack, w.core.Connections()["z1-0"].Max)
}

// A zone with less than its part must not be overrun: there the module's own choice is all there is.
func TestFewWorkersOfTheOwnZoneAreNotPreferred(t *testing.T) {
	for local, weight := range map[int]float64{2: 4, 4: 4 * localZoneWeight} {
		w := inZones(t, local, 10-local)
		for _, entry := range w.core.services["s"].entries {
			if entry.Zone == 0 {
				assert.Equal(t, weight, entry.Weight)
			} else {
				assert.EqualValues(t, 4, entry.Weight)
			}
		}
	}
}
