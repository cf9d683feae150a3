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

// unsyncedDuration is the time for which the mutant acksUnsyncedRecord reports a record as synced before it is.
const unsyncedDuration = 200 * time.Millisecond

// segmentRecords is the number of records in one segment of a journal.
const segmentRecords = 60

// memoryJournal is the journal of a store on a simulated disk. After a power loss at least the synced entries are still
// there.
type memoryJournal struct {
	process     *process
	incarnation *incarnation
	entries     [][]byte
	oldest      int // index of the first entry that was not removed
	durable     int
	syncing     bool
}

// Append implements queue.Journal.
func (r *memoryJournal) Append(payload []byte) (journal.Location, uint64) {
	r.entries = append(r.entries, slices.Clone(payload))
	r.startSync()
	i := len(r.entries) - 1
	return journal.Location{Segment: uint32(i/segmentRecords) + 1, Offset: uint32(i % segmentRecords)}, uint64(len(r.entries))
}

func (r *memoryJournal) startSync() {
	if r.syncing {
		return
	}
	r.syncing = true
	w, l := r.process.world, r.incarnation
	duration := w.drawBetween(200*time.Microsecond, 2*time.Millisecond)
	if w.slowDisks {
		duration += w.drawUpTo(20 * time.Millisecond)
	}
	if r.process.diskDelay > 0 {
		duration += w.drawUpTo(r.process.diskDelay)
		w.countFault("disk_slow store: a write was late")
	}
	upTo := len(r.entries)
	if w.mutant == acksUnsyncedRecord {
		duration = unsyncedDuration
		l.after(0, func() { r.process.queue.JournalSynced(r.process.time(), uint64(upTo)) })
	}
	l.after(duration, func() { r.finishSync(l, upTo) })
}

func (r *memoryJournal) finishSync(l *incarnation, upTo int) {
	if r.process.diskStalled {
		r.process.world.countFault("disk_stall store: a write waited")
		l.after(50*time.Millisecond, func() { r.finishSync(l, upTo) })
		return
	}
	r.durable, r.syncing = max(r.durable, upTo), false
	if r.durable < len(r.entries) {
		r.startSync()
	}
	r.process.queue.JournalSynced(r.process.time(), uint64(r.durable))
}

// Position implements queue.Journal.
func (r *memoryJournal) Position() uint64 { return uint64(len(r.entries)) }

// Read implements queue.Journal.
func (r *memoryJournal) Read(at journal.Location) ([]byte, error) {
	i := int(at.Segment-1)*segmentRecords + int(at.Offset)
	if at.Segment == 0 || i < r.oldest || i >= len(r.entries) {
		return nil, fmt.Errorf("simulation: no record at %v", at)
	}
	return r.entries[i], nil
}

// Remove implements queue.Journal.
func (r *memoryJournal) Remove(segment uint32) { r.oldest = max(r.oldest, int(segment)*segmentRecords) }

// Segments implements queue.Journal.
func (r *memoryJournal) Segments() (oldest, newest uint32) {
	return uint32(r.oldest/segmentRecords) + 1, uint32(max(len(r.entries)-1, 0)/segmentRecords) + 1
}

// Used implements queue.Journal.
func (r *memoryJournal) Used() int64 { return int64(len(r.entries)-r.oldest) * 100 }

// stop is called at the end of the incarnation that used the journal. A power loss loses a random part of the unsynced
// entries.
func (r *memoryJournal) stop(powerLoss bool) {
	if powerLoss {
		r.entries = r.entries[:r.durable+r.process.world.random.IntN(len(r.entries)-r.durable+1)]
	}
	r.durable, r.syncing = len(r.entries), false
}

// time returns the monotonic time and the time of day for the store's queue.
func (p *process) time() queue.Time {
	return queue.Time{Steady: p.clock() - p.startedAt, UnixMs: int64(p.world.now/time.Millisecond) + p.skewMs + 1e9}
}

// startStore recovers the store's queue from its journal.
func (p *process) startStore(l *incarnation) {
	p.startedAt = p.clock()
	p.journal.incarnation = l
	p.peers, p.unordered = make(map[string]host.Link), make(map[*rpc.Conn]queue.Remote)
	p.queue = queue.New(queue.Config{
		Disk: p.disk, Zone: p.zone, Copies: p.world.settings.faultTolerance + 1, FinishedRetention: time.Minute, DiskBytes: 1 << 20, Log: l.log(),
	}, queueHost{p, l})
	for i := p.journal.oldest; i < len(p.journal.entries); i++ {
		at := journal.Location{Segment: uint32(i/segmentRecords) + 1, Offset: uint32(i % segmentRecords)}
		if err := p.queue.Recover(p.time(), at, p.journal.entries[i]); err != nil {
			p.world.fail("%s: %v", p.name, err)
			return
		}
	}
	p.queue.Start(p.time(), p.journal)
	p.handleStore()
}

// queueHost connects the queue to its process. It implements queue.Host.
type queueHost struct {
	process     *process
	incarnation *incarnation
}

// WakeAt implements queue.Host.
func (h queueHost) WakeAt(steady time.Duration) {
	p := h.process
	p.wakeCount++
	number := p.wakeCount
	h.incarnation.after(h.incarnation.worldDuration(steady-p.time().Steady), func() {
		if number == p.wakeCount { // a later call of WakeAt replaces this one
			p.queue.Tick(p.time())
		}
	})
}

// StatusChanged implements queue.Host.
func (h queueHost) StatusChanged() { h.incarnation.after(0, h.process.agent.RenewNow) }

// Fail implements queue.Host.
func (h queueHost) Fail(err error) { h.process.world.fail("%s: %v", h.process.name, err) }

// handleStore registers the handlers of calls by edges and other stores, as package store/server does.
func (p *process) handleStore() {
	request(p, p.handlers, wire.MethodPut, (*queue.Core).PutMessage)
	request(p, p.handlers, wire.MethodReport, (*queue.Core).ReportDelivery)
	request(p, p.handlers, wire.MethodClaim, (*queue.Core).ClaimMessages)
	request(p, p.handlers, wire.MethodAttach, (*queue.Core).AttachEdge)
	notice(p, p.handlers, wire.MethodEdgeConfig, (*queue.Core).ConfigureEdge)
	request(p, p.handlers, queue.MethodHello, (*queue.Core).Hello)
	notice(p, p.handlers, queue.MethodReplicate, (*queue.Core).Replicate)
	notice(p, p.handlers, queue.MethodCompare, (*queue.Core).Compare)
	notice(p, p.handlers, queue.MethodFetch, (*queue.Core).Fetch)
	notice(p, p.handlers, queue.MethodFilled, (*queue.Core).Filled)
}

func request[T any, P interface {
	*T
	msgp.Unmarshaler
}](p *process, mux *rpc.Mux, method wire.Method, handle func(*queue.Core, queue.Time, queue.Remote, *T, queue.Replier)) {
	rpc.Handle[T, P](mux, method, func(c *rpc.Conn, m *T, reply rpc.Reply) {
		if p.ignoresRepeatedAttach(c, method) {
			return
		}
		handle(p.queue, p.time(), p.remote(c), m, reply)
	})
}

func notice[T any, P interface {
	*T
	msgp.Unmarshaler
}](p *process, mux *rpc.Mux, method wire.Method, handle func(*queue.Core, queue.Time, queue.Remote, *T)) {
	rpc.Handle[T, P](mux, method, func(c *rpc.Conn, m *T, _ rpc.Reply) { handle(p.queue, p.time(), p.remote(c), m) })
}

// remote returns a connection as the queue sees it. With the mutation takesLastConnection, the queue can neither tell in
// which order connections were accepted, nor close them.
func (p *process) remote(c *rpc.Conn) queue.Remote {
	if p.world.mutant != takesLastConnection || c.AcceptOrder() == 0 {
		return c
	}
	if p.unordered[c] == nil {
		p.unordered[c] = &unorderedRemote{conn: c}
	}
	return p.unordered[c]
}

// unorderedRemote hides everything of a connection but Notify.
type unorderedRemote struct{ conn *rpc.Conn }

// Notify implements queue.Remote.
func (r *unorderedRemote) Notify(method wire.Method, message msgp.Marshaler) error {
	return r.conn.Notify(method, message)
}

// ignoresRepeatedAttach reports whether a store with the mutation takesLastConnection ignores a request, because an edge
// attaches again on a connection. Edges of earlier versions don't.
func (p *process) ignoresRepeatedAttach(c *rpc.Conn, method wire.Method) bool {
	return p.world.mutant == takesLastConnection && method == wire.MethodAttach && p.unordered[c] != nil
}

// accepted is called for each connection that another process opened.
func (p *process) accepted(l *incarnation, c *rpc.Conn) {
	if p.edge {
		return
	}
	c.OnClose(func(error) { l.after(0, func() { p.queue.RemoteDown(p.time(), p.remote(c)) }) })
}

// applyToStore passes the agent's members and placement to the queue, and opens and closes connections to other stores
// accordingly.
func (p *process) applyToStore(l *incarnation) {
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
		p.peers[other.Disk].ReconnectNow()
	}
}

// linkTo connects to another store. The connection is closed unless that store has the expected disk.
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
