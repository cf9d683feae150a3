package queue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

func (r *rig) find(id string, body bool) *wire.FindReply {
	a := &answer{}
	r.core.FindMessage(r.now, &wire.Find{ID: id, Body: body, Epoch: r.core.epoch()}, a)
	return a.message.(*wire.FindReply)
}

// take has the store, as a member, get records from a primary.
func (r *rig) take(epoch uint64, records ...*Record) {
	m := &Replicate{Epoch: epoch, Number: 1}
	for _, record := range records {
		m.Records = append(m.Records, record.encode())
	}
	r.core.Replicate(r.now, &heard{}, m)
	r.sync()
}

func member(t *testing.T) *rig {
	r := newRig(t)
	r.view(1, []uint16{1, 0}, nil)
	return r
}

func deadEnd(sequence uint64) *Record {
	return &Record{Kind: RecordFinish, ID: "0.1", Sequence: sequence, State: wire.StateDead}
}

// A primary that was replaced while it finished a message has one outcome on disk, its successor another.
func TestAnotherEndLeavesADeadMessageItsBody(t *testing.T) {
	r := member(t)
	r.take(1, &Record{ID: "0.1", Sequence: 1, Message: plain("")}, deadEnd(2), deadEnd(3))
	assert.Equal(t, &wire.FindReply{Found: true, State: wire.StateDead, Body: []byte("body")}, r.find("0.1", true))
	bare := &Record{ID: "0.1", Sequence: 4, State: wire.StateDead, NoBody: true}
	r.take(1, bare)
	assert.Equal(t, "body", string(r.find("0.1", true).Body))

	again := New(Config{Disk: "a", Copies: 2}, r)
	replay(t, r, again)
	assert.Equal(t, r.core.partition(0).sums, again.partition(0).sums)
}

// A joining member may hear of an end before it was sent the message.
func TestEndThatComesFirstHasNoBodyYet(t *testing.T) {
	r := member(t)
	r.take(1, deadEnd(2))
	assert.Equal(t, &wire.FindReply{}, r.find("0.1", true), "another replica has it")
	assert.Equal(t, &wire.FindReply{Found: true, State: wire.StateDead}, r.find("0.1", false))
	r.take(1, &Record{ID: "0.1", Sequence: 2, State: wire.StateDead, Message: plain("")})
	assert.Equal(t, "body", string(r.find("0.1", true).Body))
}

// A primary that lacks the body of a dead message gets it from a member that has it.
func TestBodyOfADeadMessageIsFetched(t *testing.T) {
	r, b := member(t), &heard{}
	r.take(1, deadEnd(2))
	r.view(2, []uint16{0, 1}, nil)
	r.core.PeerUp(r.now, "b", b)
	r.same(b)
	r.pass(time.Second)
	r.pass(scrubInterval)
	bucket := uint16(bucketOf(hashOf("0.1")))
	comparisonID := last[Compare](b).ComparisonID
	theirs := Digest{ID: "0.1", Sum: 1, State: wire.StateDead}
	r.core.Differ(r.now, b, &Differ{ComparisonID: comparisonID, Bucket: bucket, Entries: []Digest{theirs}, Last: true})
	require.NotNil(t, last[Fetch](b))
	full := &Record{ID: "0.1", Sequence: 1, State: wire.StateDead, Message: plain("")}
	r.core.Fetched(r.now, b, &Fetched{ComparisonID: comparisonID, Last: true, Records: [][]byte{full.encode()}})
	assert.Equal(t, "body", string(r.find("0.1", true).Body))
	entry, _ := r.core.partition(0).find("0.1")
	assert.EqualValues(t, 2, entry.sequence)
}

func TestBodyOfADroppedMessageIsNotFound(t *testing.T) {
	r, b, e := primary(t)
	r.put(plain("0.1"), e)
	r.syncAndAck(b)
	r.report(wire.Report{ID: "0.1", Kind: wire.ReportDropped}, e)
	r.syncAndAck(b)
	assert.Equal(t, &wire.FindReply{Found: true, State: wire.StateDropped}, r.find("0.1", false))
	assert.Equal(t, &wire.FindReply{}, r.find("0.1", true))
}
