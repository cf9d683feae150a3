package simulation

import (
	"fmt"
	"time"

	"ravendale/cluster/wire"
)

// messages is the history of what clients sent, and what workers ran.
type messages struct {
	world  *world
	all    []*sent
	byName map[string]*sent
	byID   map[string]*sent
	byKey  map[string][]*sent
	starts []time.Duration // of runs at the service with a rate limit
}

// sent is one message.
type sent struct {
	name    string
	service string
	key     string
	id      string
	sentAt  time.Duration
	keptAt  time.Duration // negative: the put was not acknowledged
	overAt  time.Duration // negative: no edge has heard that its end is on record
	calm    bool          // nothing was in the way when it was sent, nor since
	done    bool          // it ran with success
	dead    bool          // it was reported as dead
	failed  int
	runs    []*run
	holders map[*incarnation]time.Duration // when each edge was first given it
}

// run is one run of a message at a worker.
type run struct {
	message  *sent
	from     time.Duration
	finished bool
}

func newMessages(w *world) *messages {
	return &messages{world: w, byName: make(map[string]*sent), byID: make(map[string]*sent), byKey: make(map[string][]*sent)}
}

func (m *messages) make() *sent {
	s := &sent{
		name: fmt.Sprint("message-", len(m.all)), service: plainService, sentAt: m.world.now, keptAt: -1, overAt: -1, calm: m.world.undisturbed(),
		holders: make(map[*incarnation]time.Duration),
	}
	m.all = append(m.all, s)
	m.byName[s.name] = s
	return s
}

func (m *messages) kept(s *sent, id string) {
	s.keptAt, s.id = m.world.now, id
	m.byID[id] = s
	if s.key != "" {
		m.byKey[s.key] = append(m.byKey[s.key], s)
	}
	m.world.log("%s of %s %s is kept as %s", s.name, s.service, s.key, id)
}

// begins notes that a message begins to run.
func (m *messages) begins(name string, at *server, by *incarnation) *run {
	w, s := m.world, m.byName[name]
	w.log("%s runs at %s for %s", name, at.name, by.machine.name)
	if given, ok := s.holders[by]; s.overAt >= 0 && (!ok || given > s.overAt) {
		w.fail("%s runs for %s, which was given it at %v, and its end was on record at %v", name, by.machine.name, given, s.overAt)
	}
	if s.calm && s.done && w.undisturbed() {
		w.fail("%s runs again, and nothing was in the way", name)
	}
	for _, before := range m.byKey[s.key] {
		if before != s && before.keptAt < s.sentAt && !before.done && !before.dead {
			w.fail("%s of %s runs before %s, which was kept before it was sent", name, s.key, before.name)
		}
	}
	if at.service == limitedService {
		m.checkRateLimit()
	}
	r := &run{message: s, from: w.now}
	s.runs = append(s.runs, r)
	return r
}

// checkRateLimit counts the runs of the last window, this one included.
func (m *messages) checkRateLimit() {
	w := m.world
	m.starts = append(m.starts, w.now)
	for m.starts[0] < w.now-rateWindow {
		m.starts = m.starts[1:]
	}
	if most := limitedRate * rateWindow.Seconds() * rateOvershoot; float64(len(m.starts)) > most {
		w.fail("%d runs within %v at a service that takes %v", len(m.starts), rateWindow, most)
	}
}

func (m *messages) ends(r *run, success bool) {
	r.finished = true
	if success {
		r.message.done = true
		return
	}
	r.message.failed++
	if r.message.failed > 3*attempts {
		m.world.fail("%s failed %d times, and has %d attempts", r.message.name, r.message.failed, attempts)
	}
}

// given notes that an edge has a message to deliver from now on.
func (m *messages) given(name string, to *incarnation) {
	if s := m.byName[name]; s != nil {
		if _, known := s.holders[to]; !known {
			s.holders[to] = m.world.now
		}
	}
}

// acknowledged hears that an edge knows a report on record.
func (m *messages) acknowledged(id string, kind wire.ReportKind) {
	s := m.byID[id]
	if s == nil {
		return // it never was a client's
	}
	m.world.log("%s: report %d is acknowledged", s.name, kind)
	if over := kind == wire.ReportDead || kind == wire.ReportDone; over && s.overAt < 0 {
		s.overAt = m.world.now
	}
}

// reported hears that an edge says how a message ended.
func (m *messages) reported(id string, kind wire.ReportKind) {
	if s := m.byID[id]; s != nil && kind == wire.ReportDead {
		s.dead = true
	}
}

// checkLost sees whether all messages that were kept have run.
func (m *messages) checkLost() {
	for _, s := range m.all {
		if s.keptAt >= 0 && !s.done && !s.dead {
			m.world.fail("%s, kept as %s at %v, has not run\n%s", s.name, s.id, s.keptAt, m.world.describe())
			return
		}
	}
}

// undisturbed says whether nothing has been in the way for a while.
func (w *world) undisturbed() bool { return w.calmAt >= 0 && w.now-w.calmAt >= recovery }

// disturb notes that something is in the way from now on.
func (w *world) disturb() {
	w.calmAt = -1
	for _, s := range w.messages.all {
		s.calm = false
	}
}
