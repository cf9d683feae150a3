package relay

import "ravendale/cluster/wire"

// fanOut is the number of children that the tree assigns to a process, within its zone and among zones each.
const fanOut = 8

// Parents returns the addresses of a process's possible parents, in order of preference; the leader is the last. Within
// a zone the schedulers form a heap with fanOut children each. The first scheduler of a zone subscribes to the leader;
// if there are more than fanOut zones, their first schedulers form a heap of the same kind. A store subscribes to the
// leader, or, if there are more than fanOut stores, to the first scheduler of its zone.
func Parents(self wire.Member, members *wire.Members, stores int, leader string) []string {
	var parents []string
	if members != nil {
		zones := byZone(members.Edges)
		if self.Edge {
			parents = edgeParents(self, zones)
		} else if stores > fanOut {
			parents = firstInZone(self, zones)
		}
	}
	parents = append(parents, leader)
	return distinct(parents, self.Address)
}

type zone struct {
	name  string
	edges []wire.Edge
}

// byZone splits the list, which is ordered by zone, into zones.
func byZone(edges []wire.Edge) []zone {
	var zones []zone
	for i := range edges {
		last := len(zones) - 1
		if last < 0 || zones[last].name != edges[i].Zone {
			zones = append(zones, zone{name: edges[i].Zone})
			last++
		}
		zones[last].edges = append(zones[last].edges, edges[i])
	}
	return zones
}

func firstInZone(self wire.Member, zones []zone) []string {
	for _, zone := range zones {
		if zone.name == self.Zone {
			return []string{zone.edges[0].Address}
		}
	}
	return nil
}

func edgeParents(self wire.Member, zones []zone) []string {
	for z, zone := range zones {
		if zone.name != self.Zone {
			continue
		}
		position := indexOf(zone.edges, self.ID)
		if position < 0 { // the process is not in the list of members yet
			return []string{zone.edges[0].Address}
		}
		return append(parentsWithinZone(zone.edges, position), parentsAmongZones(zones, z)...)
	}
	return nil
}

func indexOf(edges []wire.Edge, id string) int {
	for i := range edges {
		if edges[i].ID == id {
			return i
		}
	}
	return -1
}

func parentsWithinZone(edges []wire.Edge, position int) []string {
	var parents []string
	for position > 0 {
		position = (position - 1) / fanOut
		parents = append(parents, edges[position].Address)
	}
	return parents
}

func parentsAmongZones(zones []zone, z int) []string {
	var parents []string
	for z >= fanOut {
		z = z/fanOut - 1
		parents = append(parents, zones[z].edges[0].Address)
	}
	return parents
}

func distinct(addresses []string, exclude string) []string {
	seen := map[string]bool{"": true, exclude: true}
	result := addresses[:0]
	for _, address := range addresses {
		if !seen[address] {
			seen[address] = true
			result = append(result, address)
		}
	}
	return result
}
