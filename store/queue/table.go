package queue

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// table is a partition's content.
type table struct {
	entries  map[uint64]*entry // by hash of the name
	keys     map[uint64]*keyQueue
	sums     [bucketCount]uint64
	finished []*entry // by sequence
	horizon  uint64   // finished messages up to this sequence are removed
	pending  int
}

func newTable() table {
	return table{entries: make(map[uint64]*entry), keys: make(map[uint64]*keyQueue)}
}

// find returns a message's entry, nil if there is none. Collides: another message has the same hash.
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

// addToSum adds an entry to its bucket's sum, or subtracts it if the sign is negative.
func (t *table) addToSum(e *entry, hash uint64, sign int) {
	if sign > 0 {
		t.sums[bucketOf(hash)] += e.sum(hash)
	} else {
		t.sums[bucketOf(hash)] -= e.sum(hash)
	}
}

// change has f change what members must agree on.
func (t *table) change(e *entry, f func()) {
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
	if n == 0 || before(t.finished[n-1], e) {
		t.finished = append(t.finished, e)
		return
	}
	i := sort.Search(n, func(i int) bool { return before(e, t.finished[i]) })
	t.finished = append(t.finished, nil)
	copy(t.finished[i+1:], t.finished[i:])
	t.finished[i] = e
}

func (t *table) removeFinished(e *entry) {
	i := sort.Search(len(t.finished), func(i int) bool { return !before(t.finished[i], e) })
	if i < len(t.finished) && t.finished[i] == e {
		t.finished = append(t.finished[:i], t.finished[i+1:]...)
	}
}

// remove removes an entry; the caller takes it out of its key order afterwards.
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

// join puts a message into its key's order.
func (t *table) join(e *entry, key string) {
	hash := xxhash.Sum64String(key)
	q := t.keys[hash]
	if q == nil {
		q = &keyQueue{hash: hash}
		t.keys[hash] = q
	}
	q.insert(e)
	e.delivery.key = q
}

// leave removes a message from its key order, and returns the new head, if the message was the head and there is a next one.
func (t *table) leave(e *entry) *entry {
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

// sorted returns the entries that a filter takes, in order.
func (t *table) sorted(take func(hash uint64, e *entry) bool) []*entry {
	var list []*entry
	for hash, e := range t.entries {
		if take(hash, e) {
			list = append(list, e)
		}
	}
	sortEntries(list)
	return list
}

func sortEntries(list []*entry) {
	sort.Slice(list, func(i, j int) bool { return before(list[i], list[j]) })
}
