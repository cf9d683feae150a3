package queue

import "fmt"

// describe tells all that stores and edges know of a message.
func (s *sim) describe(id string) string {
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
			if l := e.live; l != nil {
				text += fmt.Sprintf(" putting %v granted %v whole %v waiting %v due %d now %v", l.putting, l.granted, l.whole, l.waiting, l.due, n.time())
				if l.key != nil {
					text += " head " + l.key.head().id
					if head := l.key.head(); head != e && p.primary {
						text += " {" + s.describe(head.id) + "}"
					}
				}
				if l.holder != nil {
					text += fmt.Sprintf(" holder %s connected %v stale %v claimed %d", l.holder.id, l.holder.remote != nil, l.holder.stale, l.holder.claimed)
				}
				if l.last != nil {
					text += fmt.Sprintf(" changing: local %v missing %b", l.last.local, l.last.missing)
				}
			}
		}
	}
	for _, e := range s.edges {
		if held := e.held[id]; held != nil {
			text += fmt.Sprintf("\n %s: %+v", e.id, held)
		}
	}
	return text
}
