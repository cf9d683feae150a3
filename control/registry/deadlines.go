package registry

import (
	"container/heap"
	"time"
)

// deadlines are entries ordered by deadline, the first one first: a renewal costs the logarithm of their number, not all of them.
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

// first returns the entry whose deadline comes first; nil: there is none.
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

// shift moves all deadlines back by so much, and none to before a time. Their order stays, but for those that become equal.
func (d *deadlines) shift(by, earliest time.Duration) {
	for _, e := range *d {
		e.deadline = max(e.deadline+by, earliest)
	}
	heap.Init(d)
}
