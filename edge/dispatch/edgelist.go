package dispatch

import (
	"cmp"
	"slices"

	"ravendale/cluster/wire"
)

// edgeList is the list of edges that share the work, with the values derived from it that are the same for all
// services. These are computed once for each list. Values that differ by service are updated from the changes between
// two lists: see senderOrder.
type edgeList struct {
	edges    []wire.Edge   // sorted by zone, node and ID
	ownIndex int           // index of this edge in edges; -1: it is not listed
	zones    []zoneOfEdges // zones without edges are not removed, as services refer to zones by index
	version  int           // incremented when len(edges) or ownIndex changes
}

// zoneOfEdges is a zone and the number of its edges.
type zoneOfEdges struct {
	name  string
	edges int
}

// edgeChange is an edge that was added to the list or removed from it.
type edgeChange struct {
	id    string
	zone  int // index of edgeList.zones
	delta int // 1: the edge was added, -1: it was removed
}

func compareEdges(a, b *wire.Edge) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Node, b.Node), cmp.Compare(a.ID, b.ID))
}

// set replaces the list and returns the changes. own is the ID of this edge.
func (l *edgeList) set(edges []wire.Edge, own string) []edgeChange {
	order := func(a, b wire.Edge) int { return compareEdges(&a, &b) }
	if !slices.IsSortedFunc(edges, order) {
		edges = slices.Clone(edges)
		slices.SortFunc(edges, order)
	}
	changes := l.difference(edges)
	for _, change := range changes {
		l.zones[change.zone].edges += change.delta
	}
	index := slices.IndexFunc(edges, func(e wire.Edge) bool { return e.ID == own })
	if index != l.ownIndex || len(edges) != len(l.edges) || l.version == 0 {
		l.version++
	}
	l.edges, l.ownIndex = edges, index
	return changes
}

// difference returns the changes from the current list to a new one, which must be sorted.
func (l *edgeList) difference(edges []wire.Edge) []edgeChange {
	var changes []edgeChange
	before, after := l.edges, edges
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || len(before) > 0 && compareEdges(&before[0], &after[0]) < 0:
			changes = append(changes, edgeChange{id: before[0].ID, zone: l.zoneIndex(before[0].Zone), delta: -1})
			before = before[1:]
		case len(before) == 0 || compareEdges(&before[0], &after[0]) > 0:
			changes = append(changes, edgeChange{id: after[0].ID, zone: l.zoneIndex(after[0].Zone), delta: 1})
			after = after[1:]
		default:
			before, after = before[1:], after[1:]
		}
	}
	return changes
}

// additions returns the list as changes of an empty one.
func (l *edgeList) additions() []edgeChange {
	changes := make([]edgeChange, 0, len(l.edges))
	for i := range l.edges {
		changes = append(changes, edgeChange{id: l.edges[i].ID, zone: l.zoneIndex(l.edges[i].Zone), delta: 1})
	}
	return changes
}

// zoneIndex returns the index of a zone, which it adds if it is new.
func (l *edgeList) zoneIndex(name string) int {
	for i := range l.zones {
		if l.zones[i].name == name {
			return i
		}
	}
	l.zones = append(l.zones, zoneOfEdges{name: name})
	return len(l.zones) - 1
}

// ownZoneIndex returns the index of the zone of this edge, which must be listed.
func (l *edgeList) ownZoneIndex() int { return l.zoneIndex(l.edges[l.ownIndex].Zone) }

// edgesInZone returns the number of edges in a zone.
func (l *edgeList) edgesInZone(name string) int { return l.zones[l.zoneIndex(name)].edges }

// populatedZones returns the number of zones that have an edge.
func (l *edgeList) populatedZones() int {
	count := 0
	for i := range l.zones {
		if l.zones[i].edges > 0 {
			count++
		}
	}
	return count
}
