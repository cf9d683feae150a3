package deadline

import "time"

// Deadline is something that is to happen at a time.
type Deadline struct {
	at    time.Duration
	seq   uint64
	due   func()
	index int // in the queue, -1 if it is in none
}

// At is when it is due.
func (d *Deadline) At() time.Duration { return d.at }

func (d *Deadline) before(e *Deadline) bool { return d.at < e.at || d.at == e.at && d.seq < e.seq }

// Queue holds deadlines in the order in which they fall due; those of one time keep the order in which
// they were added. It is not safe for concurrent use.
//
// It is a heap of four branches. Most deadlines guard against what does not happen and are dropped soon: a job has some
// eight. In a B-tree each cost a search from the root twice, 5 us of a job's 80; here adding one that is later
// than most, and dropping it, moves next to nothing.
type Queue struct {
	heap []*Deadline
	seq  uint64
}

const branches = 4

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{} }

// Add calls due in the first sweep at or after the given time.
func (q *Queue) Add(at time.Duration, due func()) *Deadline {
	q.seq++
	d := &Deadline{at: at, seq: q.seq, due: due}
	q.heap = append(q.heap, d)
	q.up(d, len(q.heap)-1)
	return d
}

// Drop takes a deadline out; nil and one that has passed are ignored.
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

// up moves d from index i to where nothing above it is later.
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

// down moves d from index i to where nothing below it is earlier.
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

// Len is how many deadlines there are.
func (q *Queue) Len() int { return len(q.heap) }

// Sweep calls what is due by now, earliest first, those that it adds itself included.
func (q *Queue) Sweep(now time.Duration) {
	for len(q.heap) > 0 && q.heap[0].at <= now {
		d := q.heap[0]
		q.Drop(d)
		d.due()
	}
}
