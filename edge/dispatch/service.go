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
	config       catalog.Service // the configuration in force
	module       *ravendale.Dispatcher
	settings     ravendale.Settings
	edgesVersion int               // edgeList.version that the settings were computed for: see updateSettings
	endpoint     string            // address to send to, instead of listed workers; empty: none
	addresses    map[string]string // by worker
	entries      []ravendale.Entry // workers, as last passed to the module
	capacities   map[string]int    // by worker: the number of messages that it runs at once
	readyWorkers int               // number of workers that may be sent to
	capacity     zoneCapacity      // of the workers that may be sent to
	connections  worker.Share      // of the connections to each worker, not yet limited by the worker's capacity
	senders      senderOrder       // under a rate limit: the edge's position among the senders
	tokens       *bucket           // nil: there is no rate limit
	rateLimited  []*message        // messages that wait for a token, in order of arrival
	queue        waitQueue         // messages that wait to be submitted to the module
	openJobs     int               // jobs that are submitted to the module or have attempts in flight
	waitingJobs  int               // jobs submitted to the module without an attempt in flight
	maxOpenJobs  int               // under a rate limit: the number of connections that may be open to all workers together
	timerAt      time.Duration     // when the module's timer fires; forever: it is not set
	isTimed      bool              // listed in Core.timed
}

// Parameters of a module's settings.
const (
	attemptsPerJob   = 3 // attempts that a module makes for one job: it retries by itself those that ran nothing
	attemptsPerToken = 1 // under a rate limit, as each attempt needs a token
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
		Me:           max(edges.ownIndex, 0),
		Zones:        len(t.Zones),
		Zone:         slices.Index(t.Zones, t.Zone),
		Classes:      []ravendale.Class{{Name: config.Name, Effect: effect, Deadline: jobDeadline, Value: 1, Kind: -1}},
		MaxAttempts:  attempts,
		MayHedge:     hedges,
		MayCancel:    true,
		WrittenCount: true,
	}
}

// moduleEntries returns a service's workers for its module, without those that were replaced, and their addresses by
// name.
func moduleEntries(config *catalog.Service, workers []*wire.Worker, replaced *replacedWorkers, t *Topology) ([]ravendale.Entry, map[string]string) {
	addresses := make(map[string]string)
	if config.Endpoint != "" {
		addresses[config.Endpoint] = config.Endpoint
		return []ravendale.Entry{{
			Worker: config.Endpoint, Zone: unknownZone, State: ravendale.Ready, Weight: 1, Slots: config.MaxConns, // one message on each connection
		}}, addresses
	}
	var list []ravendale.Entry
	for _, w := range workers {
		if replaced.has(w.ID) {
			continue
		}
		addresses[w.ID] = w.Address
		list = append(list, moduleEntry(w, t))
	}
	return list, addresses
}

// moduleEntry returns the entry of a worker for the module.
func moduleEntry(w *wire.Worker, t *Topology) ravendale.Entry {
	state := ravendale.Ready
	if w.Draining {
		state = ravendale.Draining
	}
	return ravendale.Entry{
		Worker: w.ID, Zone: slices.Index(t.Zones, w.Zone), State: state, Weight: max(float64(w.Capacity), 1), Slots: int(w.Capacity),
	}
}

// workerCapacities returns how many messages each of the workers in addresses runs at once, by name.
func workerCapacities(workers []*wire.Worker, addresses map[string]string) map[string]int {
	capacities := make(map[string]int, len(addresses))
	for _, w := range workers {
		if addresses[w.ID] != "" {
			capacities[w.ID] = int(w.Capacity)
		}
	}
	return capacities
}

// workersByService groups the platform's list of workers by service.
func workersByService(workers *wire.Workers) map[string][]*wire.Worker {
	groups := make(map[string][]*wire.Worker)
	for i := range workers.Entries {
		w := &workers.Entries[i]
		groups[w.Service] = append(groups[w.Service], w)
	}
	return groups
}

// tokenWait returns how long a message that arrives now would wait for a token.
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
