package dispatch

import (
	"github.com/cespare/xxhash/v2"
)

// senderOrder computes the position of one edge in the order in which edges become senders of a rate-limited service.
// Each edge has a rank within its zone, by the hash of service and edge. Edges are ordered by rank, and edges of equal
// rank by the hash: the first edges of all zones precede the second ones, and so on. All edges with the same edge list
// compute the same order, also those that run an older version. The position is computed from counts, so that a change
// of the list costs one hash for each edge that was added or removed.
type senderOrder struct {
	service     string
	edge        string
	hash        uint64 // of the service and the edge
	edgesBefore []int  // by index of edgeList.zones: the number of edges of the zone with a lower hash
}

func newSenderOrder(service, edge string) senderOrder {
	return senderOrder{service: service, edge: edge, hash: senderHash(service, edge)}
}

// senderHash returns the hash of a service and an edge.
func senderHash(service, edge string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(service)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(edge)
	return digest.Sum64()
}

// update applies changes of the edge list.
func (o *senderOrder) update(changes []edgeChange) {
	for _, change := range changes {
		for len(o.edgesBefore) <= change.zone {
			o.edgesBefore = append(o.edgesBefore, 0)
		}
		if hash := senderHash(o.service, change.id); hash < o.hash || hash == o.hash && change.id < o.edge {
			o.edgesBefore[change.zone] += change.delta
		}
	}
}

// position returns how many of the listed edges precede this one, which must be listed.
func (o *senderOrder) position(list *edgeList) int {
	rank := o.edgesBefore[list.ownZoneIndex()]
	position := 0
	for i := range list.zones {
		position += min(list.zones[i].edges, rank)
		if i < len(o.edgesBefore) && o.edgesBefore[i] > rank { // the zone's edge of the same rank has a lower hash
			position++
		}
	}
	return position
}
