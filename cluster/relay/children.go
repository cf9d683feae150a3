package relay

import "ravendale/cluster/wire"

// MaxChildren is how many children a process takes: more than the tree gives it, since those whose parent fails come too.
const MaxChildren = 8 * fanOut

// Send is an update for one child.
type Send[C comparable] struct {
	Child  C
	Update *wire.Update
}

// Children knows what each child has been sent. C names a child's connection.
type Children[C comparable] struct {
	order []C
	have  map[C]*Versions
	limit int // 0: none
}

// NewChildren returns an empty set that takes so many children; 0 stands for any number.
func NewChildren[C comparable](limit int) *Children[C] {
	return &Children[C]{have: make(map[C]*Versions), limit: limit}
}

// Add takes a child with what it has, and says whether there was room.
func (c *Children[C]) Add(child C, have Versions) bool {
	if known := c.have[child]; known != nil {
		*known = have
		return true
	}
	if c.limit > 0 && len(c.order) >= c.limit {
		return false
	}
	c.order = append(c.order, child)
	c.have[child] = &have
	return true
}

// Remove forgets a child.
func (c *Children[C]) Remove(child C) {
	if c.have[child] == nil {
		return
	}
	delete(c.have, child)
	for i := range c.order {
		if c.order[i] == child {
			c.order = append(c.order[:i:i], c.order[i+1:]...)
			return
		}
	}
}

// List has the children in the order in which they came.
func (c *Children[C]) List() []C { return c.order }

// Push returns what the children have not been sent yet and may be sent now, and counts it as sent. May gets the size in bytes of
// each update; deferred says that it did not let all pass.
func (c *Children[C]) Push(topics *Topics, may func(size int) bool) (sends []Send[C], deferred bool) {
	for _, child := range c.order {
		have := c.have[child]
		for which := range have {
			updates := topics.UpdatesFor(wire.Topic(which), have[which])
			for i := range updates {
				if !may(len(updates[i].Payload)) {
					deferred = true
					break
				}
				sends = append(sends, Send[C]{Child: child, Update: &updates[i]})
				have[which] = updates[i].To
			}
		}
	}
	return sends, deferred
}
