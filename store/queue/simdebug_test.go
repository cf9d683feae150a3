package queue

import "fmt"

// describeMessage returns the state of a message at all stores and edges, for failure reports.
func (s *sim) describeMessage(id string) string {
	text := ""
	for _, n := range s.stores {
		if n.core == nil {
			continue
		}
		for _, p := range n.core.partitions {
			if p == nil {
				continue
			}
			e, _ := p.find(id)
			if e == nil {
				continue
			}
			text += fmt.Sprintf("\n %s: primary %v replica %v joining %v ready %v unmerged %d epoch %d state %d", n.disk.name,
				p.primary, p.replica, p.joining, p.ready, len(p.unmerged), n.core.epoch(), e.state)
			if l := e.delivery; l != nil {
				text += fmt.Sprintf(" accepting %v granted %v assigned %v queued %v due %d now %v", l.accepting, l.granted, l.assigned, l.queued, l.due, n.time())
				if l.key != nil {
					text += " head " + l.key.head().id
					if head := l.key.head(); head != e && p.primary {
						text += " {" + s.describeMessage(head.id) + "}"
					}
				}
				if l.leaseholder != nil {
					text += fmt.Sprintf(" leaseholder %s connected %v must claim %v claimed %d", l.leaseholder.id, l.leaseholder.remote != nil, l.leaseholder.mustClaim, l.leaseholder.claimedEpoch)
				}
				if l.lastChange != nil {
					text += fmt.Sprintf(" operation: synced %v unacked %b", l.lastChange.synced, l.lastChange.unacked)
				}
			}
		}
	}
	for _, e := range s.edges {
		if delivery := e.deliveries[id]; delivery != nil {
			text += fmt.Sprintf("\n %s: %+v", e.id, delivery)
		}
	}
	return text
}
