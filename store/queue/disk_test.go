package queue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ravendale/cluster/wire"
)

// A store whose disk takes nothing says so and refuses new messages, surely; once the disk has taken all it goes on.
func TestAStoreWithAStalledDiskRefusesPuts(t *testing.T) {
	r, b, e := primary(t)
	r.sync()
	waits := r.put(plain("0.1"), e)
	r.ack(b)
	r.pass(stallTimeout - ms)
	assert.False(t, r.core.Status().Stalled)
	r.pass(ms)
	assert.True(t, r.core.Status().Stalled)
	assert.Nil(t, waits.message, "whether it is accepted is not known")
	records := len(r.records)
	assert.Equal(t, wire.PutRejected, code(t, r.put(plain("0.2"), e)))
	assert.Len(t, r.records, records, "nothing of what is refused is written")
	r.sync()
	assert.False(t, r.core.Status().Stalled)
	assert.Equal(t, wire.PutAccepted, code(t, waits))
	kept := r.put(plain("0.2"), e)
	r.syncAndAck(b)
	assert.Equal(t, wire.PutAccepted, code(t, kept))
}

func TestAFullDiskIsReportedAtOnce(t *testing.T) {
	r, b, e := primary(t)
	r.sync()
	r.core.DiskFull(r.now)
	assert.False(t, r.core.Status().Stalled, "there was room meanwhile")
	waits := r.put(plain("0.1"), e)
	r.ack(b)
	r.core.DiskFull(r.now)
	assert.True(t, r.core.Status().Stalled)
	assert.Equal(t, wire.PutRejected, code(t, r.put(plain("0.2"), e)))
	r.sync()
	assert.False(t, r.core.Status().Stalled)
	assert.Equal(t, wire.PutAccepted, code(t, waits))
}

// A disk that is slow and takes one after another is not stalled.
func TestASlowDiskIsNotStalled(t *testing.T) {
	r, b, e := primary(t)
	r.sync()
	for i := range 5 {
		r.put(plain("0.1"+string(rune('a'+i))), e)
		r.put(plain("0.2"+string(rune('a'+i))), e)
		r.ack(b)
		r.pass(stallTimeout - 100*ms)
		r.core.JournalSynced(r.now, r.Position()-1)
		assert.False(t, r.core.Status().Stalled)
	}
	r.sync()
	r.pass(10 * time.Second)
	r.sync()
	assert.False(t, r.core.Status().Stalled)
}

// What waited for the disk when others replaced the store is not accepted by it.
func TestAStalledStoreThatIsReplacedIsUnsureOfWhatWaited(t *testing.T) {
	r, b, e := primary(t)
	r.sync()
	waits := r.put(plain("0.1"), e)
	r.ack(b)
	r.pass(stallTimeout)
	r.view(2, []uint16{1}, []uint16{2})
	assert.Equal(t, wire.PutUnknown, code(t, waits))
}
