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
	id         string
	sequence   uint64 // of acceptance; once ended, of the end
	location   journal.Location
	delivery   *delivery // while it has not ended at all members
	finishedAt uint32    // seconds of the steady clock at which its end was learnt
	failed     uint16
	state      wire.State
	noBody     bool // it is dead, and its body is not here
}

// delivery is what only a pending message needs.
type delivery struct {
	key             *keyQueue // of a message with an order
	leaseholder     *edge     // who may deliver it
	lastLeaseholder string    // Member.ID of who put it, or was granted it last: the same at all members
	lastChange      *op       // newest change that is not at all members yet
	acceptSequence  uint64    // sequence of acceptance
	due             uint32    // milliseconds of the steady clock
	expires         uint32    // milliseconds of the steady clock
	session         uint16    // of the holder, when it was given the message
	accepting       bool      // it is not kept by all members yet
	granted         bool      // its turn has come, and the holder was told
	assigned        bool      // the holder was given it by a Grant
	queued          bool      // it is among the orphans
	released        bool      // its owner has given it back
	grantPending    bool      // the holder is to be granted it once all members know
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
	if a.delivery.acceptSequence != b.delivery.acceptSequence {
		return a.delivery.acceptSequence < b.delivery.acceptSequence
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
	var buffer [48]byte
	b := buffer[:20]
	binary.LittleEndian.PutUint64(b[:], hash)
	binary.LittleEndian.PutUint64(b[8:], e.sequence)
	b[16] = byte(e.state)
	if e.pending() {
		binary.LittleEndian.PutUint16(b[17:], e.failed)
	}
	if e.noBody {
		b[19] = 1
	}
	return xxhash.Sum64(append(b, e.lastLeaseholder()...))
}

// lastLeaseholder is who put a pending message, or was granted it last; else empty.
func (e *entry) lastLeaseholder() string {
	if !e.pending() {
		return ""
	}
	return e.delivery.lastLeaseholder
}

// table is a partition's content.
type table struct {
	entries  map[uint64]*entry // by hash of the name
	keys     map[uint64]*keyQueue
	sums     [bucketCount]uint64
	finished []*entry // by sequence
	horizon  uint64   // ends up to this sequence are forgotten
	pending  int
}

func newTable() table {
	return table{entries: make(map[uint64]*entry), keys: make(map[uint64]*keyQueue)}
}

// find returns a message's entry, nil if there is none. Taken says that another message is in its place.
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

// addToSum adds an entry to its bucket's sum, or takes it away.
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

// remove forgets an entry; the caller takes it out of its key's order after it.
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

// leave takes a message out of its key's order, and returns the new head, if it was the head and there is one.
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
