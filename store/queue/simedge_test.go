package queue

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"ravendale/cluster/wire"
)

// simEdge is a simulated edge: it puts messages, runs those that it may deliver, and reports outcomes.
type simEdge struct {
	sim         *sim
	index       int
	id          string
	incarnation int
	up          bool
	view        *wire.StoreView
	conns       map[uint16]*simConn
	deliveries  map[string]*simDelivery
	puts        map[string]bool         // IDs of messages whose put isn't answered
	finished    map[string]*simDelivery // deliveries whose outcome was acknowledged
	count       int
}

// simDelivery is a message that an edge has.
type simDelivery struct {
	message  wire.Message
	accepted bool
	granted  bool
	running  bool
	report   *wire.Report // the report that isn't acknowledged yet, if any
	failed   uint16
}

func newSimEdge(s *sim, index int) *simEdge { return &simEdge{sim: s, index: index} }

func (e *simEdge) start() {
	e.incarnation++
	e.up = true
	e.id = fmt.Sprintf("edge%d-%d", e.index, e.incarnation)
	e.view = nil
	e.conns = make(map[uint16]*simConn)
	e.deliveries = make(map[string]*simDelivery)
	e.puts = make(map[string]bool)
	e.finished = make(map[string]*simDelivery)
	incarnation := e.incarnation
	e.publish()
	e.loop(incarnation, 5*ms, 40*ms, e.connect)
	e.loop(incarnation, ms, 20*ms, e.put)
	e.loop(incarnation, 30*ms, 60*ms, e.processDeliveries)
}

func (e *simEdge) loop(incarnation int, low, high time.Duration, run func()) {
	e.sim.after(e.sim.between(low, high), func() {
		if !e.up || e.incarnation != incarnation {
			return
		}
		run()
		e.loop(incarnation, low, high, run)
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
	incarnation, view := e.incarnation, e.sim.view
	e.sim.after(e.sim.between(0, e.sim.maxViewDelay), func() {
		if !e.up || e.incarnation != incarnation || e.view != nil && e.view.Epoch >= view.Epoch {
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
		if !n.up || c != nil && c.open || e.sim.isPartitioned(e.name(), n.disk.name) {
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
	incarnation, storeIncarnation := e.incarnation, n.disk.incarnation
	c.ends[0].handle = func(method wire.Method, payload []byte, _ *simReply) {
		if e.up && e.incarnation == incarnation && method == wire.MethodGrant {
			e.handleGrant(decode[wire.Grant](payload))
		}
	}
	c.ends[1].handle = func(method wire.Method, payload []byte, reply *simReply) {
		if n.up && n.disk.incarnation == storeIncarnation {
			n.receive(c.ends[1], method, payload, reply)
		}
	}
	c.closed[1] = func() {
		if n.up && n.disk.incarnation == storeIncarnation {
			n.core.RemoteDown(n.time(), c.ends[1])
		}
	}
	c.ends[0].request(wire.MethodAttach, &wire.Attach{Edge: e.id}, func([]byte) {})
	e.claim(i)
}

func (e *simEdge) names() []string {
	var names []string
	for id := range e.deliveries {
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
	incarnation, c := e.incarnation, e.conns[i]
	c.ends[0].request(wire.MethodClaim, claim, func(payload []byte) {
		reply := decode[wire.ClaimReply](payload)
		if !e.up || e.incarnation != incarnation || claim.Epoch != e.view.Epoch {
			return
		}
		if reply.Code != wire.PutAccepted {
			e.sim.after(50*ms, func() {
				if e.up && e.incarnation == incarnation && c.open && claim.Epoch == e.view.Epoch {
					e.claim(i)
				}
			})
			return
		}
		for _, id := range reply.Unknown {
			if delivery := e.deliveries[id]; delivery != nil && delivery.accepted && delivery.report == nil && !delivery.running {
				delete(e.deliveries, id)
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
	e.deliveries[id] = &simDelivery{message: m}
	e.puts[id] = true
	e.attemptPut(id, 0)
}

func (e *simEdge) attemptPut(id string, attempts int) {
	delivery := e.deliveries[id]
	i, ok := e.primary(id)
	c := e.conns[i]
	if delivery == nil || !ok {
		delete(e.puts, id)
		return
	}
	incarnation := e.incarnation
	retry := func() {
		e.sim.after(50*ms, func() {
			if e.up && e.incarnation == incarnation && e.puts[id] {
				e.attemptPut(id, attempts+1)
			}
		})
	}
	if attempts > 20 {
		delete(e.puts, id)
		if !delivery.accepted { // a grant may have shown that the put was accepted
			delete(e.deliveries, id) // the put is abandoned: the client gets no reply
		}
		return
	}
	if c == nil || !c.open {
		retry()
		return
	}
	number, _ := wire.PartitionOf(id)
	put := &wire.Put{Partition: number, Epoch: e.view.Epoch, Message: delivery.message, Dispatch: true}
	answered := false
	c.ends[0].request(wire.MethodPut, put, func(payload []byte) {
		answered = true
		reply := decode[wire.PutReply](payload)
		switch {
		case !e.up || e.incarnation != incarnation:
		case !e.puts[id]:
			e.releaseAbandonedPut(c, id, reply)
		case reply.Code != wire.PutAccepted:
			retry()
		default:
			e.putAccepted(id, delivery, reply)
		}
	})
	e.sim.after(1500*ms, func() {
		if !answered && e.up && e.incarnation == incarnation && e.puts[id] {
			e.attemptPut(id, attempts+1)
		}
	})
}

// putAccepted records that the client has received the reply to an accepted put, and continues with the delivery.
func (e *simEdge) putAccepted(id string, delivery *simDelivery, reply *wire.PutReply) {
	delete(e.puts, id)
	if e.sim.messages[id].acceptedAt == 0 {
		e.sim.messages[id].acceptedAt = e.sim.now
	}
	if e.deliveries[id] != delivery { // the delivery was dropped, or is finished by now
		return
	}
	delivery.accepted = true
	if reply.Granted || !delivery.message.Ordered {
		delivery.granted = true
	}
	e.deliver(id)
}

// releaseAbandonedPut releases a message that was accepted after this edge had abandoned its put.
func (e *simEdge) releaseAbandonedPut(c *simConn, id string, reply *wire.PutReply) {
	if reply.Code != wire.PutAccepted || e.deliveries[id] != nil {
		return
	}
	number, _ := wire.PartitionOf(id)
	report := &wire.Report{Partition: number, Epoch: e.view.Epoch, ID: id, Kind: wire.ReportReleased}
	c.ends[0].request(wire.MethodReport, report, func([]byte) {})
}

// releaseUnknown releases a granted message that this edge doesn't have any more.
func (e *simEdge) releaseUnknown(g *wire.Grant) {
	i, _ := e.primary(g.ID)
	report := &wire.Report{Partition: g.Partition, Epoch: e.view.Epoch, ID: g.ID, Kind: wire.ReportReleased}
	if c := e.conns[i]; c != nil && c.open {
		c.ends[0].request(wire.MethodReport, report, func([]byte) {})
	}
}

func (e *simEdge) handleGrant(g *wire.Grant) {
	delivery := e.deliveries[g.ID]
	if finished := e.finished[g.ID]; delivery == nil && finished != nil {
		e.deliveries[g.ID] = finished
		e.report(g.ID, finished)
		return
	}
	if delivery == nil {
		if !g.HasMessage {
			e.releaseUnknown(g)
			return
		}
		m := g.Message
		if want := e.sim.messages[g.ID].message; string(m.Body) != string(want.Body) || m.Key != want.Key {
			e.sim.fail("message %s was assigned with other content", g.ID)
		}
		delivery = &simDelivery{message: m, accepted: true, failed: g.Failed}
		e.deliveries[g.ID] = delivery
	}
	delivery.granted = true
	delivery.accepted = true
	e.deliver(g.ID)
}

// processDeliveries starts deliveries that are due, and repeats reports that weren't acknowledged.
func (e *simEdge) processDeliveries() {
	if e.view == nil {
		return
	}
	for _, id := range e.names() {
		delivery := e.deliveries[id]
		if delivery.report != nil {
			e.report(id, delivery)
			continue
		}
		e.deliver(id)
	}
}

func (e *simEdge) deliver(id string) {
	delivery := e.deliveries[id]
	m := e.sim.messages[id]
	due := m.sentAt + time.Duration(delivery.message.DelayMs)*ms
	if !delivery.accepted || !delivery.granted || delivery.running || delivery.report != nil || e.sim.now < due {
		return
	}
	delivery.running = true
	e.sim.checkStart(m)
	incarnation := e.incarnation
	e.sim.after(e.sim.between(ms, 30*ms), func() {
		failed := e.sim.random.IntN(12) == 0
		if !failed && m.finishedAt == 0 {
			m.finishedAt = e.sim.now
		}
		if !e.up || e.incarnation != incarnation {
			return // the edge was stopped, so the worker's answer is lost
		}
		delivery.running = false
		delivery.report = &wire.Report{ID: id, Kind: wire.ReportDone, Signature: "signed " + id}
		if failed {
			delivery.failed++
			delivery.report = &wire.Report{ID: id, Kind: wire.ReportFailed, Failed: delivery.failed}
		}
		e.report(id, delivery)
	})
}

func (e *simEdge) report(id string, delivery *simDelivery) {
	i, ok := e.primary(id)
	c := e.conns[i]
	if !ok || c == nil || !c.open {
		return
	}
	report := *delivery.report
	report.Partition, _ = wire.PartitionOf(id)
	report.Epoch = e.view.Epoch
	incarnation := e.incarnation
	c.ends[0].request(wire.MethodReport, &report, func(payload []byte) {
		reply := decode[wire.ReportReply](payload)
		if !e.up || e.incarnation != incarnation || reply.Code != wire.PutAccepted || e.deliveries[id] != delivery || delivery.report == nil {
			return
		}
		if report.Kind == wire.ReportFailed {
			if delivery.report.Kind == wire.ReportFailed && delivery.report.Failed == report.Failed {
				delivery.report = nil
			}
			return
		}
		e.sim.messages[id].doneAcked = true
		e.finished[id] = delivery
		delete(e.deliveries, id)
	})
}

// checkStart checks whether a message may run, when a worker starts it.
func (s *sim) checkStart(m *simMessage) {
	m.runs++
	if s.faultless && m.finishedAt > 0 {
		s.fail("message %s runs again after it was finished:%s", m.message.ID, s.describeMessage(m.message.ID))
	}
	if !m.message.Ordered {
		return
	}
	for _, other := range s.byKey[m.message.Key] {
		if other.acceptedAt > 0 && other.acceptedAt < m.sentAt && other.finishedAt == 0 {
			s.fail("message %s runs before %s is finished, which was accepted before it was sent", m.message.ID, other.message.ID)
		}
	}
}

// check verifies that all accepted messages are finished, at the workers and at the primaries.
func (s *sim) check() {
	for _, id := range s.names {
		m := s.messages[id]
		if m.acceptedAt == 0 {
			continue
		}
		if m.finishedAt == 0 {
			s.fail("message %s was accepted and is not finished:%s", id, s.describeMessage(id))
			return
		}
	}
	s.checkEqual()
}

// checkEqual verifies that each partition has all its members, and that they have the same content.
func (s *sim) checkEqual() {
	for number, placed := range s.view.Partitions {
		primary, _ := s.storeOf(s.view, placed.Replicas[0])
		first := s.stores[primary].core.partition(uint16(number))
		if len(placed.Joining) > 0 || len(placed.Replicas) < int(s.view.Copies) {
			s.fail("partition %d does not have all its replicas again: %v", number, placed)
		}
		// A message that was never accepted may stay pending until its retention ends: its edge claimed it while
		// putting it, and then abandoned the put.
		for _, e := range first.sortedEntries(func(_ uint64, e *entry) bool { return e.pending() }) {
			if s.messages[e.id].acceptedAt > 0 || e.delivery.leaseholder == nil || e.delivery.key != nil {
				s.fail("message %s is left pending:%s", e.id, s.describeMessage(e.id))
			}
		}
		for _, replica := range placed.Replicas[1:] {
			i, _ := s.storeOf(s.view, replica)
			other := s.stores[i].core.partition(uint16(number))
			if first.horizon == other.horizon && first.sums != other.sums {
				s.fail("partition %d differs at %s and %s", number, s.stores[primary].disk.name, s.stores[i].disk.name)
			}
		}
	}
}
