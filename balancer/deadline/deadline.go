package deadline

import "time"

// Deadline is a function to be called at a given time.
type Deadline struct {
	at    time.Duration
	seq   uint64
	due   func()
	index int // in the queue, -1 if it is not in one
}

// At returns the time at which the deadline is due.
func (d *Deadline) At() time.Duration { return d.at }

func (d *Deadline) before(e *Deadline) bool { return d.at < e.at || d.at == e.at && d.seq < e.seq }

// Queue is a priority queue of deadlines, ordered by their time; deadlines of the same time keep the order in which they were
// added. It is not safe for concurrent use.
//
// It is a 4-ary heap. Most deadlines are timeouts that are dropped long before they are due; a job has about eight. In a
// B-tree each needed two searches from the root, 5 us of a job's 80; in the heap, adding a deadline that is later than most
// and dropping it again moves hardly any entry.
type Queue struct {
	heap []*Deadline
	seq  uint64
}

const branches = 4

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{} }

// Add adds a deadline; due is called in the first sweep at or after the given time.
func (q *Queue) Add(at time.Duration, due func()) *Deadline {
	q.seq++
	d := &Deadline{at: at, seq: q.seq, due: due}
	q.heap = append(q.heap, d)
	q.up(d, len(q.heap)-1)
	return d
}

// Drop removes a deadline; it ignores nil and a deadline that was removed or swept before.
func (q *Queue) Drop(d *Deadline) {
	if d == nil || d.index < 0 {
		return
	}
	i, last := d.index, len(q.heap)-1
	moved := q.heap[last]
	q.heap[last] = nil
	q.heap = q.heap[:last]
	if d.index = -1; moved != d {
		q.up(moved, i)
		q.down(moved, moved.index)
	}
}

// up moves d from index i towards the root until its parent is not later.
func (q *Queue) up(d *Deadline, i int) {
	for i > 0 {
		above := (i - 1) / branches
		if !d.before(q.heap[above]) {
			break
		}
		q.put(q.heap[above], i)
		i = above
	}
	q.put(d, i)
}

// down moves d from index i towards the leaves until no child is earlier.
func (q *Queue) down(d *Deadline, i int) {
	for {
		first := i*branches + 1
		if first >= len(q.heap) {
			break
		}
		least := first
		for j := first + 1; j < min(first+branches, len(q.heap)); j++ {
			if q.heap[j].before(q.heap[least]) {
				least = j
			}
		}
		if !q.heap[least].before(d) {
			break
		}
		q.put(q.heap[least], i)
		i = least
	}
	q.put(d, i)
}

func (q *Queue) put(d *Deadline, i int) { q.heap[i], d.index = d, i }

// Next returns the time of the earliest deadline.
func (q *Queue) Next() (at time.Duration, any bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// Len returns the number of deadlines in the queue.
func (q *Queue) Len() int { return len(q.heap) }

// Sweep removes and calls the deadlines due by now, earliest first, including any that these calls add.
func (q *Queue) Sweep(now time.Duration) {
	for len(q.heap) > 0 && q.heap[0].at <= now {
		d := q.heap[0]
		q.Drop(d)
		d.due()
	}
}
