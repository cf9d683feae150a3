package queue

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"ravendale/cluster/wire"
)

// simEdge is a scheduler: it puts messages, runs what it may, and reports.
type simEdge struct {
	sim   *sim
	index int
	id    string
	life  int
	up    bool
	view  *wire.StoreView
	conns map[uint16]*simConn
	held  map[string]*simHeld
	puts  map[string]bool     // under way
	ended map[string]*simHeld // that were reported, and acknowledged
	count int
}

// simHeld is a message that an edge holds.
type simHeld struct {
	message wire.Message
	kept    bool
	granted bool
	running bool
	report  *wire.Report // to be acknowledged
	failed  uint16
}

func newSimEdge(s *sim, index int) *simEdge { return &simEdge{sim: s, index: index} }

func (e *simEdge) start() {
	e.life++
	e.up = true
	e.id = fmt.Sprintf("edge%d-%d", e.index, e.life)
	e.view = nil
	e.conns = make(map[uint16]*simConn)
	e.held = make(map[string]*simHeld)
	e.puts = make(map[string]bool)
	e.ended = make(map[string]*simHeld)
	life := e.life
	e.publish()
	e.loop(life, 5*ms, 40*ms, e.connect)
	e.loop(life, ms, 20*ms, e.put)
	e.loop(life, 30*ms, 60*ms, e.work)
}

func (e *simEdge) loop(life int, low, high time.Duration, run func()) {
	e.sim.after(e.sim.between(low, high), func() {
		if !e.up || e.life != life {
			return
		}
		run()
		e.loop(life, low, high, run)
	})
}

func (e *simEdge) stop() {
	e.up = false
	for _, i := range e.stores() {
		e.conns[i].close()
	}
}

func (e *simEdge) stores() []uint16 {
	var list []uint16
	for i := range e.conns {
		list = append(list, i)
	}
	slices.Sort(list)
	return list
}

func (e *simEdge) publish() {
	life, view := e.life, e.sim.view
	e.sim.after(e.sim.between(0, e.sim.lag), func() {
		if !e.up || e.life != life || e.view != nil && e.view.Epoch >= view.Epoch {
			return
		}
		e.view = view
		for _, i := range e.stores() {
			e.claim(i)
		}
	})
}

func (e *simEdge) connect() {
	if e.view == nil {
		return
	}
	for i, n := range e.sim.stores {
		c := e.conns[uint16(i)]
		if !n.up || c != nil && c.open || e.sim.isCut(e.name(), n.disk.name) {
			continue
		}
		e.open(uint16(i), n)
	}
}

func (e *simEdge) name() string { return fmt.Sprintf("edge%d", e.index) }

func (e *simEdge) open(i uint16, n *simStore) {
	c := e.sim.connect(e.name(), n.disk.name)
	e.conns[i] = c
	n.conns = append(n.conns, c)
	life, storeLife := e.life, n.disk.life
	c.ends[0].take = func(method wire.Method, payload []byte, _ *simReply) {
		if e.up && e.life == life && method == wire.MethodGrant {
			e.granted(decode[wire.Grant](payload))
		}
	}
	c.ends[1].take = func(method wire.Method, payload []byte, reply *simReply) {
		if n.up && n.disk.life == storeLife {
			n.take(c.ends[1], method, payload, reply)
		}
	}
	c.closed[1] = func() {
		if n.up && n.disk.life == storeLife {
			n.core.EdgeDown(n.time(), c.ends[1])
		}
	}
	c.ends[0].request(wire.MethodAttach, &wire.Attach{Edge: e.id}, func([]byte) {})
	e.claim(i)
}

func (e *simEdge) names() []string {
	var names []string
	for id := range e.held {
		names = append(names, id)
	}
	sort.Strings(names)
	return names
}

func (e *simEdge) primary(id string) (uint16, bool) {
	number, _ := wire.PartitionOf(id)
	if e.view == nil || len(e.view.Partitions[number].Replicas) == 0 {
		return 0, false
	}
	return e.sim.storeOf(e.view, e.view.Partitions[number].Replicas[0])
}

func (e *simEdge) claim(i uint16) {
	claim := &wire.Claim{Epoch: e.view.Epoch}
	for _, id := range e.names() {
		if primary, ok := e.primary(id); ok && primary == i {
			claim.IDs = append(claim.IDs, id)
		}
	}
	life, c := e.life, e.conns[i]
	c.ends[0].request(wire.MethodClaim, claim, func(payload []byte) {
		reply := decode[wire.ClaimReply](payload)
		if !e.up || e.life != life || claim.Epoch != e.view.Epoch {
			return
		}
		if reply.Code != wire.PutKept {
			e.sim.after(50*ms, func() {
				if e.up && e.life == life && c.open && claim.Epoch == e.view.Epoch {
					e.claim(i)
				}
			})
			return
		}
		for _, id := range reply.Unknown {
			if held := e.held[id]; held != nil && held.kept && held.report == nil && !held.running {
				delete(e.held, id)
			}
		}
	})
}

func (e *simEdge) put() {
	if e.sim.stopped || e.view == nil || len(e.puts) > 20 {
		return
	}
	e.count++
	key := ""
	partition := uint16(e.sim.random.IntN(len(e.view.Partitions)))
	if e.sim.random.IntN(3) > 0 {
		key = fmt.Sprintf("key%d", e.sim.random.IntN(6))
		partition = wire.PartitionOfKey(key, len(e.view.Partitions))
	}
	id := wire.MessageID(partition, fmt.Sprintf("%s-%d", e.id, e.count))
	m := wire.Message{
		ID: id, Key: key, Ordered: key != "", Body: []byte("body of " + id), RetentionMs: 600_000,
		SentUnixMs: int64(e.sim.now / ms),
	}
	if e.sim.random.IntN(10) == 0 {
		m.DelayMs = uint32(e.sim.random.IntN(400))
	}
	message := &simMessage{message: m, sentAt: e.sim.now}
	e.sim.messages[id] = message
	e.sim.byKey[key] = append(e.sim.byKey[key], message)
	e.sim.names = append(e.sim.names, id)
	e.held[id] = &simHeld{message: m}
	e.puts[id] = true
	e.try(id, 0)
}

func (e *simEdge) try(id string, tries int) {
	held := e.held[id]
	i, ok := e.primary(id)
	c := e.conns[i]
	if held == nil || !ok {
		delete(e.puts, id)
		return
	}
	life := e.life
	again := func() {
		e.sim.after(50*ms, func() {
			if e.up && e.life == life && e.puts[id] {
				e.try(id, tries+1)
			}
		})
	}
	if tries > 20 {
		delete(e.puts, id)
		if !held.kept { // a grant told otherwise
			delete(e.held, id) // given up: the client is told nothing
		}
		return
	}
	if c == nil || !c.open {
		again()
		return
	}
	number, _ := wire.PartitionOf(id)
	put := &wire.Put{Partition: number, Epoch: e.view.Epoch, Message: held.message, Dispatch: true}
	answered := false
	c.ends[0].request(wire.MethodPut, put, func(payload []byte) {
		answered = true
		reply := decode[wire.PutReply](payload)
		if !e.up || e.life != life {
			return
		}
		if !e.puts[id] {
			e.giveBack(c, id, reply)
			return
		}
		if reply.Code != wire.PutKept {
			again()
			return
		}
		delete(e.puts, id)
		if e.sim.messages[id].keptAt == 0 {
			e.sim.messages[id].keptAt = e.sim.now
		}
		if e.held[id] != held { // it was dropped, or has ended by now
			return
		}
		held.kept = true
		if reply.Granted || !held.message.Ordered {
			held.granted = true
		}
		e.deliver(id)
	})
	e.sim.after(1500*ms, func() {
		if !answered && e.up && e.life == life && e.puts[id] {
			e.try(id, tries+1)
		}
	})
}

// giveBack has the store hand a message to another edge that was kept after this one had given it up.
func (e *simEdge) giveBack(c *simConn, id string, reply *wire.PutReply) {
	if reply.Code != wire.PutKept || e.held[id] != nil {
		return
	}
	number, _ := wire.PartitionOf(id)
	report := &wire.Report{Partition: number, Epoch: e.view.Epoch, ID: id, Kind: wire.ReportReleased}
	c.ends[0].request(wire.MethodReport, report, func([]byte) {})
}

// refuse gives back a message that this edge does not hold any more.
func (e *simEdge) refuse(g *wire.Grant) {
	i, _ := e.primary(g.ID)
	report := &wire.Report{Partition: g.Partition, Epoch: e.view.Epoch, ID: g.ID, Kind: wire.ReportReleased}
	if c := e.conns[i]; c != nil && c.open {
		c.ends[0].request(wire.MethodReport, report, func([]byte) {})
	}
}

func (e *simEdge) granted(g *wire.Grant) {
	held := e.held[g.ID]
	if ended := e.ended[g.ID]; held == nil && ended != nil {
		e.held[g.ID] = ended
		e.report(g.ID, ended)
		return
	}
	if held == nil {
		if !g.HasMessage {
			e.refuse(g)
			return
		}
		m := g.Message
		if want := e.sim.messages[g.ID].message; string(m.Body) != string(want.Body) || m.Key != want.Key {
			e.sim.fail("message %s was handed over changed", g.ID)
		}
		held = &simHeld{message: m, kept: true, failed: g.Failed}
		e.held[g.ID] = held
	}
	held.granted = true
	held.kept = true
	e.deliver(g.ID)
}

// work goes on with what was held up: delays, reports that were not acknowledged.
func (e *simEdge) work() {
	if e.view == nil {
		return
	}
	for _, id := range e.names() {
		held := e.held[id]
		if held.report != nil {
			e.report(id, held)
			continue
		}
		e.deliver(id)
	}
}

func (e *simEdge) deliver(id string) {
	held := e.held[id]
	m := e.sim.messages[id]
	due := m.sentAt + time.Duration(held.message.DelayMs)*ms
	if !held.kept || !held.granted || held.running || held.report != nil || e.sim.now < due {
		return
	}
	held.running = true
	e.sim.started(m)
	life := e.life
	e.sim.after(e.sim.between(ms, 30*ms), func() {
		failed := e.sim.random.IntN(12) == 0
		if !failed && m.endedAt == 0 {
			m.endedAt = e.sim.now
		}
		if !e.up || e.life != life {
			return // the answer has nobody to go to
		}
		held.running = false
		held.report = &wire.Report{ID: id, Kind: wire.ReportDone, Signature: "signed " + id}
		if failed {
			held.failed++
			held.report = &wire.Report{ID: id, Kind: wire.ReportFailed, Failed: held.failed}
		}
		e.report(id, held)
	})
}

func (e *simEdge) report(id string, held *simHeld) {
	i, ok := e.primary(id)
	c := e.conns[i]
	if !ok || c == nil || !c.open {
		return
	}
	report := *held.report
	report.Partition, _ = wire.PartitionOf(id)
	report.Epoch = e.view.Epoch
	life := e.life
	c.ends[0].request(wire.MethodReport, &report, func(payload []byte) {
		reply := decode[wire.ReportReply](payload)
		if !e.up || e.life != life || reply.Code != wire.PutKept || e.held[id] != held || held.report == nil {
			return
		}
		if report.Kind == wire.ReportFailed {
			if held.report.Kind == wire.ReportFailed && held.report.Failed == report.Failed {
				held.report = nil
			}
			return
		}
		e.sim.messages[id].doneAcked = true
		e.ended[id] = held
		delete(e.held, id)
	})
}

// started checks what may run.
func (s *sim) started(m *simMessage) {
	m.runs++
	if s.calm && m.endedAt > 0 {
		s.fail("message %s runs again after its end:%s", m.message.ID, s.describe(m.message.ID))
	}
	if !m.message.Ordered {
		return
	}
	for _, other := range s.byKey[m.message.Key] {
		if other.keptAt > 0 && other.keptAt < m.sentAt && other.endedAt == 0 {
			s.fail("message %s runs before %s has ended, which was accepted before it was sent", m.message.ID, other.message.ID)
		}
	}
}

// check finds out whether all that was accepted has ended, and is known as such at the primary.
func (s *sim) check() {
	for _, id := range s.names {
		m := s.messages[id]
		if m.keptAt == 0 {
			continue
		}
		if m.endedAt == 0 {
			s.fail("message %s was accepted and has not ended:%s", id, s.describe(id))
			return
		}
	}
	s.checkEqual()
}

// checkEqual finds out whether all members of each partition know the same.
func (s *sim) checkEqual() {
	for number, place := range s.view.Partitions {
		primary, _ := s.storeOf(s.view, place.Replicas[0])
		first := s.stores[primary].core.at(uint16(number))
		if len(place.Joining) > 0 || len(place.Replicas) < int(s.view.Copies) {
			s.fail("partition %d has not got back its members: %v", number, place)
		}
		// What was never accepted may wait for its retention to end: its edge claimed it while it was being put, and gave it up.
		for _, e := range first.sorted(func(_ uint64, e *entry) bool { return e.pending() }) {
			if s.messages[e.id].keptAt > 0 || e.live.holder == nil || e.live.key != nil {
				s.fail("message %s is left pending:%s", e.id, s.describe(e.id))
			}
		}
		for _, replica := range place.Replicas[1:] {
			i, _ := s.storeOf(s.view, replica)
			other := s.stores[i].core.at(uint16(number))
			if first.horizon == other.horizon && first.sums != other.sums {
				s.fail("partition %d differs at %s and %s", number, s.stores[primary].disk.name, s.stores[i].disk.name)
			}
		}
	}
}
