package queue

import (
	"fmt"

	"ravendale/cluster/wire"
)

//msgp:tuple Record

// RecordKind says what a Record changes.
type RecordKind uint8

// The kinds of records.
const (
	RecordMessage     RecordKind = iota // all that is known of a message; replaces what was known
	RecordFinish                        // State, Sequence and Signature
	RecordFailed                        // Failed
	RecordDrop                          // the message was never accepted
	RecordWipe                          // all of the partition is removed
	RecordEpoch                         // Sequence is the newest epoch seen
	RecordLeaseholder                   // Leaseholder
)

// Record is one change, as it lies in the journal and goes to other stores.
type Record struct {
	Kind        RecordKind
	Partition   uint16
	ID          string
	Sequence    uint64 // order of acceptance; of a finished message, order of outcomes
	State       wire.State
	Failed      uint16
	Signature   string
	Leaseholder string       // of a pending message: Member.ID of the edge that put it, or was granted it last
	NoBody      bool         // of a RecordMessage: the message is dead, and its body is not here
	Message     wire.Message // without ID; empty for finished messages but dead ones
}

// encode makes the bytes of a record. Encoding to memory does not fail.
func (r *Record) encode() []byte {
	payload, _ := r.MarshalMsg(make([]byte, 0, r.Msgsize()))
	return payload
}

// decodeRecord reads a record. The message in it has no ID.
func decodeRecord(payload []byte) (*Record, error) {
	r := new(Record)
	if _, err := r.UnmarshalMsg(payload); err != nil {
		return nil, fmt.Errorf("queue: record of %d bytes: %w", len(payload), err)
	}
	return r, nil
}
