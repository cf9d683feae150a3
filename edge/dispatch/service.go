package dispatch

import (
	"slices"
	"time"

	"ravendale"
	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

// service is the state of one service: its decision module, its workers and its share of the rate limit.
type service struct {
	name         string
	config       catalog.Service // as it is in force
	module       *ravendale.Dispatcher
	settings     ravendale.Settings
	edgesVersion int // edgeList.version that the settings follow from: see updateSettings
	endpoint     string
	addresses    map[string]string // by worker
	entries      []ravendale.Entry
	capacities   map[string]int // by worker: how many messages it runs at once
	readyWorkers int            // listed workers that may be sent to
	capacity     zoneCapacity   // of the workers that may be sent to
	connections  worker.Share   // of each worker's connections, before a worker's capacity bounds it
	senders      senderOrder    // under a rate limit: the edge's place among the senders
	tokens       *bucket        // nil: no rate limit
	rateLimited  []*message     // wait for tokens, in order of arrival
	queue        waitQueue      // wait to be submitted to the module
	openJobs     int            // submitted to the module, or with attempts in flight
	waitingJobs  int            // open jobs without an attempt in flight
	maxOpenJobs  int            // under a rate limit: the connections that may be open to all its workers
	timerAt      time.Duration  // when the module's timer fires; forever: it has none
	isTimed      bool           // listed in Core.timed
}

// The module's settings for a service.
const (
	attemptsPerJob   = 3 // made by the module itself: those that ran nothing are followed by others
	attemptsPerToken = 1 // where each attempt needs a token
	jobDeadline      = forever
	unknownZone      = -1
)

// moduleSettings returns the settings of a service's decision module.
func moduleSettings(config *catalog.Service, t *Topology, edges *edgeList) ravendale.Settings {
	effect := ravendale.Unsafe
	if config.Idempotent {
		effect = ravendale.Safe
	}
	attempts, hedges := attemptsPerJob, true
	if config.RatePerS > 0 {
		attempts, hedges = attemptsPerToken, false
	}
	return ravendale.Settings{
		Dispatchers:  max(len(edges.edges), 1),
		Me:           max(edges.own, 0),
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
func entries(config *catalog.Service, workers []*wire.Worker, replaced *replacedWorkers, t *Topology) ([]ravendale.Entry, map[string]string) {
	addresses := make(map[string]string)
	if config.Endpoint != "" {
		addresses[config.Endpoint] = config.Endpoint
		return []ravendale.Entry{{
			Worker: config.Endpoint, Zone: unknownZone, State: ravendale.Ready, Weight: 1, Slots: config.MaxConns, // it runs no more at once
		}}, addresses
	}
	var list []ravendale.Entry
	for _, w := range workers {
		if replaced.has(w.ID) {
			continue
		}
		addresses[w.ID] = w.Address
		list = append(list, entry(w, t))
	}
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

// capacities returns how many messages workers run at once, by name, of those that are named.
func capacities(workers []*wire.Worker, named map[string]string) map[string]int {
	capacities := make(map[string]int, len(named))
	for _, w := range workers {
		if named[w.ID] != "" {
			capacities[w.ID] = int(w.Capacity)
		}
	}
	return capacities
}

// workersByService groups the platform's list.
func workersByService(workers *wire.Workers) map[string][]*wire.Worker {
	groups := make(map[string][]*wire.Worker)
	for i := range workers.Entries {
		w := &workers.Entries[i]
		groups[w.Service] = append(groups[w.Service], w)
	}
	return groups
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
