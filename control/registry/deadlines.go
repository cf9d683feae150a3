package registry

import (
	"container/heap"
	"time"
)

// deadlines is a heap of entries with the earliest deadline first, so that a renewal takes logarithmic instead of
// linear time.
type deadlines []*entry

// Len implements heap.Interface.
func (d deadlines) Len() int { return len(d) }

// Less implements heap.Interface.
func (d deadlines) Less(i, j int) bool { return d[i].deadline < d[j].deadline }

// Swap implements heap.Interface.
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].position, d[j].position = i, j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	e := x.(*entry)
	e.position = len(*d)
	*d = append(*d, e)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	e := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return e
}

// first returns the entry with the earliest deadline, or nil if there are no entries.
func (d deadlines) first() *entry {
	if len(d) == 0 {
		return nil
	}
	return d[0]
}

// set changes the deadline of an entry.
func (d *deadlines) set(e *entry, deadline time.Duration) {
	e.deadline = deadline
	heap.Fix(d, e.position)
}

// add adds an entry.
func (d *deadlines) add(e *entry) { heap.Push(d, e) }

// remove removes an entry.
func (d *deadlines) remove(e *entry) { heap.Remove(d, e.position) }

// postpone adds a duration to all deadlines, and moves those that are still before earliest to that time. Entries keep
// their order, except that deadlines may become equal.
func (d *deadlines) postpone(by, earliest time.Duration) {
	for _, e := range *d {
		e.deadline = max(e.deadline+by, earliest)
	}
	heap.Init(d)
}
