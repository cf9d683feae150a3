// Package deadline keeps every deadline of a program in one sorted structure, which its owner sweeps.
package deadline

import (
	"time"

	"github.com/google/btree"
)

// Deadline is something that is to happen at a time.
type Deadline struct {
	at     time.Duration
	seq    uint64
	due    func()
	queued bool
}

// At is when it is due.
func (d *Deadline) At() time.Duration { return d.at }

// Queue holds deadlines in the order in which they fall due; those of one time keep the order in which
// they were added. It is not safe for concurrent use.
type Queue struct {
	tree *btree.BTreeG[*Deadline]
	seq  uint64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{tree: btree.NewG(16, func(a, b *Deadline) bool {
		return a.at < b.at || a.at == b.at && a.seq < b.seq
	})}
}

// Add calls due in the first sweep at or after the given time.
func (q *Queue) Add(at time.Duration, due func()) *Deadline {
	q.seq++
	d := &Deadline{at: at, seq: q.seq, due: due, queued: true}
	q.tree.ReplaceOrInsert(d)
	return d
}

// Drop takes a deadline out; nil and one that has passed are ignored.
func (q *Queue) Drop(d *Deadline) {
	if d != nil && d.queued {
		d.queued = false
		q.tree.Delete(d)
	}
}

// Next returns the time of the earliest deadline.
func (q *Queue) Next() (at time.Duration, any bool) {
	d, any := q.tree.Min()
	if !any {
		return 0, false
	}
	return d.at, true
}

// Len is how many deadlines there are.
func (q *Queue) Len() int { return q.tree.Len() }

// Sweep calls what is due by now, earliest first, those that it adds itself included.
func (q *Queue) Sweep(now time.Duration) {
	for {
		d, any := q.tree.Min()
		if !any || d.at > now {
			return
		}
		q.Drop(d)
		d.due()
	}
}
