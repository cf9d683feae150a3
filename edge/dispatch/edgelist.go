package dispatch

import (
	"cmp"
	"slices"

	"ravendale/cluster/wire"
)

// edgeList is the list of edges that share the work, and what follows from it for all services alike. Each is computed once a list, and
// what services keep for themselves follows the changes between two lists: see senderOrder.
type edgeList struct {
	edges   []wire.Edge   // by zone, node and ID
	own     int           // index of this edge; -1: it is not listed
	zones   []zoneOfEdges // a zone stays, also without an edge: its index is its name for services
	version int           // counts the changes of len(edges) and of own
}

// zoneOfEdges is a zone, and how many edges it has.
type zoneOfEdges struct {
	name  string
	edges int
}

// edgeChange is an edge that a list has and the one before did not have, or the other way round.
type edgeChange struct {
	id    string
	zone  int // index of edgeList.zones
	count int // 1: it was added, -1: it was removed
}

func compareEdges(a, b *wire.Edge) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Node, b.Node), cmp.Compare(a.ID, b.ID))
}

// set takes a new list and returns what has changed. Own is the ID of this edge.
func (l *edgeList) set(edges []wire.Edge, own string) []edgeChange {
	order := func(a, b wire.Edge) int { return compareEdges(&a, &b) }
	if !slices.IsSortedFunc(edges, order) {
		edges = slices.Clone(edges)
		slices.SortFunc(edges, order)
	}
	changes := l.difference(edges)
	for _, change := range changes {
		l.zones[change.zone].edges += change.count
	}
	index := slices.IndexFunc(edges, func(e wire.Edge) bool { return e.ID == own })
	if index != l.own || len(edges) != len(l.edges) || l.version == 0 {
		l.version++
	}
	l.edges, l.own = edges, index
	return changes
}

// difference returns what a sorted list adds and removes.
func (l *edgeList) difference(edges []wire.Edge) []edgeChange {
	var changes []edgeChange
	before, after := l.edges, edges
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || len(before) > 0 && compareEdges(&before[0], &after[0]) < 0:
			changes = append(changes, edgeChange{id: before[0].ID, zone: l.zone(before[0].Zone), count: -1})
			before = before[1:]
		case len(before) == 0 || compareEdges(&before[0], &after[0]) > 0:
			changes = append(changes, edgeChange{id: after[0].ID, zone: l.zone(after[0].Zone), count: 1})
			after = after[1:]
		default:
			before, after = before[1:], after[1:]
		}
	}
	return changes
}

// all returns the list as changes of an empty one.
func (l *edgeList) all() []edgeChange {
	changes := make([]edgeChange, 0, len(l.edges))
	for i := range l.edges {
		changes = append(changes, edgeChange{id: l.edges[i].ID, zone: l.zone(l.edges[i].Zone), count: 1})
	}
	return changes
}

// zone returns the index of a zone, which is added if it is new.
func (l *edgeList) zone(name string) int {
	for i := range l.zones {
		if l.zones[i].name == name {
			return i
		}
	}
	l.zones = append(l.zones, zoneOfEdges{name: name})
	return len(l.zones) - 1
}

// ownZone returns the index of the zone of this edge, which must be listed.
func (l *edgeList) ownZone() int { return l.zone(l.edges[l.own].Zone) }

// inZone counts the edges of a zone.
func (l *edgeList) inZone(name string) int { return l.zones[l.zone(name)].edges }

// populatedZones counts the zones that have an edge.
func (l *edgeList) populatedZones() int {
	count := 0
	for i := range l.zones {
		if l.zones[i].edges > 0 {
			count++
		}
	}
	return count
}
