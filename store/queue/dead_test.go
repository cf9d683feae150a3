package queue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

func (r *driver) find(id string, body bool) *wire.FindReply {
	a := &reply{}
	r.core.FindMessage(r.now, &wire.Find{ID: id, Body: body, Epoch: r.core.epoch()}, a)
	return a.message.(*wire.FindReply)
}

// receiveRecords makes the store, as a member, receive records from a primary, and syncs them.
func (r *driver) receiveRecords(epoch uint64, records ...*Record) {
	m := &Replicate{Epoch: epoch, Number: 1}
	for _, record := range records {
		m.Records = append(m.Records, record.encode())
	}
	r.core.Replicate(r.now, &fakeRemote{}, m)
	r.sync()
}

// newMember returns a store that is a member, but not the primary, of partition 0.
func newMember(t *testing.T) *driver {
	r := newDriver(t)
	r.view(1, []uint16{1, 0}, nil)
	return r
}

func deadRecord(sequence uint64) *Record {
	return &Record{Kind: RecordFinish, ID: "0.1", Sequence: sequence, State: wire.StateDead}
}

// A primary that was replaced while it finished a message may have another outcome on disk than its successor.
// Replacing one dead outcome by another must not lose the body.
func TestSecondOutcomeKeepsBodyOfDeadMessage(t *testing.T) {
	r := newMember(t)
	r.receiveRecords(1, &Record{ID: "0.1", Sequence: 1, Message: plainMsg("")}, deadRecord(2), deadRecord(3))
	assert.Equal(t, &wire.FindReply{Found: true, State: wire.StateDead, Body: []byte("body")}, r.find("0.1", true))
	withoutBody := &Record{ID: "0.1", Sequence: 4, State: wire.StateDead, NoBody: true}
	r.receiveRecords(1, withoutBody)
	assert.Equal(t, "body", string(r.find("0.1", true).Body))

	recovered := New(Config{Disk: "a", Copies: 2}, r)
	recoverFrom(t, r, recovered)
	assert.Equal(t, r.core.partition(0).sums, recovered.partition(0).sums)
}

// A joining member may receive an outcome before the message itself.
func TestFinishBeforeMessageHasNoBody(t *testing.T) {
	r := newMember(t)
	r.receiveRecords(1, deadRecord(2))
	assert.Equal(t, &wire.FindReply{}, r.find("0.1", true), "another replica has the body")
	assert.Equal(t, &wire.FindReply{Found: true, State: wire.StateDead}, r.find("0.1", false))
	r.receiveRecords(1, &Record{ID: "0.1", Sequence: 2, State: wire.StateDead, Message: plainMsg("")})
	assert.Equal(t, "body", string(r.find("0.1", true).Body))
}

// A primary that lacks the body of a dead message fetches it from a member that has it.
func TestBodyOfDeadMessageIsFetchedFromMember(t *testing.T) {
	r, b := newMember(t), &fakeRemote{}
	r.receiveRecords(1, deadRecord(2))
	r.view(2, []uint16{0, 1}, nil)
	r.core.PeerUp(r.now, "b", b)
	r.reportEqual(b)
	r.advance(time.Second)
	r.advance(scrubInterval)
	bucket := uint16(bucketOf(hashOf("0.1")))
	comparisonID := lastSent[Compare](b).ComparisonID
	digest := Digest{ID: "0.1", Sum: 1, State: wire.StateDead}
	r.core.Differ(r.now, b, &Differ{ComparisonID: comparisonID, Bucket: bucket, Entries: []Digest{digest}, Last: true})
	require.NotNil(t, lastSent[Fetch](b))
	withBody := &Record{ID: "0.1", Sequence: 1, State: wire.StateDead, Message: plainMsg("")}
	r.core.Fetched(r.now, b, &Fetched{ComparisonID: comparisonID, Last: true, Records: [][]byte{withBody.encode()}})
	assert.Equal(t, "body", string(r.find("0.1", true).Body))
	entry, _ := r.core.partition(0).find("0.1")
	assert.EqualValues(t, 2, entry.sequence)
}

func TestBodyOfDroppedMessageIsNotFound(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	r.put(plainMsg("0.1"), e)
	r.syncAndAck(b)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportDropped}, e)
	r.syncAndAck(b)
	assert.Equal(t, &wire.FindReply{Found: true, State: wire.StateDropped}, r.find("0.1", false))
	assert.Equal(t, &wire.FindReply{}, r.find("0.1", true))
}
