package queue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/wire"
	"ravendale/store/journal"
)

// Tests with a rig drive one core by hand. Nothing is synced, and nothing acknowledged, before the test says so.

type rig struct {
	t       *testing.T
	core    *Core
	now     Time
	records [][]byte
}

type heard struct {
	notices []any
}

func (h *heard) Notify(_ wire.Method, message msgp.Marshaler) error {
	h.notices = append(h.notices, message)
	return nil
}

// last returns the newest notice of a type.
func last[T any](h *heard) *T {
	for i := len(h.notices) - 1; i >= 0; i-- {
		if m, ok := h.notices[i].(*T); ok {
			return m
		}
	}
	return nil
}

type answer struct {
	message msgp.Marshaler
	err     error
}

func (a *answer) Send(message msgp.Marshaler) { a.message = message }

func (a *answer) Fail(err error) { a.err = err }

func (r *rig) Append(payload []byte) (journal.Location, uint64) {
	r.records = append(r.records, payload)
	return journal.Location{Segment: 1, Offset: uint32(len(r.records))}, uint64(len(r.records))
}

func (r *rig) Position() uint64 { return uint64(len(r.records)) }

func (r *rig) Read(at journal.Location) ([]byte, error) { return r.records[at.Offset-1], nil }

func (r *rig) Remove(uint32) {}

func (r *rig) Segments() (uint32, uint32) { return 1, 1 }

func (r *rig) Used() int64 { return 0 }

func (r *rig) WakeAt(time.Duration) {}

func (r *rig) StatusChanged() {}

func (r *rig) Fail(err error) { r.t.Error(err) }

func (r *rig) sync() { r.core.JournalSynced(r.now, r.Position()) }

func (r *rig) pass(d time.Duration) {
	r.now.Steady += d
	r.now.UnixMs += int64(d / ms)
	r.core.Tick(r.now)
}

func (r *rig) put(m wire.Message, from Remote) *answer { return r.putAs(m, from, true) }

func (r *rig) attach(id string, from Remote) {
	r.core.AttachEdge(r.now, from, &wire.Attach{Edge: id}, &answer{})
}

func (r *rig) claim(from Remote, ids ...string) *answer { return r.claimAt(r.core.epoch(), from, ids) }

func (r *rig) report(m wire.Report, from Remote) *answer { return r.reportAt(r.core.epoch(), m, from) }

func (r *rig) putAs(m wire.Message, from Remote, dispatch bool) *answer {
	a := &answer{}
	m.SentUnixMs = r.now.UnixMs
	r.core.PutMessage(r.now, from, &wire.Put{Epoch: r.core.epoch(), Message: m, Dispatch: dispatch}, a)
	return a
}

func (r *rig) claimAt(epoch uint64, from Remote, ids []string) *answer {
	a := &answer{}
	r.core.ClaimMessages(r.now, from, &wire.Claim{Epoch: epoch, IDs: ids}, a)
	return a
}

func (r *rig) reportAt(epoch uint64, m wire.Report, from Remote) *answer {
	a := &answer{}
	m.Epoch = epoch
	r.core.ReportDelivery(r.now, from, &m, a)
	return a
}

// newRig returns a store that the test has yet to give a view.
func newRig(t *testing.T) *rig {
	r := &rig{t: t, now: Time{Steady: time.Second, UnixMs: 1_000_000}}
	r.core = New(Config{Disk: "a", Copies: 2, FinishedRetention: 10 * time.Second}, r)
	r.core.Start(r.now, r)
	return r
}

// view puts a view of one partition into force; the store has the index 0.
func (r *rig) view(epoch uint64, replicas, joining []uint16) {
	r.core.SetView(r.now, &wire.StoreView{
		Epoch: epoch, Copies: 2, Stores: []wire.Store{{Disk: "a"}, {Disk: "b"}, {Disk: "c"}},
		Partitions: []wire.Placement{{Replicas: replicas, Joining: joining}},
	})
}

// primary returns a store that is the primary of partition 0 with b, and ready; with an edge that has claimed.
func primary(t *testing.T) (r *rig, b, e *heard) {
	r, b, e = newRig(t), &heard{}, &heard{}
	r.view(1, []uint16{0, 1}, nil)
	r.core.PeerUp(r.now, "b", b)
	r.same(b)
	r.attach("e", e)
	r.claim(e)
	r.sync()
	r.pass(time.Second)
	return r, b, e
}

// same has a member say that it has what the primary has.
func (r *rig) same(member *heard) {
	c := last[Compare](member)
	require.NotNil(r.t, c)
	r.core.Differ(r.now, member, &Differ{ComparisonID: c.ComparisonID, Bucket: bucketCount, Last: true})
}

// ack has a member acknowledge all that it was sent.
func (r *rig) ack(member *heard) {
	if sent := last[Replicate](member); sent != nil {
		r.core.Acked(r.now, member, &Acked{Number: sent.Number})
	}
}

func (r *rig) syncAndAck(member *heard) {
	r.sync()
	r.ack(member)
}

func code(t *testing.T, a *answer) wire.PutCode {
	t.Helper()
	require.NoError(t, a.err)
	switch m := a.message.(type) {
	case *wire.PutReply:
		return m.Code
	case *wire.ReportReply:
		return m.Code
	case *wire.ClaimReply:
		return m.Code
	}
	require.Fail(t, "no answer")
	return 0
}

func plain(id string) wire.Message {
	return wire.Message{ID: id, Body: []byte("body"), RetentionMs: 90_000}
}

func ordered(id string) wire.Message { m := plain(id); m.Key, m.Ordered = "k", true; return m }

// replay has a core read what another wrote.
func replay(t *testing.T, r *rig, again *Core) {
	for i, payload := range r.records {
		require.NoError(t, again.Recover(Time{}, journal.Location{Segment: 1, Offset: uint32(i + 1)}, payload))
	}
}
