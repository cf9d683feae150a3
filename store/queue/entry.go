package queue

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"ravendale/cluster/wire"
	"ravendale/store/journal"
)

// entry is the index entry of one message; the message's body is in the journal. It is kept small, because a store has
// very many entries.
type entry struct {
	id         string
	sequence   uint64 // sequence number of the acceptance; once the message is finished, of the outcome
	location   journal.Location
	delivery   *delivery // nil once the message is finished at all members
	finishedAt uint32    // when this store recorded the outcome, in seconds of the steady clock
	failed     uint16    // number of failed attempts
	state      wire.State
	noBody     bool // the message is dead, and this store lacks its body
}

// delivery is the part of a message's state that is needed only until the message is finished at all members.
type delivery struct {
	key             *keyQueue // messages of the same order key; nil for a message without order
	leaseholder     *edge     // the only edge that may deliver the message; nil if no edge leases it
	lastLeaseholder string    // Member.ID of the edge that put the message or leased it last; replicated to all members
	lastChange      *op       // the newest change that isn't on disk at all members yet
	acceptSequence  uint64    // sequence number of the acceptance
	due             uint32    // when the message's delay ends, in milliseconds of the steady clock
	expires         uint32    // when the message's retention ends, in milliseconds of the steady clock
	session         uint16    // session of the leaseholder in which the lease began
	accepting       bool      // the put isn't on disk at all members yet
	granted         bool      // the message may be delivered, and its leaseholder was notified
	assigned        bool      // the store chose the leaseholder, and counts the message among those assigned to it
	queued          bool      // the message is in the heap of unowned messages, reserved for an edge, or deferred by a barrier
	released        bool      // the last leaseholder has released the message
	grantPending    bool      // the leaseholder gets the grant once all members have recorded the lease
}

func (e *entry) pending() bool { return e.state == wire.StatePending }

// lastLeaseholder returns the Member.ID of the edge that put a pending message or leased it last, and "" for a finished
// message.
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

func sequencedBefore(a, b *entry) bool {
	if a.sequence != b.sequence {
		return a.sequence < b.sequence
	}
	return a.id < b.id
}

// sum returns a checksum of the part of a message's state that must be equal at all members.
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

// bucketCount is the number of buckets into which a partition is divided for comparisons.
const bucketCount = 32
