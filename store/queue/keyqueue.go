package queue

import "sort"

// keyQueue is the queue of the messages with the same order key that aren't finished at all members yet, in the order
// of their acceptance. Only the head may be delivered.
type keyQueue struct {
	hash    uint64
	entries []*entry
}

func (q *keyQueue) head() *entry { return q.entries[0] }

func (q *keyQueue) insert(e *entry) {
	i := sort.Search(len(q.entries), func(i int) bool { return acceptedBefore(e, q.entries[i]) })
	q.entries = append(q.entries, nil)
	copy(q.entries[i+1:], q.entries[i:])
	q.entries[i] = e
}

func (q *keyQueue) remove(e *entry) {
	for i, other := range q.entries {
		if other == e {
			copy(q.entries[i:], q.entries[i+1:])
			q.entries[len(q.entries)-1] = nil
			q.entries = q.entries[:len(q.entries)-1]
			return
		}
	}
}
