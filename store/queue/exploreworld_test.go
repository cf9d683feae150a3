package queue

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/wire"
	"ravendale/control/placement"
)

// modelEdge is an edge, with its deliveries by message ID.
type modelEdge struct {
	name       string
	epoch      uint64 // epoch of the view that it has
	deliveries map[string]*modelDelivery
}

type modelDelivery struct {
	accepted, granted, running, finished bool
	requested                            bool // a put or a report is unanswered
}

// modelMessage is the state of a message from the view of its client, its worker and its edge.
type modelMessage struct {
	accepted bool // the client has received the reply that the message is accepted
	finished bool // the worker has processed the message
	reported bool // the edge has received the acknowledgement of the outcome
}

// modelWorld is the system whose states are explored.
type modelWorld struct {
	config   modelConfig
	now      time.Duration
	passes   int
	wipes    int
	retired  string
	view     *wire.StoreView
	views    map[uint64]*wire.StoreView
	stores   []*modelStore
	edges    []*modelEdge
	links    []*modelLink
	messages map[string]*modelMessage
	failure  string
}

var modelMessages = []string{"0.1", "0.2"}

func newWorld(config modelConfig) *modelWorld {
	w := &modelWorld{config: config, messages: make(map[string]*modelMessage), views: make(map[uint64]*wire.StoreView)}
	for _, id := range modelMessages {
		w.messages[id] = &modelMessage{}
	}
	for _, name := range []string{"a", "b", "c"} {
		w.stores = append(w.stores, &modelStore{world: w, name: name, disk: name})
	}
	var live []placement.Store
	for _, s := range w.stores {
		live = append(live, placement.Store{Disk: s.disk, Node: s.name, Address: s.name, Zone: s.name})
	}
	view, founded := placement.Plan(nil, live, w.placementConfig())
	if !founded {
		w.violation("the planner made no first view")
	}
	w.view = view
	w.views[view.Epoch] = view
	for _, s := range w.stores {
		s.start()
		s.core.SetView(s.time(), view)
		s.durable = len(s.records)
		s.core.JournalSynced(s.time(), s.Position())
	}
	for _, name := range []string{"e", "f"} {
		w.edges = append(w.edges, &modelEdge{name: name, epoch: view.Epoch, deliveries: make(map[string]*modelDelivery)})
	}
	w.connect()
	w.settle()
	w.pass()
	w.settle()
	return w
}

func (w *modelWorld) placementConfig() placement.Config {
	return placement.Config{Copies: modelCopies, Partitions: 1}
}

func (w *modelWorld) violation(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf(format, args...)
	}
}

func (w *modelWorld) store(name string) *modelStore {
	at := slices.IndexFunc(w.stores, func(s *modelStore) bool { return s.name == name })
	if at < 0 {
		return nil
	}
	return w.stores[at]
}

func (w *modelWorld) edge(name string) *modelEdge {
	at := slices.IndexFunc(w.edges, func(e *modelEdge) bool { return e.name == name })
	if at < 0 {
		return nil
	}
	return w.edges[at]
}

func (w *modelWorld) link(from, to string) *modelLink {
	at := slices.IndexFunc(w.links, func(l *modelLink) bool { return l.from == from && l.to == to })
	if at < 0 {
		return nil
	}
	return w.links[at]
}

// connect opens all missing connections.
func (w *modelWorld) connect() {
	for _, to := range w.stores {
		if !to.up {
			continue
		}
		for _, from := range w.stores {
			if from.up && from != to && from.core.peers.byDisk[to.disk] != nil && w.link(from.name, to.name) == nil {
				l := w.open(from.name, to.name)
				from.core.PeerUp(from.time(), to.disk, l.ends[0])
			}
		}
		for _, e := range w.edges {
			if w.link(e.name, to.name) == nil {
				l := w.open(e.name, to.name)
				l.ends[0].request(wire.MethodAttach, &wire.Attach{Edge: e.name}, "attach")
				w.claim(e, to)
			}
		}
	}
}

func (w *modelWorld) open(from, to string) *modelLink {
	name := from + ">" + to
	l := &modelLink{from: from, to: to, ends: [2]*modelEnd{{world: w, name: name + " 0"}, {world: w, name: name + " 1"}}}
	w.links = append(w.links, l)
	return l
}

func (e *modelEnd) request(method wire.Method, message msgp.Marshaler, call string) {
	payload, _ := message.MarshalMsg(nil)
	e.outgoing = append(e.outgoing, packet{method: method, payload: payload, call: call})
}

// primary returns the store that is the primary according to an edge's view.
func (w *modelWorld) primary(e *modelEdge) *modelStore {
	view := w.views[e.epoch]
	placed := view.Partitions[0]
	if len(placed.Replicas) == 0 {
		return nil
	}
	return w.byDisk(view.Stores[placed.Replicas[0]].Disk)
}

func (w *modelWorld) byDisk(disk string) *modelStore {
	at := slices.IndexFunc(w.stores, func(s *modelStore) bool { return s.disk == disk })
	if at < 0 {
		return nil
	}
	return w.stores[at]
}

func (w *modelWorld) claim(e *modelEdge, to *modelStore) {
	claim := &wire.Claim{Epoch: e.epoch}
	if w.primary(e) == to {
		for _, id := range modelMessages {
			if e.deliveries[id] != nil {
				claim.IDs = append(claim.IDs, id)
			}
		}
	}
	w.link(e.name, to.name).ends[0].request(wire.MethodClaim, claim, fmt.Sprint("claim ", e.epoch))
}

// Do implements explore.System.
func (w *modelWorld) Do(name string) {
	fields := strings.Fields(name)
	switch fields[0] {
	case "deliver":
		w.deliver(w.link(fields[1], fields[2]), int(fields[3][0]-'0'))
	case "plan":
		next, _ := w.nextView()
		w.installView(next)
	case "retire":
		w.retire(fields[1])
	case "pass":
		w.passes++
		w.pass()
	case "put", "again":
		w.put(fields[1])
	case "run", "finish", "report":
		w.applyDeliveryAction(fields[0], w.edge(fields[1]), fields[2])
	case "view":
		w.applyView(fields[1])
	default:
		w.applyStoreAction(fields[0], w.store(fields[1]))
	}
	w.applyMutant()
	w.connect()
	w.clearRecoveredFailures()
}

func (w *modelWorld) applyView(name string) {
	if e := w.edge(name); e != nil {
		e.epoch = w.view.Epoch
		for _, s := range w.stores {
			if w.link(e.name, s.name) != nil {
				w.claim(e, s)
			}
		}
		for _, delivery := range e.deliveries {
			delivery.requested = false // requests of the old view are repeated
		}
		return
	}
	s := w.store(name)
	s.core.SetView(s.time(), w.view)
}

func (w *modelWorld) retire(name string) {
	var live []placement.Store
	for _, s := range w.stores {
		if s.seenLive && !s.removed {
			live = append(live, placement.Store{Disk: s.disk, Node: s.name, Address: s.name, Zone: s.name})
		}
	}
	w.retired = name
	if marked, _, enough := placement.Retire(w.view, live, w.placementConfig(), name); enough {
		w.installView(marked)
	}
}

func (w *modelWorld) applyStoreAction(action string, s *modelStore) {
	switch action {
	case "sync":
		s.durable = len(s.records)
		s.core.JournalSynced(s.time(), s.Position())
	case "start":
		s.start()
	case "miss":
		s.seenLive = false
	case "hear":
		s.seenLive = true
	case "reset":
		s.seenLive = false
	case "power":
		s.failed = true
		w.stop(s)
	case "wipe", "remove":
		s.failed, s.removed = action == "wipe", action == "remove"
		if s.removed {
			w.checkOtherCopies(s)
		}
		w.stop(s)
		w.wipes++
		s.disk += "'"
		s.records, s.durable = nil, 0
	}
}

// stop makes a store lose power: unsynced records are lost, and its connections break.
func (w *modelWorld) stop(s *modelStore) {
	s.up = false
	s.records = s.records[:s.durable]
	w.links = slices.DeleteFunc(w.links, func(l *modelLink) bool {
		if l.from != s.name && l.to != s.name {
			return false
		}
		l.ends[0].closed, l.ends[1].closed = true, true
		if from := w.store(l.from); from != nil && from != s && from.up {
			from.core.PeerDown(from.time(), l.ends[0])
		}
		if e := w.edge(l.from); e != nil {
			for _, delivery := range e.deliveries {
				delivery.requested = false
			}
		}
		return true
	})
}

// deliver delivers all packets that one end has sent to the other end.
func (w *modelWorld) deliver(l *modelLink, side int) {
	from, to := l.ends[side], l.ends[1-side]
	sent := from.outgoing
	from.outgoing = nil
	for _, p := range sent {
		if side == 0 {
			w.store(l.to).receive(to, p)
			continue
		}
		if e := w.edge(l.from); e != nil {
			w.receiveFromStore(e, l, p)
			continue
		}
		w.store(l.from).receiveAnswer(to, p)
	}
}

func (s *modelStore) receive(from *modelEnd, p packet) {
	now, reply := s.time(), &modelReply{end: from, call: p.call}
	switch p.method {
	case MethodReplicate:
		s.core.Replicate(now, from, decode[Replicate](p.payload))
	case MethodCompare:
		s.core.Compare(now, from, decode[Compare](p.payload))
	case MethodFetch:
		s.core.Fetch(now, from, decode[Fetch](p.payload))
	case MethodFilled:
		s.core.Filled(now, from, decode[Filled](p.payload))
	case wire.MethodAttach:
		s.core.AttachEdge(now, from, decode[wire.Attach](p.payload), reply)
	case wire.MethodClaim:
		s.core.ClaimMessages(now, from, decode[wire.Claim](p.payload), reply)
	case wire.MethodPut:
		s.core.PutMessage(now, from, decode[wire.Put](p.payload), reply)
	case wire.MethodReport:
		s.core.ReportDelivery(now, from, decode[wire.Report](p.payload), reply)
	}
}

func (s *modelStore) receiveAnswer(from *modelEnd, p packet) {
	switch p.method {
	case MethodAcked:
		s.core.Acked(s.time(), from, decode[Acked](p.payload))
	case MethodDiffer:
		s.core.Differ(s.time(), from, decode[Differ](p.payload))
	case MethodFetched:
		s.core.Fetched(s.time(), from, decode[Fetched](p.payload))
	}
}
