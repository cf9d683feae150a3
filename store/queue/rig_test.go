package queue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/wire"
	"ravendale/store/journal"
)

// driver drives one core event by event, and is its Journal and Host. Nothing is synced or acknowledged until the
// test does so.
type driver struct {
	t       *testing.T
	core    *Core
	now     Time
	records [][]byte
}

// fakeRemote is a Remote that records the notifications sent to it.
type fakeRemote struct {
	notifications []any
}

func (h *fakeRemote) Notify(_ wire.Method, message msgp.Marshaler) error {
	h.notifications = append(h.notifications, message)
	return nil
}

// lastSent returns the newest notification of a type, or nil.
func lastSent[T any](h *fakeRemote) *T {
	for i := len(h.notifications) - 1; i >= 0; i-- {
		if m, ok := h.notifications[i].(*T); ok {
			return m
		}
	}
	return nil
}

// reply is a Replier that records the answer to one request.
type reply struct {
	message msgp.Marshaler
	err     error
}

func (a *reply) Send(message msgp.Marshaler) { a.message = message }

func (a *reply) Fail(err error) { a.err = err }

func (r *driver) Append(payload []byte) (journal.Location, uint64) {
	r.records = append(r.records, payload)
	return journal.Location{Segment: 1, Offset: uint32(len(r.records))}, uint64(len(r.records))
}

func (r *driver) Position() uint64 { return uint64(len(r.records)) }

func (r *driver) Read(at journal.Location) ([]byte, error) { return r.records[at.Offset-1], nil }

func (r *driver) Remove(uint32) {}

func (r *driver) Segments() (uint32, uint32) { return 1, 1 }

func (r *driver) Used() int64 { return 0 }

func (r *driver) WakeAt(time.Duration) {}

func (r *driver) StatusChanged() {}

func (r *driver) Fail(err error) { r.t.Error(err) }

func (r *driver) sync() { r.core.JournalSynced(r.now, r.Position()) }

// advance moves the clocks forward and ticks the core.
func (r *driver) advance(d time.Duration) {
	r.now.Steady += d
	r.now.UnixMs += int64(d / ms)
	r.core.Tick(r.now)
}

func (r *driver) put(m wire.Message, from Remote) *reply { return r.putDispatch(m, from, true) }

func (r *driver) attach(id string, from Remote) {
	r.core.AttachEdge(r.now, from, &wire.Attach{Edge: id}, &reply{})
}

func (r *driver) claim(by Remote, ids ...string) *reply { return r.claimAt(r.core.epoch(), by, ids) }

func (r *driver) report(m wire.Report, by Remote) *reply { return r.reportAt(r.core.epoch(), m, by) }

func (r *driver) putDispatch(m wire.Message, from Remote, dispatch bool) *reply {
	a := &reply{}
	m.SentUnixMs = r.now.UnixMs
	r.core.PutMessage(r.now, from, &wire.Put{Epoch: r.core.epoch(), Message: m, Dispatch: dispatch}, a)
	return a
}

func (r *driver) claimAt(epoch uint64, from Remote, ids []string) *reply {
	a := &reply{}
	r.core.ClaimMessages(r.now, from, &wire.Claim{Epoch: epoch, IDs: ids}, a)
	return a
}

func (r *driver) reportAt(epoch uint64, m wire.Report, from Remote) *reply {
	a := &reply{}
	m.Epoch = epoch
	r.core.ReportDelivery(r.now, from, &m, a)
	return a
}

// newDriver returns a driver whose store has no view yet.
func newDriver(t *testing.T) *driver {
	r := &driver{t: t, now: Time{Steady: time.Second, UnixMs: 1_000_000}}
	r.core = New(Config{Disk: "a", Copies: 2, FinishedRetention: 10 * time.Second}, r)
	r.core.Start(r.now, r)
	return r
}

// view applies a view of one partition, in which the store has the index 0.
func (r *driver) view(epoch uint64, replicas, joining []uint16) {
	r.core.SetView(r.now, &wire.StoreView{
		Epoch: epoch, Copies: 2, Stores: []wire.Store{{Disk: "a"}, {Disk: "b"}, {Disk: "c"}},
		Partitions: []wire.Placement{{Replicas: replicas, Joining: joining}},
	})
}

// newReadyPrimary returns a store that is the ready primary of partition 0, the other replica b, and an edge e that has
// claimed.
func newReadyPrimary(t *testing.T) (r *driver, b, e *fakeRemote) {
	r, b, e = newDriver(t), &fakeRemote{}, &fakeRemote{}
	r.view(1, []uint16{0, 1}, nil)
	r.core.PeerUp(r.now, "b", b)
	r.reportEqual(b)
	r.attach("e", e)
	r.claim(e)
	r.sync()
	r.advance(time.Second)
	return r, b, e
}

// reportEqual makes a member answer the newest comparison with the result that nothing differs.
func (r *driver) reportEqual(member *fakeRemote) {
	c := lastSent[Compare](member)
	require.NotNil(r.t, c)
	r.core.Differ(r.now, member, &Differ{ComparisonID: c.ComparisonID, Bucket: bucketCount, Last: true})
}

// ack makes a member acknowledge everything that it was sent.
func (r *driver) ack(member *fakeRemote) {
	if sent := lastSent[Replicate](member); sent != nil {
		r.core.Acked(r.now, member, &Acked{Number: sent.Number})
	}
}

func (r *driver) syncAndAck(member *fakeRemote) {
	r.sync()
	r.ack(member)
}

func replyCode(t *testing.T, a *reply) wire.PutCode {
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

func plainMsg(id string) wire.Message {
	return wire.Message{ID: id, Body: []byte("body"), RetentionMs: 90_000}
}

func orderedMsg(id string) wire.Message { m := plainMsg(id); m.Key, m.Ordered = "k", true; return m }

// recoverFrom makes a core recover from the records of another store.
func recoverFrom(t *testing.T, r *driver, again *Core) {
	for i, payload := range r.records {
		require.NoError(t, again.Recover(Time{}, journal.Location{Segment: 1, Offset: uint32(i + 1)}, payload))
	}
}
