package relay

import "ravendale/cluster/wire"

// MaxChildren is how many children a process accepts: more than the tree assigns to it, since children of failed
// parents come as well.
const MaxChildren = 8 * fanOut

// Send is an update for one child.
type Send[C comparable] struct {
	Child  C
	Update *wire.Update
}

// Children records which versions each child has been sent. C identifies a child's connection.
type Children[C comparable] struct {
	order    []C
	versions map[C]*Versions
	limit    int // 0: unlimited
}

// NewChildren returns an empty set that accepts up to limit children; 0 means unlimited.
func NewChildren[C comparable](limit int) *Children[C] {
	return &Children[C]{versions: make(map[C]*Versions), limit: limit}
}

// Add adds a child and the versions that it has, or updates the versions of a known child. It reports false if the set
// is full.
func (c *Children[C]) Add(child C, have Versions) bool {
	if existing := c.versions[child]; existing != nil {
		*existing = have
		return true
	}
	if c.limit > 0 && len(c.order) >= c.limit {
		return false
	}
	c.order = append(c.order, child)
	c.versions[child] = &have
	return true
}

// Remove removes a child.
func (c *Children[C]) Remove(child C) {
	if c.versions[child] == nil {
		return
	}
	delete(c.versions, child)
	for i := range c.order {
		if c.order[i] == child {
			c.order = append(c.order[:i:i], c.order[i+1:]...)
			return
		}
	}
}

// List returns the children in the order in which they were added.
func (c *Children[C]) List() []C { return c.order }

// Push returns the updates that the children lack and that may be sent now, and records them as sent. It calls allow
// with the size of each update in bytes; deferred reports that allow rejected some.
func (c *Children[C]) Push(topics *Topics, allow func(size int) bool) (sends []Send[C], deferred bool) {
	for _, child := range c.order {
		have := c.versions[child]
		for which := range have {
			updates := topics.UpdatesFor(wire.Topic(which), have[which])
			for i := range updates {
				if !allow(len(updates[i].Payload)) {
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
