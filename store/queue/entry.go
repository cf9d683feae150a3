package queue

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"ravendale/cluster/wire"
	"ravendale/store/journal"
)

// entry is what is known in memory of one message. There are very many: it is kept small.
type entry struct {
	id       string
	sequence uint64 // of acceptance; once ended, of the end
	at       journal.Location
	live     *live  // while it has not ended at all members
	learned  uint32 // seconds of the steady clock at which its end was learnt
	failed   uint16
	state    wire.State
	bare     bool // it is dead, and its body is not here
}

// live is what only a pending message needs.
type live struct {
	key      *keyQueue // of a message with an order
	holder   *edge     // who may deliver it
	owner    string    // Member.ID of who put it, or was granted it last: the same at all members
	last     *op       // newest change that is not at all members yet
	accepted uint64    // sequence of acceptance
	due      uint32    // milliseconds of the steady clock
	expires  uint32    // milliseconds of the steady clock
	session  uint16    // of the holder, when it was given the message
	putting  bool      // it is not kept by all members yet
	granted  bool      // its turn has come, and the holder was told
	whole    bool      // the holder was given it by a Grant
	waiting  bool      // it is among the orphans
	returned bool      // its owner has given it back
	owed     bool      // the holder is to be granted it once all members know
}

func (e *entry) pending() bool { return e.state == wire.StatePending }

// keyQueue are the messages of one order key that have not ended at all members, in the order of acceptance.
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

func acceptedBefore(a, b *entry) bool {
	if a.live.accepted != b.live.accepted {
		return a.live.accepted < b.live.accepted
	}
	return a.id < b.id
}

func before(a, b *entry) bool {
	if a.sequence != b.sequence {
		return a.sequence < b.sequence
	}
	return a.id < b.id
}

// bucketCount is into how many parts a partition is divided for comparisons.
const bucketCount = 32

func hashOf(id string) uint64 { return xxhash.Sum64String(id) }

func bucketOf(hash uint64) int { return int(hash >> 59) }

// sum stands for all that members must agree on of a message.
func (e *entry) sum(hash uint64) uint64 {
	var room [48]byte
	b := room[:20]
	binary.LittleEndian.PutUint64(b[:], hash)
	binary.LittleEndian.PutUint64(b[8:], e.sequence)
	b[16] = byte(e.state)
	if e.pending() {
		binary.LittleEndian.PutUint16(b[17:], e.failed)
	}
	if e.bare {
		b[19] = 1
	}
	return xxhash.Sum64(append(b, e.owner()...))
}

// owner is who put a pending message, or was granted it last; else empty.
func (e *entry) owner() string {
	if !e.pending() {
		return ""
	}
	return e.live.owner
}

// table is a partition's content.
type table struct {
	entries map[uint64]*entry // by hash of the name
	keys    map[uint64]*keyQueue
	sums    [bucketCount]uint64
	ended   []*entry // by sequence
	horizon uint64   // ends up to this sequence are forgotten
	pending int
}

func newTable() table {
	return table{entries: make(map[uint64]*entry), keys: make(map[uint64]*keyQueue)}
}

// find returns a message's entry, nil if there is none. Taken says that another message is in its place.
func (t *table) find(id string) (e *entry, taken bool) {
	e = t.entries[hashOf(id)]
	if e == nil || e.id == id {
		return e, false
	}
	return nil, true
}

func (t *table) insert(e *entry) {
	hash := hashOf(e.id)
	t.entries[hash] = e
	t.count(e, hash, 1)
	if e.pending() {
		t.pending++
	} else {
		t.insertEnded(e)
	}
}

// count adds an entry to its bucket's sum, or takes it away.
func (t *table) count(e *entry, hash uint64, sign int) {
	if sign > 0 {
		t.sums[bucketOf(hash)] += e.sum(hash)
	} else {
		t.sums[bucketOf(hash)] -= e.sum(hash)
	}
}

// change has f change what members must agree on.
func (t *table) change(e *entry, f func()) {
	hash := hashOf(e.id)
	t.count(e, hash, -1)
	wasPending := e.pending()
	f()
	t.count(e, hash, 1)
	if wasPending && !e.pending() {
		t.pending--
		t.insertEnded(e)
	}
}

func (t *table) insertEnded(e *entry) {
	n := len(t.ended)
	if n == 0 || before(t.ended[n-1], e) {
		t.ended = append(t.ended, e)
		return
	}
	i := sort.Search(n, func(i int) bool { return before(e, t.ended[i]) })
	t.ended = append(t.ended, nil)
	copy(t.ended[i+1:], t.ended[i:])
	t.ended[i] = e
}

func (t *table) removeEnded(e *entry) {
	i := sort.Search(len(t.ended), func(i int) bool { return !before(t.ended[i], e) })
	if i < len(t.ended) && t.ended[i] == e {
		t.ended = append(t.ended[:i], t.ended[i+1:]...)
	}
}

// remove forgets an entry; the caller takes it out of its key's order after it.
func (t *table) remove(e *entry) {
	hash := hashOf(e.id)
	t.count(e, hash, -1)
	delete(t.entries, hash)
	if e.pending() {
		t.pending--
	} else {
		t.removeEnded(e)
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
	e.live.key = q
}

// leave takes a message out of its key's order, and returns the new head, if it was the head and there is one.
func (t *table) leave(e *entry) *entry {
	if e.live == nil || e.live.key == nil {
		return nil
	}
	q := e.live.key
	wasHead := q.head() == e
	q.remove(e)
	e.live.key = nil
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
