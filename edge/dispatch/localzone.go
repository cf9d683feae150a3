package dispatch

import (
	"slices"

	"ravendale"
)

// localZoneWeight is how much heavier a worker of the edge's own zone weighs where that has its share of the capacity: bodies that cross
// zones are priced, and the module draws among workers with equally few slots by weight.
const (
	localZoneWeight   = 4
	localZoneFraction = 0.75 // of the zone's edges' share, that its capacity must be at least
)

// preferLocalZone raises the weight of workers in the own zone, if they are enough for its edges.
func preferLocalZone(list []ravendale.Entry, t *Topology) {
	zone := slices.Index(t.Zones, t.Zone)
	all, local := 0.0, 0.0
	for i := range list {
		if list[i].State != ravendale.Ready {
			continue
		}
		all += list[i].Weight
		if list[i].Zone == zone {
			local += list[i].Weight
		}
	}
	if len(t.Edges) == 0 || local*float64(len(t.Edges)) < localZoneFraction*all*float64(t.edgesInZone()) {
		return
	}
	for i := range list {
		if list[i].Zone == zone {
			list[i].Weight *= localZoneWeight
		}
	}
}

// edgesInZone counts the edges of the own zone.
func (t *Topology) edgesInZone() int {
	count := 0
	for i := range t.Edges {
		if t.Edges[i].Zone == t.Zone {
			count++
		}
	}
	return count
}
