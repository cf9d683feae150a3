package queue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/wire"
)

// successor returns a store that has just become the primary of partition 0, and the other replica, which has told nothing yet.
func successor(t *testing.T, records ...*Record) (r *rig, b *heard) {
	r, b = member(t), &heard{}
	r.take(1, records...)
	r.view(2, []uint16{0, 1}, nil)
	r.core.PeerUp(r.now, "b", b)
	return r, b
}

// fetched has the other replica tell of a record that only it has.
func (r *rig) fetched(b *heard, record *Record) {
	round := last[Compare](b).Round
	theirs := Digest{ID: record.ID, Sum: 1, State: record.State, Failed: record.Failed}
	bucket := uint16(bucketOf(hashOf(record.ID)))
	r.core.Differ(r.now, b, &Differ{Round: round, Bucket: bucket, Entries: []Digest{theirs}, Last: true})
	r.core.Fetched(r.now, b, &Fetched{Round: round, Last: true, Records: [][]byte{record.encode()}})
	r.settle(b)
}

// An edge's report may be faster than the message that it is about.
func TestReportOfAMessageThatMayBeKnownElsewhereIsNotTaken(t *testing.T) {
	r, b := successor(t)
	e := &heard{}
	r.attach("e", e)
	r.claim(e)
	done := wire.Report{ID: "0.1", Kind: wire.ReportDone, Signature: "s"}
	assert.Equal(t, wire.PutUnknown, code(t, r.report(done, e)))
	r.fetched(b, &Record{ID: "0.1", Sequence: 1, Message: plain("")})
	again := r.report(done, e)
	r.settle(b)
	assert.Equal(t, wire.PutKept, code(t, again))
	assert.Equal(t, wire.StateDone, r.find("0.1", false).State)
	r.pass(10 * time.Second)
	require.Nil(t, last[wire.Grant](e))
	assert.Equal(t, wire.PutKept, code(t, r.report(wire.Report{ID: "0.2", Kind: wire.ReportDone}, e)), "nobody knows it")
}

func TestGrantsCarryTheEpoch(t *testing.T) {
	r, b, e := primary(t)
	r.view(7, []uint16{0, 1}, nil)
	r.claim(e)
	r.put(ordered("0.1"), e)
	r.put(ordered("0.2"), e)
	r.putAs(plain("0.3"), e, false)
	r.settle(b)
	require.NotNil(t, last[wire.Grant](e))
	assert.True(t, last[wire.Grant](e).Whole)
	assert.EqualValues(t, 7, last[wire.Grant](e).Epoch)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportDone}, e)
	r.settle(b)
	assert.False(t, last[wire.Grant](e).Whole)
	assert.EqualValues(t, 7, last[wire.Grant](e).Epoch)
}
