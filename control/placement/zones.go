package placement

import (
	"cmp"
	"maps"
	"slices"
)

// The functions of this file choose the zone that all copies of a partition should be in. If the loss of a zone need
// not be tolerated, keeping all copies in one zone gives up no required fault tolerance, and a message body from a
// client whose edge is in that zone is written to disk without crossing zones.

// location identifies a zone by region and name, because zones of two regions may have the same name.
type location struct{ region, zone string }

func (s *store) location() location { return location{region: s.Region, zone: s.Zone} }

// colocated reports whether all copies of the partition should be in one zone.
func (a *assignment) colocated() bool { return a.preferredZone != "" }

// noZone is the key for partitions that have no preferred zone.
var noZone = location{}

// assignPreferredZones gives partitions a preferred zone, in proportion to the number of stores in each zone, so that
// all stores have about the same load. A zone with fewer stores than copies cannot hold a partition alone: its stores
// get replicas of partitions without a preferred zone, whose copies are spread over zones. As with regions, stores that
// are down count too, so that the loss of a store alone moves no partition.
//
// A partition keeps the zone that most of its copies are in unless that zone's quota is used up, so that adding or
// removing a store moves few partitions.
func (p *plan) assignPreferredZones() {
	if !p.config.ColocateInZone || p.mustSpread() {
		return
	}
	byRegion := make(map[string][]*assignment)
	for i := range p.partitions {
		partition := &p.partitions[i]
		byRegion[partition.preferredRegion] = append(byRegion[partition.preferredRegion], partition)
	}
	for region, partitions := range byRegion {
		assignZones(partitions, p.zoneQuotas(region, len(partitions)))
	}
}

// assignZones gives each partition a zone with remaining quota: the zone of most of its replicas, else that of its
// primary, else the zone with the largest remaining quota.
func assignZones(partitions []*assignment, quotas map[location]int) {
	var undecided []*assignment
	for _, partition := range partitions {
		zone, hasMajority := partition.majorityZone()
		if !hasMajority || !partition.tryPrefer(zone, quotas) {
			undecided = append(undecided, partition)
		}
	}
	var unplaced []*assignment
	for _, partition := range undecided {
		if len(partition.replicas) == 0 || !partition.tryPrefer(partition.replicas[0].location(), quotas) {
			unplaced = append(unplaced, partition)
		}
	}
	for _, partition := range unplaced {
		partition.tryPrefer(largestQuota(quotas), quotas)
	}
}

// tryPrefer makes a zone the preferred one and reduces its quota by one. It reports false, and does neither, if the
// zone has no quota left.
func (a *assignment) tryPrefer(zone location, quotas map[location]int) bool {
	if quotas[zone] <= 0 {
		return false
	}
	quotas[zone]--
	a.preferredZone = zone.zone
	return true
}

// majorityZone returns the zone that more than half of a partition's complete replicas are in, and whether there is one.
func (a *assignment) majorityZone() (location, bool) {
	counts := make(map[location]int)
	for _, s := range a.replicas {
		counts[s.location()]++
		if 2*counts[s.location()] > len(a.replicas) {
			return s.location(), true
		}
	}
	return noZone, false
}

// zoneQuotas divides a number of partitions among the zones of a region and noZone.
func (p *plan) zoneQuotas(region string, partitions int) map[location]int {
	storesByZone := make(map[location]int)
	for _, s := range p.stores {
		if !s.wiped && !s.Retiring && (region == "" || s.Region == region) {
			storesByZone[s.location()]++
		}
	}
	total, smallZoneStores := 0, 0
	weights := make(map[location]int)
	for zone, count := range storesByZone {
		total += count
		if count < p.config.Copies {
			smallZoneStores += count
			continue
		}
		weights[zone] = count
	}
	if smallZoneStores > 0 {
		// A partition without a preferred zone has at most one copy in each zone that is too small. Giving a store of
		// such a zone its share of replicas therefore takes as many of these partitions as a store holds replicas,
		// which is the load of Copies stores.
		weights[noZone] = min(max(smallZoneStores, p.config.Copies), total)
	}
	return proportional(partitions, weights)
}

// proportional divides a number of partitions by weight, using the largest remainder method.
func proportional(partitions int, weights map[location]int) map[location]int {
	total := 0
	for _, weight := range weights {
		total += weight
	}
	if total == 0 {
		return nil
	}
	quotas := make(map[location]int, len(weights))
	zones := sortedZones(weights)
	remaining := partitions
	for _, zone := range zones {
		quotas[zone] = partitions * weights[zone] / total
		remaining -= quotas[zone]
	}
	slices.SortStableFunc(zones, func(a, b location) int {
		return cmp.Compare(partitions*weights[b]%total, partitions*weights[a]%total)
	})
	for _, zone := range zones[:remaining] {
		quotas[zone]++
	}
	return quotas
}

func sortedZones(weights map[location]int) []location {
	return slices.SortedFunc(maps.Keys(weights), func(a, b location) int {
		return cmp.Or(cmp.Compare(a.region, b.region), cmp.Compare(a.zone, b.zone))
	})
}

// largestQuota returns the zone with the most remaining quota, noZone if none has any.
func largestQuota(quotas map[location]int) location {
	best := noZone
	for _, zone := range sortedZones(quotas) {
		if quotas[zone] > quotas[best] {
			best = zone
		}
	}
	return best
}
