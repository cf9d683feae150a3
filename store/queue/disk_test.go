package queue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ravendale/cluster/wire"
)

// A store whose disk doesn't sync must report the stall and reject new messages without writing them. Once all records
// are synced it accepts messages again.
func TestStalledDiskRefusesPuts(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	r.sync()
	pendingPut := r.put(plainMsg("0.1"), e)
	r.ack(b)
	r.advance(stallTimeout - ms)
	assert.False(t, r.core.Status().Stalled)
	r.advance(ms)
	assert.True(t, r.core.Status().Stalled)
	assert.Nil(t, pendingPut.message, "the put must not be answered yet")
	records := len(r.records)
	assert.Equal(t, wire.PutRejected, replyCode(t, r.put(plainMsg("0.2"), e)))
	assert.Len(t, r.records, records, "a rejected put writes no record")
	r.sync()
	assert.False(t, r.core.Status().Stalled)
	assert.Equal(t, wire.PutAccepted, replyCode(t, pendingPut))
	retriedPut := r.put(plainMsg("0.2"), e)
	r.syncAndAck(b)
	assert.Equal(t, wire.PutAccepted, replyCode(t, retriedPut))
}

func TestFullDiskIsReportedAtOnce(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	r.sync()
	r.core.DiskFull(r.now)
	assert.False(t, r.core.Status().Stalled, "nothing waits for the disk")
	pendingPut := r.put(plainMsg("0.1"), e)
	r.ack(b)
	r.core.DiskFull(r.now)
	assert.True(t, r.core.Status().Stalled)
	assert.Equal(t, wire.PutRejected, replyCode(t, r.put(plainMsg("0.2"), e)))
	r.sync()
	assert.False(t, r.core.Status().Stalled)
	assert.Equal(t, wire.PutAccepted, replyCode(t, pendingPut))
}

// A slow disk that completes a sync within each stall timeout is not stalled.
func TestSlowDiskIsNotStalled(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	r.sync()
	for i := range 5 {
		r.put(plainMsg("0.1"+string(rune('a'+i))), e)
		r.put(plainMsg("0.2"+string(rune('a'+i))), e)
		r.ack(b)
		r.advance(stallTimeout - 100*ms)
		r.core.JournalSynced(r.now, r.Position()-1)
		assert.False(t, r.core.Status().Stalled)
	}
	r.sync()
	r.advance(10 * time.Second)
	r.sync()
	assert.False(t, r.core.Status().Stalled)
}

// If a stalled store is replaced, it must not accept the puts that waited for its disk.
func TestReplacedStalledStoreAnswersPutUnknown(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	r.sync()
	pendingPut := r.put(plainMsg("0.1"), e)
	r.ack(b)
	r.advance(stallTimeout)
	r.view(2, []uint16{1}, []uint16{2})
	assert.Equal(t, wire.PutUnknown, replyCode(t, pendingPut))
}
