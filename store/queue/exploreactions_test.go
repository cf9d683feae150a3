package queue

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"ravendale/cluster/wire"
	"ravendale/control/placement"
	"ravendale/internal/explore"
)

// Enabled implements explore.System. The first action is what happens as a rule; each other one, be it a fault or just something else
// before, counts against the bound of the scope.
func (w *world) Enabled() []explore.Action {
	var actions []explore.Action
	add := func(name string, fields ...any) {
		actions = append(actions, explore.Action{Name: strings.TrimSpace(fmt.Sprintln(append([]any{name}, fields...)...))})
	}
	for _, l := range w.links {
		for side, end := range l.ends {
			if len(end.outgoing) > 0 {
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
		verb := strings.Fields(a.Name)[0]
		if w.config.hasty && (verb == "plan" || verb == "remove") {
			return -1
		}
		return slices.Index(modelOrder, verb)
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

// mayLose says whether a store may be lost: one at a time, and the next once enough are complete.
func (w *world) mayLose(s *modelStore) bool {
	if s.removed {
		return false
	}
	for _, other := range w.stores {
		if other.failed && other != s {
			return false
		}
	}
	return !s.failed
}

// forgive has lost stores count no more once enough others are complete: they have had their time.
func (w *world) forgive() {
	placed := w.view.Partitions[0]
	for _, i := range placed.Replicas {
		s := w.byDisk(w.view.Stores[i].Disk)
		if s == nil || !s.up || s.core.epoch() != w.view.Epoch || s.durable < len(s.records) {
			return
		}
	}
	if len(placed.Replicas) < modelCopies || placed.Unsure {
		return
	}
	for _, s := range w.stores {
		if s.up && s.heard {
			s.failed = false
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
		m, delivery := w.messages[id], e.deliveries[id]
		first := i == 0 || w.messages[modelMessages[i-1]].accepted
		if e.name == "e" && delivery == nil && !m.accepted && !m.finished && first && reachable {
			add("put", id)
		}
		if delivery == nil || delivery.requested {
			continue
		}
		switch {
		case !delivery.accepted && reachable:
			add("again", id)
		case delivery.finished && reachable:
			add("report", e.name, id)
		case delivery.running:
			add("finish", e.name, id)
		case delivery.accepted && delivery.granted && !delivery.finished:
			add("run", e.name, id)
		}
	}
}

// isQuiet says whether nothing is on its way.
func (w *world) isQuiet() bool {
	for _, l := range w.links {
		if len(l.ends[0].outgoing)+len(l.ends[1].outgoing) > 0 {
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
			if verb := strings.Fields(action.Name)[0]; verb == "deliver" || verb == "sync" || verb == "view" {
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
		reported := placement.Store{Disk: s.disk, Node: s.name, Address: s.name, Zone: s.name}
		if s.up {
			status := s.core.Status()
			reported.Epoch, reported.Synced = status.Epoch, status.Synced
		}
		if w.config.mutant.takeUnfilled {
			reported.Epoch, reported.Synced = w.view.Epoch, []uint16{0}
		}
		live = append(live, reported)
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

// mutate does what the mutants do wrong.
func (w *world) mutate() {
	for _, s := range w.stores {
		if !s.up {
			continue
		}
		if w.config.mutant.ackBeforeSync && s.durable < len(s.records) {
			s.core.JournalSynced(s.time(), s.Position())
		}
		for _, p := range s.core.partitions {
			if p == nil || !p.primary || !w.config.mutant.grantEarly {
				continue
			}
			for _, o := range slices.Clone(p.ops) {
				if o.finish {
					o.unacked, o.synced = 0, true
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
		if s.stores(id) {
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
			if s != removed && (s.failed || s.stores(id)) {
				copies++
			}
		}
		if m := w.messages[id]; m.accepted && !m.finished && copies < modelCopies {
			w.fault("%s is removed, and %s has %d other copies", removed.name, id, copies)
		}
	}
}

// Check implements explore.System.
func (w *world) Check() error {
	if w.failure != "" {
		return fmt.Errorf("%s", w.failure)
	}
	placed := w.view.Partitions[0]
	for _, id := range modelMessages {
		if m := w.messages[id]; !m.accepted || m.finished {
			continue
		}
		stored := false
		for i, known := range w.view.Stores {
			s := w.byDisk(known.Disk)
			if s == nil || !s.stores(id) {
				if s != nil && slices.Contains(placed.Replicas, uint16(i)) && !placed.Unsure {
					return fmt.Errorf("%s is called complete and lacks %s", known.Disk, id)
				}
				continue
			}
			stored = stored || slices.Contains(slices.Concat(placed.Replicas, placed.Joining, placed.Former), uint16(i))
		}
		if !stored {
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
	return d.data
}
