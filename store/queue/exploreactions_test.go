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

// Enabled implements explore.System. The first action is the default; each other one, be it a failure or only a
// different order, counts as a fault against the bound of the scope.
func (w *modelWorld) Enabled() []explore.Action {
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
		w.addStoreActions(s, add)
	}
	for _, e := range w.edges {
		w.addEdgeActions(e, add)
	}
	if next, changed := w.nextView(); changed && next != nil {
		add("plan")
	}
	if w.config.retires && w.retired == "" {
		add("retire", "a")
		add("retire", "b")
	}
	if w.passes < w.config.passes && w.isSettled() {
		add("pass")
	}
	rank := func(a explore.Action) int {
		verb := strings.Fields(a.Name)[0]
		if w.config.leaderFirst && (verb == "plan" || verb == "remove") {
			return -1
		}
		return slices.Index(actionOrder, verb)
	}
	slices.SortStableFunc(actions, func(a, b explore.Action) int { return rank(a) - rank(b) })
	for i := range actions {
		actions[i].Fault = i > 0 || rank(actions[i]) >= slices.Index(actionOrder, "retire")
	}
	return actions
}

// actionOrder ranks the enabled actions: the one that comes first here is the default.
var actionOrder = []string{
	"deliver", "sync", "view", "remove", "plan", "report", "finish", "run", "again", "put", "miss", "start", "hear", "pass",
	"retire", "reset", "power", "wipe",
}

func (w *modelWorld) addStoreActions(s *modelStore, add func(string, ...any)) {
	if s.removed {
		return
	}
	if !s.up {
		add("start", s.name)
		if s.seenLive {
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
	if !s.seenLive {
		add("hear", s.name)
	} else if w.config.resets {
		add("reset", s.name)
	}
	if w.canFail(s) {
		add("power", s.name)
		add("wipe", s.name)
	}
	if _, _, done := placement.Retirement(w.view, s.name); s.name == w.retired && (done || w.canRemoveEarly(s)) {
		add("remove", s.name)
	}
}

// canRemoveEarly implements the mutant retireEarly: a retirement counts as done once another store is a replica.
func (w *modelWorld) canRemoveEarly(s *modelStore) bool {
	replicas := w.view.Partitions[0].Replicas
	return w.config.mutant.retireEarly && slices.ContainsFunc(replicas, func(i uint16) bool { return w.view.Stores[i].Disk != s.disk })
}

// canFail reports whether a store may fail: only one store may count as failed at a time.
func (w *modelWorld) canFail(s *modelStore) bool {
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

// clearRecoveredFailures stops counting restarted stores as failed once enough replicas are complete and synced.
func (w *modelWorld) clearRecoveredFailures() {
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
		if s.up && s.seenLive {
			s.failed = false
		}
	}
}

func (w *modelWorld) addEdgeActions(e *modelEdge, add func(string, ...any)) {
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

// isSettled reports whether no delivery, sync or view is outstanding.
func (w *modelWorld) isSettled() bool {
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

// settle delivers, syncs and applies views until none is outstanding.
func (w *modelWorld) settle() {
	for !w.isSettled() {
		for _, action := range w.Enabled() {
			if verb := strings.Fields(action.Name)[0]; verb == "deliver" || verb == "sync" || verb == "view" {
				w.Do(action.Name)
				break
			}
		}
	}
}

func (w *modelWorld) pass() {
	w.now += time.Second
	for _, s := range w.stores {
		if s.up {
			s.core.Tick(s.time())
		}
	}
}

// nextView returns the view that the planner wants next, and whether it differs from the current one.
func (w *modelWorld) nextView() (*wire.StoreView, bool) {
	var live []placement.Store
	for _, s := range w.stores {
		if !s.seenLive || s.removed {
			continue
		}
		reported := placement.Store{Disk: s.disk, Node: s.name, Address: s.name, Zone: s.name}
		if s.up {
			status := s.core.Status()
			reported.Epoch, reported.Synced = status.Epoch, status.Synced
		}
		if w.config.mutant.promoteUnfilled {
			reported.Epoch, reported.Synced = w.view.Epoch, []uint16{0}
		}
		live = append(live, reported)
	}
	next, changed := placement.Plan(w.view, live, w.placementConfig())
	if changed && w.config.mutant.dropFormer {
		next.Partitions[0].Former, next.Partitions[0].Covered, next.Partitions[0].Unsure = nil, false, false
	}
	return next, changed
}

func (w *modelWorld) installView(view *wire.StoreView) {
	w.view = view
	w.views[view.Epoch] = view
}

// applyMutant makes the changes of the mutants ackBeforeSync and grantEarly.
func (w *modelWorld) applyMutant() {
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

// checkCopies checks that a message being accepted is on enough disks.
func (w *modelWorld) checkCopies(id string) {
	copies := 0
	for _, s := range w.stores {
		if s.hasDurable(id) {
			copies++
		}
	}
	if copies < modelCopies-w.wipes {
		w.violation("message %s is accepted with only %d copies", id, copies)
	}
}

// checkOtherCopies checks that enough copies of each message remain when a store is removed. A store that has
// failed at the same time counts as if it still had the messages, since the removal isn't to blame for that loss.
func (w *modelWorld) checkOtherCopies(removed *modelStore) {
	for _, id := range modelMessages {
		copies := 0
		for _, s := range w.stores {
			if s != removed && (s.failed || s.hasDurable(id)) {
				copies++
			}
		}
		if m := w.messages[id]; m.accepted && !m.finished && copies < modelCopies {
			w.violation("store %s is removed, and message %s has only %d other copies", removed.name, id, copies)
		}
	}
}

// Check implements explore.System.
func (w *modelWorld) Check() error {
	if w.failure != "" {
		return fmt.Errorf("%s", w.failure)
	}
	placed := w.view.Partitions[0]
	for _, id := range modelMessages {
		if m := w.messages[id]; !m.accepted || m.finished {
			continue
		}
		stored := false
		for i, placedStore := range w.view.Stores {
			s := w.byDisk(placedStore.Disk)
			if s == nil || !s.hasDurable(id) {
				if s != nil && slices.Contains(placed.Replicas, uint16(i)) && !placed.Unsure {
					return fmt.Errorf("disk %s is a replica, and lacks message %s", placedStore.Disk, id)
				}
				continue
			}
			stored = stored || slices.Contains(slices.Concat(placed.Replicas, placed.Joining, placed.Former), uint16(i))
		}
		if !stored {
			return fmt.Errorf("message %s was accepted, and no current or former member has it on disk", id)
		}
	}
	return nil
}

// Clone implements explore.System.
func (w *modelWorld) Clone() explore.System { return explore.Clone(w, modelLog) }

// State implements explore.System.
func (w *modelWorld) State() []byte {
	d := &dumper{seen: make(map[uintptr]int)}
	d.value(reflectOf(w))
	return d.data
}
