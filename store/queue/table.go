package queue

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// table is the content of a partition.
type table struct {
	entries  map[uint64]*entry    // by hash of the message ID
	keys     map[uint64]*keyQueue // by hash of the order key
	sums     [bucketCount]uint64  // for each bucket the sum of its entries' checksums
	finished []*entry             // in the order of their sequence numbers
	horizon  uint64               // finished messages up to this sequence number are removed
	pending  int                  // number of pending messages
}

func newTable() table {
	return table{entries: make(map[uint64]*entry), keys: make(map[uint64]*keyQueue)}
}

// find returns a message's entry, or nil if there is none. If another message has the same hash, it returns nil, and
// collides is true.
func (t *table) find(id string) (e *entry, collides bool) {
	e = t.entries[hashOf(id)]
	if e == nil || e.id == id {
		return e, false
	}
	return nil, true
}

func (t *table) insert(e *entry) {
	hash := hashOf(e.id)
	t.entries[hash] = e
	t.addToSum(e, hash, 1)
	if e.pending() {
		t.pending++
	} else {
		t.insertFinished(e)
	}
}

// addToSum adds an entry's checksum to its bucket's sum, or subtracts it if sign is negative.
func (t *table) addToSum(e *entry, hash uint64, sign int) {
	if sign > 0 {
		t.sums[bucketOf(hash)] += e.sum(hash)
	} else {
		t.sums[bucketOf(hash)] -= e.sum(hash)
	}
}

// update calls f, which changes an entry's state, and adjusts the checksums and the lists of the table to the new
// state.
func (t *table) update(e *entry, f func()) {
	hash := hashOf(e.id)
	t.addToSum(e, hash, -1)
	wasPending := e.pending()
	f()
	t.addToSum(e, hash, 1)
	if wasPending && !e.pending() {
		t.pending--
		t.insertFinished(e)
	}
}

func (t *table) insertFinished(e *entry) {
	n := len(t.finished)
	if n == 0 || sequencedBefore(t.finished[n-1], e) {
		t.finished = append(t.finished, e)
		return
	}
	i := sort.Search(n, func(i int) bool { return sequencedBefore(e, t.finished[i]) })
	t.finished = append(t.finished, nil)
	copy(t.finished[i+1:], t.finished[i:])
	t.finished[i] = e
}

func (t *table) removeFinished(e *entry) {
	i := sort.Search(len(t.finished), func(i int) bool { return !sequencedBefore(t.finished[i], e) })
	if i < len(t.finished) && t.finished[i] == e {
		t.finished = append(t.finished[:i], t.finished[i+1:]...)
	}
}

// remove removes an entry from the table, but not from its key queue, which the caller does afterwards.
func (t *table) remove(e *entry) {
	hash := hashOf(e.id)
	t.addToSum(e, hash, -1)
	delete(t.entries, hash)
	if e.pending() {
		t.pending--
	} else {
		t.removeFinished(e)
	}
}

// addToKeyQueue adds a message to the queue of its order key.
func (t *table) addToKeyQueue(e *entry, key string) {
	hash := xxhash.Sum64String(key)
	q := t.keys[hash]
	if q == nil {
		q = &keyQueue{hash: hash}
		t.keys[hash] = q
	}
	q.insert(e)
	e.delivery.key = q
}

// removeFromKeyQueue removes a message from the queue of its order key. If the message was the head, and the queue
// isn't empty now, it returns the new head, otherwise nil.
func (t *table) removeFromKeyQueue(e *entry) *entry {
	if e.delivery == nil || e.delivery.key == nil {
		return nil
	}
	q := e.delivery.key
	wasHead := q.head() == e
	q.remove(e)
	e.delivery.key = nil
	if len(q.entries) == 0 {
		delete(t.keys, q.hash)
		return nil
	}
	if wasHead {
		return q.head()
	}
	return nil
}

// sortedEntries returns the entries for which include returns true, in the order of their sequence numbers.
func (t *table) sortedEntries(include func(hash uint64, e *entry) bool) []*entry {
	var list []*entry
	for hash, e := range t.entries {
		if include(hash, e) {
			list = append(list, e)
		}
	}
	sortEntries(list)
	return list
}

func sortEntries(list []*entry) {
	sort.Slice(list, func(i, j int) bool { return sequencedBefore(list[i], list[j]) })
}
