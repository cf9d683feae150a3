package dispatch

import (
	"github.com/cespare/xxhash/v2"
)

// senderOrder is the place of one edge in the order in which edges become senders of a rate-limited service. The first of each zone by
// hash of service and edge come first, by that hash; then the second ones, and so on: the order is the same for all who have the same
// list, and older programs compute it too. It is kept by counts, so that a change of the list costs one hash for each edge that changed.
type senderOrder struct {
	service string
	edge    string
	hash    uint64 // of the service and the edge
	before  []int  // by index of edgeList.zones: the edges of the zone with a lower hash
}

func newSenderOrder(service, edge string) senderOrder {
	return senderOrder{service: service, edge: edge, hash: senderHash(service, edge)}
}

// senderHash is the hash of a service and an edge.
func senderHash(service, edge string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(service)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(edge)
	return digest.Sum64()
}

// update follows changes of the list.
func (o *senderOrder) update(changes []edgeChange) {
	for _, change := range changes {
		for len(o.before) <= change.zone {
			o.before = append(o.before, 0)
		}
		if hash := senderHash(o.service, change.id); hash < o.hash || hash == o.hash && change.id < o.edge {
			o.before[change.zone] += change.count
		}
	}
}

// position returns how many of the listed edges come before this one, which must be listed.
func (o *senderOrder) position(list *edgeList) int {
	rank := o.before[list.ownZone()]
	position := 0
	for i := range list.zones {
		position += min(list.zones[i].edges, rank)
		if i < len(o.before) && o.before[i] > rank { // the one of this zone with the same rank has a lower hash
			position++
		}
	}
	return position
}
