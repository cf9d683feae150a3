package queue

import (
	"fmt"

	"ravendale/cluster/wire"
)

//msgp:tuple Record

// RecordKind is the kind of change that a Record describes.
type RecordKind uint8

// The kinds of records.
const (
	RecordMessage     RecordKind = iota // the full state of a message; replaces any earlier state
	RecordFinish                        // sets State, Sequence and Signature
	RecordFailed                        // sets Failed
	RecordDrop                          // removes a message that was never accepted
	RecordWipe                          // removes all messages of the partition
	RecordEpoch                         // Sequence is the newest epoch seen
	RecordLeaseholder                   // sets Leaseholder
)

// Record is one change, in the form in which it is written to the journal and sent to other stores.
type Record struct {
	Kind        RecordKind
	Partition   uint16
	ID          string
	Sequence    uint64 // orders the acceptances of pending messages, and the outcomes of finished ones
	State       wire.State
	Failed      uint16
	Signature   string
	Leaseholder string       // of a pending message: Member.ID of the edge that put it or leased it last
	NoBody      bool         // of a RecordMessage: the message is dead, and the sender lacks its body
	Message     wire.Message // without ID; empty for finished messages other than dead ones
}

// encode returns the encoded record. Encoding to memory can't fail.
func (r *Record) encode() []byte {
	payload, _ := r.MarshalMsg(make([]byte, 0, r.Msgsize()))
	return payload
}

// decodeRecord decodes a record. The message in it has no ID.
func decodeRecord(payload []byte) (*Record, error) {
	r := new(Record)
	if _, err := r.UnmarshalMsg(payload); err != nil {
		return nil, fmt.Errorf("queue: record of %d bytes: %w", len(payload), err)
	}
	return r, nil
}
