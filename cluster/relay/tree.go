package relay

import "ravendale/cluster/wire"

// fanOut is how many children a process is given in the tree.
const fanOut = 8

// Parents lists the addresses that a process may hang on, the best first; the leader's is the last. The leader feeds the first
// scheduler of each zone, or if there are many zones a heap of them; within a zone the schedulers form a heap. A store hangs on
// the leader, or on the first scheduler of its zone where there are more than FanOut stores.
func Parents(self wire.Member, members *wire.Members, stores int, leader string) []string {
	var parents []string
	if members != nil {
		zones := byZone(members.Edges)
		if self.Edge {
			parents = edgeParents(self, zones)
		} else if stores > fanOut {
			parents = zoneHead(self, zones)
		}
	}
	parents = append(parents, leader)
	return distinct(parents, self.Address)
}

type zone struct {
	name  string
	edges []wire.Edge
}

// byZone cuts the list, which is ordered by zone, at the zones' borders.
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

func zoneHead(self wire.Member, zones []zone) []string {
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
		if position < 0 { // it is not a member yet
			return []string{zone.edges[0].Address}
		}
		return append(withinZone(zone.edges, position), amongHeads(zones, z)...)
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

func withinZone(edges []wire.Edge, position int) []string {
	var parents []string
	for position > 0 {
		position = (position - 1) / fanOut
		parents = append(parents, edges[position].Address)
	}
	return parents
}

func amongHeads(zones []zone, z int) []string {
	var parents []string
	for z >= fanOut {
		z = z/fanOut - 1
		parents = append(parents, zones[z].edges[0].Address)
	}
	return parents
}

func distinct(addresses []string, without string) []string {
	seen := map[string]bool{"": true, without: true}
	kept := addresses[:0]
	for _, address := range addresses {
		if !seen[address] {
			seen[address] = true
			kept = append(kept, address)
		}
	}
	return kept
}
