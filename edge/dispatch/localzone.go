package dispatch

import (
	"ravendale"
)

// localZoneWeight is how much heavier a worker of the edge's own zone weighs where that has its share of the capacity: bodies that cross
// zones are priced, and the module draws among workers with equally few slots by weight.
const (
	localZoneWeight   = 4
	localZoneFraction = 0.75 // of the zone's edges' share, that its capacity must be at least
)

// zoneCapacity is how much workers that may be sent to can run, by their weights.
type zoneCapacity struct {
	all, local float64 // of all workers, and of those of the edge's own zone
	isLocal    bool    // workers of the own zone weigh more
}

// zoneCapacityOf adds up the weights of workers, which must be as listed.
func zoneCapacityOf(list []ravendale.Entry, zone int) zoneCapacity {
	var sum zoneCapacity
	for i := range list {
		if list[i].State != ravendale.Ready {
			continue
		}
		sum.all += list[i].Weight
		if list[i].Zone == zone {
			sum.local += list[i].Weight
		}
	}
	return sum
}

// sufficesForZone reports whether the workers of the own zone are enough for its edges.
func (c *zoneCapacity) sufficesForZone(edges *edgeList, zone string) bool {
	count := float64(len(edges.edges))
	return count > 0 && c.local*count >= localZoneFraction*c.all*float64(edges.inZone(zone))
}

// preferLocalZone raises the weights of workers in the own zone.
func preferLocalZone(list []ravendale.Entry, zone int) {
	for i := range list {
		if list[i].Zone == zone {
			list[i].Weight *= localZoneWeight
		}
	}
}
