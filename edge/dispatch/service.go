package dispatch

import (
	"slices"
	"time"

	"ravendale"
	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
)

// service is the state of one service: its decision module, its workers and its share of the rate limit.
type service struct {
	name         string
	module       *ravendale.Dispatcher
	settings     ravendale.Settings
	endpoint     string
	addresses    map[string]string // by worker
	entries      []ravendale.Entry
	capacities   map[string]int // by worker: how many messages it runs at once
	readyWorkers int            // listed workers that may be sent to
	tokens       *bucket        // nil: no rate limit
	rateLimited  []*message     // wait for tokens, in order of arrival
	queue        waitQueue      // wait to be submitted to the module
	openJobs     int            // submitted to the module, or with attempts in flight
	waitingJobs  int            // open jobs without an attempt in flight
	maxOpenJobs  int            // under a rate limit: the connections that may be open to all its workers
	timerAt      time.Duration  // when the module's timer fires; forever: it has none
}

// The module's settings for a service.
const (
	attemptsPerJob   = 3 // made by the module itself: those that ran nothing are followed by others
	attemptsPerToken = 1 // where each attempt needs a token
	jobDeadline      = forever
	unknownZone      = -1
)

// moduleSettings returns the settings of a service's decision module.
func moduleSettings(config *catalog.Service, t *Topology) ravendale.Settings {
	me := max(slices.IndexFunc(t.Edges, func(e wire.Edge) bool { return e.ID == t.Edge }), 0)
	effect := ravendale.Unsafe
	if config.Idempotent {
		effect = ravendale.Safe
	}
	attempts, hedges := attemptsPerJob, true
	if config.RatePerS > 0 {
		attempts, hedges = attemptsPerToken, false
	}
	return ravendale.Settings{
		Dispatchers:  max(len(t.Edges), 1),
		Me:           me,
		Zones:        len(t.Zones),
		Zone:         slices.Index(t.Zones, t.Zone),
		Classes:      []ravendale.Class{{Name: config.Name, Effect: effect, Deadline: jobDeadline, Value: 1, Kind: -1}},
		MaxAttempts:  attempts,
		MayHedge:     hedges,
		MayCancel:    true,
		WrittenCount: true,
	}
}

// entries lists a service's workers for its module, without those that were replaced, and their addresses.
func entries(config *catalog.Service, workers *wire.Workers, replaced *replacedWorkers, t *Topology) ([]ravendale.Entry, map[string]string) {
	addresses := make(map[string]string)
	if config.Endpoint != "" {
		addresses[config.Endpoint] = config.Endpoint
		return []ravendale.Entry{{
			Worker: config.Endpoint, Zone: unknownZone, State: ravendale.Ready, Weight: 1, Slots: config.MaxConns, // it runs no more at once
		}}, addresses
	}
	var list []ravendale.Entry
	if workers == nil {
		return nil, addresses
	}
	for i := range workers.Entries {
		w := &workers.Entries[i]
		if w.Service != config.Name || replaced.has(w.ID) {
			continue
		}
		addresses[w.ID] = w.Address
		list = append(list, entry(w, t))
	}
	preferLocalZone(list, t)
	return list, addresses
}

// entry describes a worker to the module.
func entry(w *wire.Worker, t *Topology) ravendale.Entry {
	state := ravendale.Ready
	if w.Draining {
		state = ravendale.Draining
	}
	return ravendale.Entry{
		Worker: w.ID, Zone: slices.Index(t.Zones, w.Zone), State: state, Weight: max(float64(w.Capacity), 1), Slots: int(w.Capacity),
	}
}

// capacities returns how many messages workers run at once, by name.
func capacities(workers *wire.Workers, named map[string]string) map[string]int {
	capacities := make(map[string]int, len(named))
	if workers == nil {
		return capacities
	}
	for i := range workers.Entries {
		if w := &workers.Entries[i]; named[w.ID] != "" {
			capacities[w.ID] = int(w.Capacity)
		}
	}
	return capacities
}

// tokenWait returns how long a message that comes now would wait for a token.
func (s *service) tokenWait(now time.Duration) time.Duration {
	if s.tokens == nil {
		return 0
	}
	if s.tokens.share.Rate <= 0 {
		return forever
	}
	s.tokens.fill(now)
	missing := max(float64(len(s.rateLimited))+1-s.tokens.tokens, 0)
	return time.Duration(missing / s.tokens.share.Rate * float64(time.Second))
}
