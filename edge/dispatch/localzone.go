package dispatch

import (
	"ravendale"
)

// Workers of the edge's own zone get a higher weight if the zone has its share of the capacity: sending bodies across
// zones has a price, and the module chooses at random, by weight, among workers with equally few of this edge's
// attempts in flight.
const (
	localZoneWeight   = 4    // factor on the weights of workers in the own zone
	localZoneFraction = 0.75 // the zone's capacity must be at least this part of its edges' share of all capacity
)

// zoneCapacity is the capacity of the workers that may be sent to, as the sum of their weights.
type zoneCapacity struct {
	all, local   float64 // of all workers, and of those of the edge's own zone
	prefersLocal bool    // the weights of workers in the own zone are raised
}

// zoneCapacityOf sums the weights of workers. They must be the listed ones, not raised by preferLocalZone.
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

// sufficesForZone reports whether the workers of the own zone have enough capacity for its edges.
func (c *zoneCapacity) sufficesForZone(edges *edgeList, zone string) bool {
	count := float64(len(edges.edges))
	return count > 0 && c.local*count >= localZoneFraction*c.all*float64(edges.edgesInZone(zone))
}

// preferLocalZone raises the weights of workers in the own zone.
func preferLocalZone(list []ravendale.Entry, zone int) {
	for i := range list {
		if list[i].Zone == zone {
			list[i].Weight *= localZoneWeight
		}
	}
}
