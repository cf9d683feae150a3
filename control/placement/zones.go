package placement

import (
	"cmp"
	"maps"
	"slices"
)

// The functions of this file choose the zone in which all copies of a partition should lie. Where no zone has to be borne, copies in one zone
// lose nothing that the deployment is to keep, and a body whose client's edge is in that zone crosses no zone at all on its way to disk.

// location is a zone by its full name: zones of two regions may have the same one.
type location struct{ region, zone string }

func (s *store) location() location { return location{region: s.Region, zone: s.Zone} }

// gathers says whether all copies of the partition should lie in one zone.
func (a *assignment) gathers() bool { return a.preferredZone != "" }

// noZone stands for the partitions that have no preferred zone.
var noZone = location{}

// assignPreferredZones gives partitions a preferred zone, to each zone in proportion to its stores, so that all stores bear alike. A zone with
// fewer stores than copies can hold no partition alone: its stores share partitions without a preferred zone, whose copies are spread. As with
// regions, stores that are down count: a loss alone moves no partition.
//
// A partition stays in the zone that most of its copies are in while that zone has not too many, so that a store more or less moves few.
func (p *plan) assignPreferredZones() {
	if !p.config.GatherZones || p.strict() {
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

// assignZones gives each partition a zone that has quota left.
func assignZones(partitions []*assignment, quotas map[location]int) {
	var rest []*assignment
	for _, partition := range partitions {
		zone, gathered := partition.majorityZone()
		if !gathered || !partition.prefer(zone, quotas) {
			rest = append(rest, partition)
		}
	}
	var unplaced []*assignment
	for _, partition := range rest {
		if len(partition.replicas) == 0 || !partition.prefer(partition.replicas[0].location(), quotas) {
			unplaced = append(unplaced, partition)
		}
	}
	for _, partition := range unplaced {
		partition.prefer(largestQuota(quotas), quotas)
	}
}

// prefer makes a zone the preferred one, if it has quota left.
func (a *assignment) prefer(zone location, quotas map[location]int) bool {
	if quotas[zone] <= 0 {
		return false
	}
	quotas[zone]--
	a.preferredZone = zone.zone
	return true
}

// majorityZone is the zone that more than half of a partition's complete replicas are in, if there is one.
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

// zoneQuotas divides partitions among the zones of a region, and noZone.
func (p *plan) zoneQuotas(region string, partitions int) map[location]int {
	stores := make(map[location]int)
	for _, s := range p.stores {
		if !s.wiped && !s.Retiring && (region == "" || s.Region == region) {
			stores[s.location()]++
		}
	}
	total, tooFew := 0, 0
	weights := make(map[location]int)
	for zone, count := range stores {
		total += count
		if count < p.config.Copies {
			tooFew += count
			continue
		}
		weights[zone] = count
	}
	if tooFew > 0 {
		// Each partition without a zone has one copy at most in each zone that is too small: it takes as many partitions as one
		// store holds replicas, and those take Copies stores' worth of load.
		weights[noZone] = min(max(tooFew, p.config.Copies), total)
	}
	return proportional(partitions, weights)
}

// proportional divides a number of partitions by weight, by the method of largest remainders.
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
	left := partitions
	for _, zone := range zones {
		quotas[zone] = partitions * weights[zone] / total
		left -= quotas[zone]
	}
	slices.SortStableFunc(zones, func(a, b location) int {
		return cmp.Compare(partitions*weights[b]%total, partitions*weights[a]%total)
	})
	for _, zone := range zones[:left] {
		quotas[zone]++
	}
	return quotas
}

func sortedZones(weights map[location]int) []location {
	return slices.SortedFunc(maps.Keys(weights), func(a, b location) int {
		return cmp.Or(cmp.Compare(a.region, b.region), cmp.Compare(a.zone, b.zone))
	})
}

// largestQuota is the zone that has the most quota left.
func largestQuota(quotas map[location]int) location {
	best := noZone
	for _, zone := range sortedZones(quotas) {
		if quotas[zone] > quotas[best] {
			best = zone
		}
	}
	return best
}
