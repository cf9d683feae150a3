package queue

import (
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"

	"ravendale/control/placement"
	"ravendale/internal/explore"
	"ravendale/queue/journal"
	"ravendale/wire"
)

// The model of this file is one partition on three stores, a schedulers' world of two, the real planner, and two messages of one key. It
// is searched in whole within its bounds: every order of deliveries, syncs, views, crashes with and without disk, resets of the leader's
// connections and a retirement.
//
// Assumptions. A connection delivers in order, and what it carries at a time at once. Time passes only while nothing is on its way: a
// delivery takes less than the windows of a takeover. A second store is lost only once enough others are whole again.

const modelCopies = 2

var modelLog = slog.New(slog.DiscardHandler)

// modelMutant takes a guard out.
type modelMutant struct {
	ackBeforeSync bool // members acknowledge what is not on their disk
	takeUnfilled  bool // a joining store is called whole though it does not say so
	retireEarly   bool // a store is removed once one other holds all
	forgetFormer  bool // what dropped members have is forgotten
	grantEarly    bool // an end counts once it is on the primary
}

type modelConfig struct {
	mutant  modelMutant
	retires bool // a retirement may be ordered
	resets  bool // the leader may drop a store that runs
	hasty   bool // the leader acts before stores do, as a rule
	passes  int  // times that time may pass
}

// packet is a message on a connection.
type packet struct {
	method  wire.Method
	payload []byte
	call    string // of a request: what is asked; of an answer: what it is the answer to
	answer  bool
}

// modelEnd is one end of a connection, as a core knows it.
type modelEnd struct {
	world  *world
	name   string
	closed bool
	out    []packet // on the way to the other end
}

func (e *modelEnd) Notify(method wire.Method, message msgp.Marshaler) error {
	payload, err := message.MarshalMsg(nil)
	if err != nil {
		return err
	}
	if grant, ok := message.(*wire.Grant); ok && e.world.messages[grant.ID].reported {
		e.world.fault("%s is granted after its end was acknowledged", grant.ID)
	}
	if !e.closed {
		e.out = append(e.out, packet{method: method, payload: payload})
	}
	return nil
}

// modelReply answers a request of an edge.
type modelReply struct {
	end  *modelEnd
	call string
}

func (r *modelReply) Send(message msgp.Marshaler) {
	if reply, ok := message.(*wire.PutReply); ok && reply.Code == wire.PutKept {
		r.end.world.checkCopies(strings.TrimPrefix(r.call, "put "))
	}
	payload, _ := message.MarshalMsg(nil)
	if !r.end.closed {
		r.end.out = append(r.end.out, packet{payload: payload, call: r.call, answer: true})
	}
}

func (r *modelReply) Fail(err error) { r.end.world.fault("%s failed: %v", r.call, err) }

// modelStore is a store with its disk.
type modelStore struct {
	world   *world
	name    string
	disk    string
	records [][]byte
	durable int
	up      bool
	heard   bool // the leader counts it among those that live
	lost    bool // it counts as lost
	removed bool
	started time.Duration
	core    *Core
	lives   int
}

func (s *modelStore) Append(payload []byte) (journal.Location, uint64) {
	s.records = append(s.records, payload)
	return journal.Location{Segment: 1, Offset: uint32(len(s.records))}, uint64(len(s.records))
}
func (s *modelStore) Position() uint64                         { return uint64(len(s.records)) }
func (s *modelStore) Read(at journal.Location) ([]byte, error) { return s.records[at.Offset-1], nil }
func (s *modelStore) Remove(uint32)                            {}
func (s *modelStore) Segments() (uint32, uint32)               { return 1, 1 }
func (s *modelStore) Used() int64                              { return 0 }
func (s *modelStore) WakeAt(time.Duration)                     {}
func (s *modelStore) StatusChanged()                           {}
func (s *modelStore) Fail(err error)                           { s.world.fault("%s: %v", s.name, err) }

func (s *modelStore) time() Time {
	return Time{Steady: time.Second + s.world.now - s.started, UnixMs: int64((s.world.now) / time.Millisecond)}
}

func (s *modelStore) start() {
	s.up, s.heard = true, true
	s.started = s.world.now
	s.lives++
	s.core = New(Config{Disk: s.disk, Copies: modelCopies, Remember: time.Hour, Log: modelLog}, s)
	for i, record := range s.records {
		if err := s.core.Recover(s.time(), journal.Location{Segment: 1, Offset: uint32(i + 1)}, record); err != nil {
			s.world.fault("recovery of %s: %v", s.name, err)
		}
	}
	s.core.Start(s.time(), s)
}

// holds says whether a message lies on the store's disk for good.
func (s *modelStore) holds(id string) bool {
	held := false
	for _, payload := range s.records[:s.durable] {
		r, err := decodeRecord(payload)
		switch {
		case err != nil:
			return false
		case r.ID == id && r.Kind != RecordDrop:
			held = true
		case r.ID == id, r.Kind == RecordWipe:
			held = false
		}
	}
	return held
}

// modelLink is a connection: of a store that may lead to another one, or of an edge to a store.
type modelLink struct {
	from, to string
	ends     [2]*modelEnd
}

// modelEdge is a scheduler.
type modelEdge struct {
	name  string
	epoch uint64 // of the view that it acts under
	held  map[string]*modelHeld
}

type modelHeld struct {
	kept, granted, running, ended bool
	asked                         bool // a put or a report is under way
}

// modelMessage is what the client and the worker know.
type modelMessage struct {
	accepted bool // the client was told
	ended    bool // the worker succeeded
	reported bool // the end was acknowledged
}

// world is the system that is searched.
type world struct {
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

func newWorld(config modelConfig) *world {
	w := &world{config: config, messages: make(map[string]*modelMessage), views: make(map[uint64]*wire.StoreView)}
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
	view, founded := placement.Plan(nil, live, w.plan())
	if !founded {
		w.fault("not founded")
	}
	w.view = view
	w.views[view.Epoch] = view
	for _, s := range w.stores {
		s.start()
		s.core.View(s.time(), view)
		s.durable = len(s.records)
		s.core.Durable(s.time(), s.Position())
	}
	for _, name := range []string{"e", "f"} {
		w.edges = append(w.edges, &modelEdge{name: name, epoch: view.Epoch, held: make(map[string]*modelHeld)})
	}
	w.connect()
	w.quiet()
	w.pass()
	w.quiet()
	return w
}

func (w *world) plan() placement.Config {
	return placement.Config{Copies: modelCopies, Partitions: 1}
}

func (w *world) fault(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf(format, args...)
	}
}

func (w *world) store(name string) *modelStore {
	at := slices.IndexFunc(w.stores, func(s *modelStore) bool { return s.name == name })
	if at < 0 {
		return nil
	}
	return w.stores[at]
}

func (w *world) edge(name string) *modelEdge {
	at := slices.IndexFunc(w.edges, func(e *modelEdge) bool { return e.name == name })
	if at < 0 {
		return nil
	}
	return w.edges[at]
}

func (w *world) link(from, to string) *modelLink {
	at := slices.IndexFunc(w.links, func(l *modelLink) bool { return l.from == from && l.to == to })
	if at < 0 {
		return nil
	}
	return w.links[at]
}

// connect opens the connections that are wanted and not there.
func (w *world) connect() {
	for _, to := range w.stores {
		if !to.up {
			continue
		}
		for _, from := range w.stores {
			if from.up && from != to && from.core.peers[to.disk] != nil && w.link(from.name, to.name) == nil {
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

func (w *world) open(from, to string) *modelLink {
	name := from + ">" + to
	l := &modelLink{from: from, to: to, ends: [2]*modelEnd{{world: w, name: name + " 0"}, {world: w, name: name + " 1"}}}
	w.links = append(w.links, l)
	return l
}

func (e *modelEnd) request(method wire.Method, message msgp.Marshaler, call string) {
	payload, _ := message.MarshalMsg(nil)
	e.out = append(e.out, packet{method: method, payload: payload, call: call})
}

// primary is the store that leads under an edge's view.
func (w *world) primary(e *modelEdge) *modelStore {
	view := w.views[e.epoch]
	place := view.Partitions[0]
	if len(place.Replicas) == 0 {
		return nil
	}
	return w.byDisk(view.Stores[place.Replicas[0]].Disk)
}

func (w *world) byDisk(disk string) *modelStore {
	at := slices.IndexFunc(w.stores, func(s *modelStore) bool { return s.disk == disk })
	if at < 0 {
		return nil
	}
	return w.stores[at]
}

func (w *world) claim(e *modelEdge, to *modelStore) {
	claim := &wire.Claim{Epoch: e.epoch}
	if w.primary(e) == to {
		for _, id := range modelMessages {
			if e.held[id] != nil {
				claim.IDs = append(claim.IDs, id)
			}
		}
	}
	w.link(e.name, to.name).ends[0].request(wire.MethodClaim, claim, fmt.Sprint("claim ", e.epoch))
}

// Enabled implements explore.System. The first action is what happens as a rule; each other one, be it a fault or just something else
// before, counts against the bound of the scope.
func (w *world) Enabled() []explore.Action {
	var actions []explore.Action
	add := func(name string, words ...any) {
		actions = append(actions, explore.Action{Name: strings.TrimSpace(fmt.Sprintln(append([]any{name}, words...)...))})
	}
	for _, l := range w.links {
		for side, end := range l.ends {
			if len(end.out) > 0 {
				add("deliver", l.from, l.to, side)
			}
		}
	}
	for _, s := range w.stores {
		w.addStore(s, add)
	}
	for _, e := range w.edges {
		w.addEdge(e, add)
	}
	if next, changed := w.next(); changed && next != nil {
		add("plan")
	}
	if w.config.retires && w.retired == "" {
		add("retire", "a")
		add("retire", "b")
	}
	if w.passes < w.config.passes && w.isQuiet() {
		add("pass")
	}
	rank := func(a explore.Action) int {
		word := strings.Fields(a.Name)[0]
		if w.config.hasty && (word == "plan" || word == "remove") {
			return -1
		}
		return slices.Index(modelOrder, word)
	}
	slices.SortStableFunc(actions, func(a, b explore.Action) int { return rank(a) - rank(b) })
	for i := range actions {
		actions[i].Fault = i > 0 || rank(actions[i]) >= slices.Index(modelOrder, "retire")
	}
	return actions
}

// modelOrder is what happens first as a rule, among all that may.
var modelOrder = []string{
	"deliver", "sync", "view", "remove", "plan", "report", "finish", "run", "again", "put", "miss", "start", "hear", "pass",
	"retire", "reset", "power", "wipe",
}

func (w *world) addStore(s *modelStore, add func(string, ...any)) {
	if s.removed {
		return
	}
	if !s.up {
		add("start", s.name)
		if s.heard {
			add("miss", s.name)
		}
		return
	}
	if s.durable < len(s.records) {
		add("sync", s.name)
	}
	if s.core.epoch() < w.view.Epoch {
		add("view", s.name)
	}
	if !s.heard {
		add("hear", s.name)
	} else if w.config.resets {
		add("reset", s.name)
	}
	if w.mayLose(s) {
		add("power", s.name)
		add("wipe", s.name)
	}
	if _, _, done := placement.Retirement(w.view, s.name); s.name == w.retired && (done || w.early(s)) {
		add("remove", s.name)
	}
}

// early is the mutant that takes a retirement for done at the first copy elsewhere.
func (w *world) early(s *modelStore) bool {
	replicas := w.view.Partitions[0].Replicas
	return w.config.mutant.retireEarly && slices.ContainsFunc(replicas, func(i uint16) bool { return w.view.Stores[i].Disk != s.disk })
}

// mayLose says whether a store may be lost: one at a time, and the next once enough are whole.
func (w *world) mayLose(s *modelStore) bool {
	if s.removed {
		return false
	}
	for _, other := range w.stores {
		if other.lost && other != s {
			return false
		}
	}
	return !s.lost
}

// forgive has lost stores count no more once enough others are whole: they have had their time.
func (w *world) forgive() {
	place := w.view.Partitions[0]
	for _, i := range place.Replicas {
		s := w.byDisk(w.view.Stores[i].Disk)
		if s == nil || !s.up || s.core.epoch() != w.view.Epoch || s.durable < len(s.records) {
			return
		}
	}
	if len(place.Replicas) < modelCopies || place.Unsure {
		return
	}
	for _, s := range w.stores {
		if s.up && s.heard {
			s.lost = false
		}
	}
}

func (w *world) addEdge(e *modelEdge, add func(string, ...any)) {
	if e.epoch < w.view.Epoch {
		add("view", e.name)
	}
	primary := w.primary(e)
	reachable := primary != nil && w.link(e.name, primary.name) != nil
	for i, id := range modelMessages {
		m, held := w.messages[id], e.held[id]
		first := i == 0 || w.messages[modelMessages[i-1]].accepted
		if e.name == "e" && held == nil && !m.accepted && !m.ended && first && reachable {
			add("put", id)
		}
		if held == nil || held.asked {
			continue
		}
		switch {
		case !held.kept && reachable:
			add("again", id)
		case held.ended && reachable:
			add("report", e.name, id)
		case held.running:
			add("finish", e.name, id)
		case held.kept && held.granted && !held.ended:
			add("run", e.name, id)
		}
	}
}

// isQuiet says whether nothing is on its way.
func (w *world) isQuiet() bool {
	for _, l := range w.links {
		if len(l.ends[0].out)+len(l.ends[1].out) > 0 {
			return false
		}
	}
	for _, s := range w.stores {
		if s.up && (s.durable < len(s.records) || s.core.epoch() < w.view.Epoch) {
			return false
		}
	}
	for _, e := range w.edges {
		if e.epoch < w.view.Epoch {
			return false
		}
	}
	return true
}

// quiet delivers and syncs until nothing is on its way.
func (w *world) quiet() {
	for !w.isQuiet() {
		for _, action := range w.Enabled() {
			if word := strings.Fields(action.Name)[0]; word == "deliver" || word == "sync" || word == "view" {
				w.Do(action.Name)
				break
			}
		}
	}
}

func (w *world) pass() {
	w.now += time.Second
	for _, s := range w.stores {
		if s.up {
			s.core.Tick(s.time())
		}
	}
}

// next is the placement that should follow.
func (w *world) next() (*wire.StoreView, bool) {
	var live []placement.Store
	for _, s := range w.stores {
		if !s.heard || s.removed {
			continue
		}
		told := placement.Store{Disk: s.disk, Node: s.name, Address: s.name, Zone: s.name}
		if s.up {
			status := s.core.Status()
			told.Epoch, told.Synced = status.Epoch, status.Synced
		}
		if w.config.mutant.takeUnfilled {
			told.Epoch, told.Synced = w.view.Epoch, []uint16{0}
		}
		live = append(live, told)
	}
	next, changed := placement.Plan(w.view, live, w.plan())
	if changed && w.config.mutant.forgetFormer {
		next.Partitions[0].Former, next.Partitions[0].Covered, next.Partitions[0].Unsure = nil, false, false
	}
	return next, changed
}

func (w *world) enact(view *wire.StoreView) {
	w.view = view
	w.views[view.Epoch] = view
}

// Do implements explore.System.
func (w *world) Do(name string) {
	words := strings.Fields(name)
	switch words[0] {
	case "deliver":
		w.deliver(w.link(words[1], words[2]), int(words[3][0]-'0'))
	case "plan":
		next, _ := w.next()
		w.enact(next)
	case "retire":
		w.retire(words[1])
	case "pass":
		w.passes++
		w.pass()
	case "put", "again":
		w.put(words[1])
	case "run", "finish", "report":
		w.work(words[0], w.edge(words[1]), words[2])
	case "view":
		w.take(words[1])
	default:
		w.disturb(words[0], w.store(words[1]))
	}
	w.mutate()
	w.connect()
	w.forgive()
}

func (w *world) take(name string) {
	if e := w.edge(name); e != nil {
		e.epoch = w.view.Epoch
		for _, s := range w.stores {
			if w.link(e.name, s.name) != nil {
				w.claim(e, s)
			}
		}
		for _, held := range e.held {
			held.asked = false // what was asked under the old view is asked again
		}
		return
	}
	s := w.store(name)
	s.core.View(s.time(), w.view)
}

func (w *world) retire(name string) {
	var live []placement.Store
	for _, s := range w.stores {
		if s.heard && !s.removed {
			live = append(live, placement.Store{Disk: s.disk, Node: s.name, Address: s.name, Zone: s.name})
		}
	}
	w.retired = name
	if marked, _, enough := placement.Retire(w.view, live, w.plan(), name); enough {
		w.enact(marked)
	}
}

func (w *world) disturb(what string, s *modelStore) {
	switch what {
	case "sync":
		s.durable = len(s.records)
		s.core.Durable(s.time(), s.Position())
	case "start":
		s.start()
	case "miss":
		s.heard = false
	case "hear":
		s.heard = true
	case "reset":
		s.heard = false
	case "power":
		s.lost = true
		w.stop(s)
	case "wipe", "remove":
		s.lost, s.removed = what == "wipe", what == "remove"
		if s.removed {
			w.checkElsewhere(s)
		}
		w.stop(s)
		w.wipes++
		s.disk += "'"
		s.records, s.durable = nil, 0
	}
}

// stop has a store lose power.
func (w *world) stop(s *modelStore) {
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
			for _, held := range e.held {
				held.asked = false
			}
		}
		return true
	})
}

// deliver takes what one end has sent to the other.
func (w *world) deliver(l *modelLink, side int) {
	from, to := l.ends[side], l.ends[1-side]
	sent := from.out
	from.out = nil
	for _, p := range sent {
		if side == 0 {
			w.store(l.to).receive(to, p)
			continue
		}
		if e := w.edge(l.from); e != nil {
			w.hear(e, l, p)
			continue
		}
		w.store(l.from).answered(to, p)
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
		s.core.Filled(now, decode[Filled](p.payload))
	case wire.MethodAttach:
		s.core.Attach(now, from, decode[wire.Attach](p.payload), reply)
	case wire.MethodClaim:
		s.core.Claim(now, from, decode[wire.Claim](p.payload), reply)
	case wire.MethodPut:
		s.core.Put(now, from, decode[wire.Put](p.payload), reply)
	case wire.MethodReport:
		s.core.Report(now, from, decode[wire.Report](p.payload), reply)
	}
}

func (s *modelStore) answered(from *modelEnd, p packet) {
	switch p.method {
	case MethodAcked:
		s.core.Acked(s.time(), from, decode[Acked](p.payload))
	case MethodDiffer:
		s.core.Differ(s.time(), from, decode[Differ](p.payload))
	case MethodFetched:
		s.core.Fetched(s.time(), from, decode[Fetched](p.payload))
	}
}

func modelMessageOf(id string) wire.Message {
	return wire.Message{ID: id, Key: "k", Ordered: true, Body: []byte(id), RetentionMs: 3_600_000}
}

func (w *world) put(id string) {
	e := w.edge("e")
	if e.held[id] == nil {
		e.held[id] = &modelHeld{}
	}
	e.held[id].asked = true
	put := &wire.Put{Epoch: e.epoch, Message: modelMessageOf(id), Dispatch: true}
	w.link(e.name, w.primary(e).name).ends[0].request(wire.MethodPut, put, "put "+id)
}

// work runs a message at a worker, or reports that it has ended.
func (w *world) work(what string, e *modelEdge, id string) {
	held := e.held[id]
	switch what {
	case "run":
		held.running = true
		w.checkRun(e, id)
	case "finish":
		held.running, held.ended = false, true
		w.messages[id].ended = true
	case "report":
		held.asked = true
		report := &wire.Report{Epoch: e.epoch, ID: id, Kind: wire.ReportDone, Signature: "s"}
		w.link(e.name, w.primary(e).name).ends[0].request(wire.MethodReport, report, "report "+id)
	}
}

func (w *world) checkRun(by *modelEdge, id string) {
	for _, e := range w.edges {
		if other := e.held[id]; e != by && other != nil && other.running {
			w.fault("%s runs at %s and at %s", id, e.name, by.name)
		}
	}
	for _, earlier := range modelMessages {
		if earlier == id {
			return
		}
		if m := w.messages[earlier]; m.accepted && !m.ended {
			w.fault("%s runs before %s has ended", id, earlier)
		}
	}
}

// hear takes what a store sends to an edge.
func (w *world) hear(e *modelEdge, l *modelLink, p packet) {
	if !p.answer {
		w.granted(e, l, decode[wire.Grant](p.payload))
		return
	}
	words := strings.Fields(p.call)
	switch words[0] {
	case "claim":
		w.claimed(e, l, words[1], decode[wire.ClaimReply](p.payload))
	case "put":
		w.answeredPut(e, words[1], decode[wire.PutReply](p.payload))
	case "report":
		held := e.held[words[1]]
		if held == nil {
			return
		}
		held.asked = false
		if decode[wire.ReportReply](p.payload).Code == wire.PutKept {
			w.messages[words[1]].reported = true
			delete(e.held, words[1])
		}
	}
}

func (w *world) granted(e *modelEdge, l *modelLink, grant *wire.Grant) {
	held := e.held[grant.ID]
	if held == nil {
		if !grant.Whole {
			report := &wire.Report{Epoch: e.epoch, ID: grant.ID, Kind: wire.ReportReleased}
			l.ends[0].request(wire.MethodReport, report, "release "+grant.ID)
			return
		}
		held = &modelHeld{}
		e.held[grant.ID] = held
	}
	held.kept, held.granted = true, true
}

func (w *world) claimed(e *modelEdge, l *modelLink, epoch string, reply *wire.ClaimReply) {
	if epoch != fmt.Sprint(e.epoch) {
		return
	}
	if reply.Code != wire.PutKept {
		if s := w.store(l.to); s.core.epoch() >= e.epoch { // else it is claimed when the store has the view
			w.claim(e, s)
		}
		return
	}
	for _, id := range reply.Unknown {
		if held := e.held[id]; held != nil && held.kept && !held.running && !held.ended {
			delete(e.held, id)
		}
	}
}

func (w *world) answeredPut(e *modelEdge, id string, reply *wire.PutReply) {
	held := e.held[id]
	if held != nil {
		held.asked = false
	}
	if reply.Code != wire.PutKept {
		return
	}
	w.messages[id].accepted = true
	if held != nil {
		held.kept = true
		held.granted = held.granted || reply.Granted
	}
}

// mutate does what the mutants do wrong.
func (w *world) mutate() {
	for _, s := range w.stores {
		if !s.up {
			continue
		}
		if w.config.mutant.ackBeforeSync && s.durable < len(s.records) {
			s.core.Durable(s.time(), s.Position())
		}
		for _, p := range s.core.partitions {
			if p == nil || !p.primary || !w.config.mutant.grantEarly {
				continue
			}
			for _, o := range slices.Clone(p.ops) {
				if o.end {
					o.missing, o.local = 0, true
					s.core.complete(o)
				}
			}
		}
	}
}

// checkCopies makes sure that a message that is accepted lies on enough disks.
func (w *world) checkCopies(id string) {
	copies := 0
	for _, s := range w.stores {
		if s.holds(id) {
			copies++
		}
	}
	if copies < modelCopies-w.wipes {
		w.fault("%s is accepted with %d copies", id, copies)
	}
}

// checkElsewhere makes sure that a store that is removed leaves enough copies behind, even if one that has them is lost right then.
func (w *world) checkElsewhere(removed *modelStore) {
	for _, id := range modelMessages {
		copies := 0
		for _, s := range w.stores {
			if s != removed && (s.lost || s.holds(id)) {
				copies++
			}
		}
		if m := w.messages[id]; m.accepted && !m.ended && copies < modelCopies {
			w.fault("%s is removed, and %s has %d other copies", removed.name, id, copies)
		}
	}
}

// Check implements explore.System.
func (w *world) Check() error {
	if w.failure != "" {
		return fmt.Errorf("%s", w.failure)
	}
	place := w.view.Partitions[0]
	for _, id := range modelMessages {
		if m := w.messages[id]; !m.accepted || m.ended {
			continue
		}
		held := false
		for i, known := range w.view.Stores {
			s := w.byDisk(known.Disk)
			if s == nil || !s.holds(id) {
				if s != nil && slices.Contains(place.Replicas, uint16(i)) && !place.Unsure {
					return fmt.Errorf("%s is called whole and lacks %s", known.Disk, id)
				}
				continue
			}
			held = held || slices.Contains(slices.Concat(place.Replicas, place.Joining, place.Former), uint16(i))
		}
		if !held {
			return fmt.Errorf("%s was accepted, and no store that counts has it", id)
		}
	}
	return nil
}

// Clone implements explore.System.
func (w *world) Clone() explore.System { return explore.Clone(w, modelLog) }

// State implements explore.System.
func (w *world) State() []byte {
	d := &dumper{seen: make(map[uintptr]int)}
	d.value(reflectOf(w))
	return d.out
}

// modelScope is searched by default. QUEUE_EXPLORE=DEPTH,STATES,FAULTS searches another.
var modelScope = explore.Scope{Depth: 200, States: 60_000, Faults: 1}

func scopeOf(t *testing.T) explore.Scope {
	scope := modelScope
	if text := os.Getenv("QUEUE_EXPLORE"); text != "" {
		_, err := fmt.Sscanf(text, "%d,%d,%d", &scope.Depth, &scope.States, &scope.Faults)
		require.NoError(t, err)
	}
	return scope
}

func TestEveryOrderOfASmallQueue(t *testing.T) {
	for name, config := range map[string]modelConfig{
		"retirement":       {retires: true, passes: 1},
		"reset":            {resets: true, passes: 1},
		"hasty retirement": {retires: true, hasty: true, passes: 1},
	} {
		t.Run(name, func(t *testing.T) {
			result := explore.Run(newWorld(config), scopeOf(t))
			t.Log(result)
			assert.Nil(t, result.Violation)
		})
	}
}

func TestMutantsOfTheSmallQueueAreCaught(t *testing.T) {
	for name, config := range map[string]modelConfig{
		"acknowledged before it is synced": {mutant: modelMutant{ackBeforeSync: true}},
		"joining store taken unfilled":     {mutant: modelMutant{takeUnfilled: true}, hasty: true},
		"retired at the first copy":        {mutant: modelMutant{retireEarly: true}, retires: true, hasty: true},
		"an end counts once it is here":    {mutant: modelMutant{grantEarly: true}, passes: 1},
	} {
		t.Run(name, func(t *testing.T) {
			result := explore.Run(newWorld(config), modelScope)
			t.Log(result)
			assert.NotNil(t, result.Violation, "no order shows it")
		})
	}
}

// Traces that broke an invariant once.
func TestTracesThatWereFound(t *testing.T) {
	for name, trace := range map[string][]string{
		"the last member that is left accepts alone": {"reset c", "power b", "put 0.1", "deliver e a 0", "sync a", "miss b", "plan", "view a"},
		"a message that its primary left unfinished is accepted at one": {
			"put 0.1", "deliver e a 0", "deliver a b 0", "reset c", "power a", "sync b", "miss a", "plan", "view b", "sync b", "view c",
			"sync c", "view e", "deliver e b 0", "deliver e b 1", "deliver e c 0", "deliver e c 1", "view f", "deliver f b 0",
			"deliver f b 1", "deliver f c 0", "deliver f c 1", "again 0.1", "deliver e b 0",
		},
		"a former member becomes the primary beside one that was just filled": {
			"reset a", "plan", "view a", "sync a", "view b", "deliver b c 0", "deliver b c 1", "deliver b c 0", "sync b", "sync c",
			"view c", "view e", "deliver e a 0", "deliver e a 1", "deliver e b 0", "deliver e b 1", "deliver e c 0", "deliver e c 1",
			"view f", "deliver f a 0", "deliver f a 1", "deliver f b 0", "deliver f b 1", "deliver f c 0", "deliver f c 1", "reset b",
			"put 0.1", "deliver e b 0", "deliver b c 0", "sync b", "sync c", "deliver b c 1", "deliver e b 1", "put 0.2",
			"deliver e b 0", "deliver b c 0", "sync b", "sync c", "deliver b c 1", "deliver e b 1", "hear a", "plan",
		},
	} {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, explore.Replay(newWorld(modelConfig{resets: true, passes: 1}), trace))
		})
	}
}
