package simulation

import (
	"fmt"
	"time"

	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
)

// messages records the messages that clients sent and the runs of workers.
type messages struct {
	world  *world
	all    []*message
	byName map[string]*message
	byID   map[string]*message
	byKey  map[string][]*message
	starts []time.Duration // start times of runs at the service with a rate limit

	configs map[uint64]*catalog.Index // configurations that an edge has applied, by version
}

// message is one message of a client and what is known of it.
type message struct {
	name              string
	service           string
	key               string
	id                string
	sentAt            time.Duration
	acceptedAt        time.Duration // negative: not acknowledged by a store
	endAcknowledgedAt time.Duration // when an edge first learned that the report of its end is stored; negative: not yet
	undisturbed       bool          // no fault was active when it was sent, nor since
	done              bool          // a run succeeded
	deadLetter        bool          // an edge reported it as a dead letter
	dropped           bool          // an edge reported that its route was removed
	changing          bool          // its route changes with the configuration
	target            string
	configVersion     uint64 // of the configuration under which an edge accepted it
	failed            int
	runs              []*run
	assignedAt        map[*incarnation]time.Duration // when each edge was first assigned it
}

// run is one run of a message at a worker.
type run struct {
	message  *message
	from     time.Duration
	finished bool
}

func newMessages(w *world) *messages {
	return &messages{world: w, byName: make(map[string]*message), byID: make(map[string]*message), byKey: make(map[string][]*message), configs: make(map[uint64]*catalog.Index)}
}

func (m *messages) newMessage() *message {
	s := &message{
		name: fmt.Sprint("message-", len(m.all)), service: plainService, sentAt: m.world.now, acceptedAt: -1, endAcknowledgedAt: -1, undisturbed: m.world.undisturbed(),
		assignedAt: make(map[*incarnation]time.Duration),
	}
	m.all = append(m.all, s)
	m.byName[s.name] = s
	return s
}

func (m *messages) accepted(s *message, id string) {
	s.acceptedAt, s.id = m.world.now, id
	m.byID[id] = s
	if s.key != "" {
		m.byKey[s.key] = append(m.byKey[s.key], s)
	}
	m.world.log("%s of service %s, key %q, is accepted as %s", s.name, s.service, s.key, id)
}

// runStarted records the start of a run and checks that the message may run.
func (m *messages) runStarted(name string, at *server, by *incarnation) *run {
	w, s := m.world, m.byName[name]
	w.log("%s runs at %s for %s", name, at.name, by.machine.name)
	if given, ok := s.assignedAt[by]; s.endAcknowledgedAt >= 0 && (!ok || given > s.endAcknowledgedAt) {
		w.fail("%s runs for %s, to which it was assigned at %v, although its end was stored at %v", name, by.machine.name, given, s.endAcknowledgedAt)
	}
	if s.undisturbed && s.done && w.undisturbed() {
		w.fail("%s runs again after a success, although no fault was active", name)
	}
	for _, before := range m.byKey[s.key] {
		if before != s && before.acceptedAt < s.sentAt && !before.done && !before.deadLetter {
			w.fail("%s with key %s runs before the end of %s, which was accepted before it was sent", name, s.key, before.name)
		}
	}
	if s.changing && !m.allowed(s, func(route *catalog.Route) bool { return route != nil && route.Service == at.service }) {
		w.fail("%s runs at %s, but no configuration since version %d, under which it was accepted, leads it there", name, at.name, s.configVersion)
	}
	if at.service == limitedService {
		m.checkRateLimit()
	}
	r := &run{message: s, from: w.now}
	s.runs = append(s.runs, r)
	return r
}

// checkRateLimit checks the number of runs in the last rate window, which includes the current one.
func (m *messages) checkRateLimit() {
	w := m.world
	m.starts = append(m.starts, w.now)
	for m.starts[0] < w.now-rateWindow {
		m.starts = m.starts[1:]
	}
	if most := limitedRate * rateWindow.Seconds() * rateOvershoot; float64(len(m.starts)) > most {
		w.fail("%d runs within %v at a service that allows %v", len(m.starts), rateWindow, most)
	}
}

func (m *messages) runEnded(r *run, success bool) {
	r.finished = true
	if success {
		r.message.done = true
		return
	}
	r.message.failed++
	if r.message.failed > 3*routeRetries {
		m.world.fail("%s failed %d times, its route allows %d retries", r.message.name, r.message.failed, routeRetries)
	}
}

// assigned records that an edge is responsible for delivering a message from now on.
func (m *messages) assigned(name string, to *incarnation) {
	if s := m.byName[name]; s != nil {
		if _, known := s.assignedAt[to]; !known {
			s.assignedAt[to] = m.world.now
		}
	}
}

// acknowledged records that an edge learned that one of its reports is stored.
func (m *messages) acknowledged(id string, kind wire.ReportKind) {
	s := m.byID[id]
	if s == nil {
		return // not accepted from a client
	}
	m.world.log("%s: report %d is acknowledged", s.name, kind)
	if over := kind == wire.ReportDead || kind == wire.ReportDone; over && s.endAcknowledgedAt < 0 {
		s.endAcknowledgedAt = m.world.now
	}
}

// reported records an edge's report of how a message ended, and checks that a dropped one may be dropped.
func (m *messages) reported(report *wire.Report) {
	s := m.byID[report.ID]
	if s == nil {
		return
	}
	switch report.Kind {
	case wire.ReportDead:
		s.deadLetter = true
	case wire.ReportDropped:
		s.dropped = true
		if !m.allowed(s, func(route *catalog.Route) bool { return route == nil }) {
			m.world.fail("%s is dropped, but each configuration since version %d, under which it was accepted, has a route for it", s.name, s.configVersion)
		}
	}
}

// allowed reports whether the route of a message meets a condition in a configuration that isn't older than the one under
// which the message was accepted.
func (m *messages) allowed(s *message, condition func(*catalog.Route) bool) bool {
	for version, index := range m.configs {
		if version >= s.configVersion && condition(index.Match("h", s.target)) {
			return true
		}
	}
	return false
}

// checkLost checks that all accepted messages have run successfully, are dead letters, or were dropped.
func (m *messages) checkLost() {
	for _, s := range m.all {
		if s.acceptedAt >= 0 && !s.done && !s.deadLetter && !s.dropped {
			m.world.fail("%s, accepted as %s at %v, has neither run successfully nor become a dead letter\n%s", s.name, s.id, s.acceptedAt, m.world.debugString())
			return
		}
	}
}

// undisturbed reports whether all faults ended at least recoveryBound ago.
func (w *world) undisturbed() bool { return w.calmSince >= 0 && w.now-w.calmSince >= recoveryBound }

// disturb records that faults are active from now on.
func (w *world) disturb() {
	w.calmSince = -1
	for _, s := range w.messages.all {
		s.undisturbed = false
	}
}
