package queue

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"ravendale/cluster/wire"
	"ravendale/store/journal"
)

// entry is the index entry of one message; its body is in the journal. There are very many entries, so it is small.
type entry struct {
	id         string
	sequence   uint64 // of acceptance; once finished, of the outcome
	location   journal.Location
	delivery   *delivery // nil once it is finished at all members
	finishedAt uint32    // seconds of the steady clock at which its outcome was learnt
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
	session         uint16    // of the leaseholder, when the lease began
	accepting       bool      // it is not on disk at all members yet
	granted         bool      // it may be delivered, and the leaseholder was notified
	assigned        bool      // the leaseholder was sent it with its body by a Grant
	queued          bool      // it is in the heap of unowned messages, reserved or deferred
	released        bool      // its last leaseholder has given it back by itself
	grantPending    bool      // the leaseholder is to be granted it once all members know of the lease
}

func (e *entry) pending() bool { return e.state == wire.StatePending }

// lastLeaseholder is who put a pending message, or was granted it last; else empty.
func (e *entry) lastLeaseholder() string {
	if !e.pending() {
		return ""
	}
	return e.delivery.lastLeaseholder
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

func hashOf(id string) uint64 { return xxhash.Sum64String(id) }

func bucketOf(hash uint64) int { return int(hash >> 59) }

// bucketCount is into how many parts a partition is divided for comparisons.
const bucketCount = 32
