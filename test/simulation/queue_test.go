package simulation

import (
	"fmt"
	"slices"
	"time"

	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/host"
	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
	"ravendale/store/journal"
	"ravendale/store/queue"
)

// unsyncedFor is how long a journal that claims to be synced is not.
const unsyncedFor = 200 * time.Millisecond

// segmentRecords is how many records one segment of a journal holds.
const segmentRecords = 60

// records is a store's journal on a disk that keeps what was synced.
type records struct {
	process     *process
	incarnation *incarnation
	kept        [][]byte
	first       int // of those that were not removed
	durable     int
	syncing     bool
}

// Append implements queue.Journal.
func (r *records) Append(payload []byte) (journal.Location, uint64) {
	r.kept = append(r.kept, slices.Clone(payload))
	r.sync()
	i := len(r.kept) - 1
	return journal.Location{Segment: uint32(i/segmentRecords) + 1, Offset: uint32(i % segmentRecords)}, uint64(len(r.kept))
}

func (r *records) sync() {
	if r.syncing {
		return
	}
	r.syncing = true
	w, l := r.process.world, r.incarnation
	takes := w.between(200*time.Microsecond, 2*time.Millisecond)
	if w.slowDisks {
		takes += w.upTo(20 * time.Millisecond)
	}
	if r.process.slowBy > 0 {
		takes += w.upTo(r.process.slowBy)
		w.took("disk_slow store: a write was late")
	}
	upTo := len(r.kept)
	if w.mutant == unsyncedRecord {
		takes = unsyncedFor
		l.after(0, func() { r.process.queue.JournalSynced(r.process.time(), uint64(upTo)) })
	}
	l.after(takes, func() { r.synced(l, upTo) })
}

func (r *records) synced(l *incarnation, upTo int) {
	if r.process.stalled {
		r.process.world.took("disk_stall store: a write waited")
		l.after(50*time.Millisecond, func() { r.synced(l, upTo) })
		return
	}
	r.durable, r.syncing = max(r.durable, upTo), false
	if r.durable < len(r.kept) {
		r.sync()
	}
	r.process.queue.JournalSynced(r.process.time(), uint64(r.durable))
}

// Position implements queue.Journal.
func (r *records) Position() uint64 { return uint64(len(r.kept)) }

// Read implements queue.Journal.
func (r *records) Read(at journal.Location) ([]byte, error) {
	i := int(at.Segment-1)*segmentRecords + int(at.Offset)
	if at.Segment == 0 || i < r.first || i >= len(r.kept) {
		return nil, fmt.Errorf("simulation: no record at %v", at)
	}
	return r.kept[i], nil
}

// Remove implements queue.Journal.
func (r *records) Remove(segment uint32) { r.first = max(r.first, int(segment)*segmentRecords) }

// Segments implements queue.Journal.
func (r *records) Segments() (oldest, newest uint32) {
	return uint32(r.first/segmentRecords) + 1, uint32(max(len(r.kept)-1, 0)/segmentRecords) + 1
}

// Used implements queue.Journal.
func (r *records) Used() int64 { return int64(len(r.kept)-r.first) * 100 }

// stop ends the incarnation of who uses the disk. Without power part of what was not synced is lost.
func (r *records) stop(powerLoss bool) {
	if powerLoss {
		r.kept = r.kept[:r.durable+r.process.world.random.IntN(len(r.kept)-r.durable+1)]
	}
	r.durable, r.syncing = len(r.kept), false
}

// time is what the process's queue goes by.
func (p *process) time() queue.Time {
	return queue.Time{Steady: p.clock() - p.startedAt, UnixMs: int64(p.world.now/time.Millisecond) + p.skewMs + 1e9}
}

// startStore makes the queue of a store from its disk.
func (p *process) startStore(l *incarnation) {
	p.startedAt = p.clock()
	p.records.incarnation = l
	p.peers = make(map[string]host.Link)
	p.queue = queue.New(queue.Config{
		Disk: p.disk, Zone: p.zone, Copies: p.world.settings.faultTolerance + 1, FinishedRetention: time.Minute, DiskBytes: 1 << 20, Log: l.log(),
	}, queueHost{p, l})
	for i := p.records.first; i < len(p.records.kept); i++ {
		at := journal.Location{Segment: uint32(i/segmentRecords) + 1, Offset: uint32(i % segmentRecords)}
		if err := p.queue.Recover(p.time(), at, p.records.kept[i]); err != nil {
			p.world.fail("%s: %v", p.name, err)
			return
		}
	}
	p.queue.Start(p.time(), p.records)
	p.handleStore()
}

// queueHost is what the queue sees of its process.
type queueHost struct {
	process     *process
	incarnation *incarnation
}

// WakeAt implements queue.Host.
func (h queueHost) WakeAt(steady time.Duration) {
	p := h.process
	p.wakes++
	number := p.wakes
	h.incarnation.after(h.incarnation.real(steady-p.time().Steady), func() {
		if number == p.wakes { // else it wanted another time since
			p.queue.Tick(p.time())
		}
	})
}

// StatusChanged implements queue.Host.
func (h queueHost) StatusChanged() { h.incarnation.after(0, h.process.agent.RenewNow) }

// Fail implements queue.Host.
func (h queueHost) Fail(err error) { h.process.world.fail("%s: %v", h.process.name, err) }

// handleStore registers what edges and other stores call, as package store/server does.
func (p *process) handleStore() {
	request(p, p.box, wire.MethodPut, (*queue.Core).PutMessage)
	request(p, p.box, wire.MethodReport, (*queue.Core).ReportDelivery)
	request(p, p.box, wire.MethodClaim, (*queue.Core).ClaimMessages)
	request(p, p.box, wire.MethodAttach, (*queue.Core).AttachEdge)
	rpc.Handle(p.box, queue.MethodHello, func(_ *rpc.Conn, m *queue.Hello, reply rpc.Reply) {
		reply.Send(&queue.HelloReply{Accepted: m.To == p.disk})
	})
	notice(p, p.box, queue.MethodReplicate, (*queue.Core).Replicate)
	notice(p, p.box, queue.MethodCompare, (*queue.Core).Compare)
	notice(p, p.box, queue.MethodFetch, (*queue.Core).Fetch)
	rpc.Handle(p.box, queue.MethodFilled, func(_ *rpc.Conn, m *queue.Filled, _ rpc.Reply) { p.queue.Filled(p.time(), m) })
}

func request[T any, P interface {
	*T
	msgp.Unmarshaler
}](p *process, mux *rpc.Mux, method wire.Method, handle func(*queue.Core, queue.Time, queue.Remote, *T, queue.Replier)) {
	rpc.Handle[T, P](mux, method, func(c *rpc.Conn, m *T, reply rpc.Reply) { handle(p.queue, p.time(), c, m, reply) })
}

func notice[T any, P interface {
	*T
	msgp.Unmarshaler
}](p *process, mux *rpc.Mux, method wire.Method, handle func(*queue.Core, queue.Time, queue.Remote, *T)) {
	rpc.Handle[T, P](mux, method, func(c *rpc.Conn, m *T, _ rpc.Reply) { handle(p.queue, p.time(), c, m) })
}

// accepted hears of a connection that another process opened.
func (p *process) accepted(l *incarnation, c *rpc.Conn) {
	if p.edge {
		return
	}
	c.OnClose(func(error) { l.after(0, func() { p.queue.EdgeDown(p.time(), c) }) })
}

// takeStore has a store act under what it knows now.
func (p *process) takeStore(l *incarnation) {
	s := p.agent.Snapshot()
	if s.Members != nil {
		p.queue.SetEdges(p.time(), s.Members.Edges)
	}
	if s.Stores == nil {
		return
	}
	p.queue.SetView(p.time(), s.Stores)
	wanted := p.queue.Peers()
	for disk, link := range p.peers {
		if !slices.ContainsFunc(wanted, func(other wire.Store) bool { return other.Disk == disk }) {
			link.Close()
			delete(p.peers, disk)
		}
	}
	for _, other := range wanted {
		if p.peers[other.Disk] == nil {
			p.peers[other.Disk] = p.linkTo(l, other)
		}
	}
	for _, other := range wanted {
		p.peers[other.Disk].Hurry()
	}
}

// linkTo connects to another store, and makes sure that it has the disk that is meant.
func (p *process) linkTo(l *incarnation, other wire.Store) host.Link {
	mux := rpc.NewMux()
	notice(p, mux, queue.MethodAcked, (*queue.Core).Acked)
	notice(p, mux, queue.MethodDiffer, (*queue.Core).Differ)
	notice(p, mux, queue.MethodFetched, (*queue.Core).Fetched)
	options := rpc.Options{Mux: mux, ConnectTimeout: 300 * time.Millisecond}
	return l.Connect(other.Address, options, func(c *rpc.Conn) {
		c.OnClose(func(error) { l.after(0, func() { p.queue.PeerDown(p.time(), c) }) })
		c.Start(queue.MethodHello, &queue.Hello{From: p.disk, To: other.Disk}, func(payload []byte, err error) {
			reply := new(queue.HelloReply)
			if err == nil {
				_, err = reply.UnmarshalMsg(payload)
			}
			if err != nil || !reply.Accepted {
				l.after(0, c.Close)
				return
			}
			if c.Err() == nil {
				p.queue.PeerUp(p.time(), other.Disk, c)
			}
		})
	}, nil)
}
