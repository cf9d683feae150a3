package dispatch

import (
	"slices"
	"time"

	"ravendale"
	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
)

// The module's settings for a service.
const (
	attemptsOfJob    = 3 // that the module makes by itself: those that ran nothing are followed by others
	attemptsOfTicket = 1 // where each attempt needs a token
	jobDeadline      = forever
	unknownZone      = -1
)

// service is what the plane has for one service: its decision module, its workers and its ceiling.
type service struct {
	name       string
	module     *ravendale.Dispatcher
	settings   ravendale.Settings
	endpoint   string
	addresses  map[string]string // by worker
	listed     []ravendale.Entry
	capacities map[string]int // by worker: how many messages it runs at once
	ready      int            // listed workers that may be sent to
	bucket     *bucket        // nil: no ceiling
	throttled  []*message     // wait for tokens, in the order in which they came
	queue      waitQueue      // wait to be handed to the module
	open       int            // jobs with the module, or whose attempts are out
	held       int            // jobs with the module that have no attempt under way
	room       int            // connections that may be open to all its workers: with a ceiling, no more jobs are open
	timer      time.Duration  // the module's; forever: none
}

func moduleSettings(config *catalog.Service, t *Topology) ravendale.Settings {
	me := max(slices.IndexFunc(t.Edges, func(e wire.Edge) bool { return e.ID == t.Edge }), 0)
	effect := ravendale.Unsafe
	if config.Idempotent {
		effect = ravendale.Safe
	}
	attempts, copies := attemptsOfJob, true
	if config.RatePerS > 0 {
		attempts, copies = attemptsOfTicket, false
	}
	return ravendale.Settings{
		Dispatchers:  max(len(t.Edges), 1),
		Me:           me,
		Zones:        len(t.Zones),
		Zone:         slices.Index(t.Zones, t.Zone),
		Classes:      []ravendale.Class{{Name: config.Name, Effect: effect, Deadline: jobDeadline, Worth: 1, Kind: -1}},
		MaxAttempts:  attempts,
		MayCopy:      copies,
		MayCancel:    true,
		WrittenCount: true,
	}
}

// entries lists a service's workers for its module, but for those that are gone, and their addresses.
func entries(config *catalog.Service, workers *wire.Workers, gone *gone, t *Topology) ([]ravendale.Entry, map[string]string) {
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
		if w.Service != config.Name || gone.has(w.ID) {
			continue
		}
		addresses[w.ID] = w.Address
		list = append(list, entry(w, t))
	}
	weighHome(list, t)
	return list, addresses
}

// homeWeight is how much heavier a worker of the edge's own zone weighs where that has its part of the capacity: bodies that cross
// zones are priced, and the module draws among workers with equally few slots by weight.
const (
	homeWeight = 4
	homePart   = 0.75 // of the edges' part, that the zone's capacity must be
)

// weighHome raises the weight of workers in the own zone, if they are enough for its edges.
func weighHome(list []ravendale.Entry, t *Topology) {
	zone := slices.Index(t.Zones, t.Zone)
	all, home := 0.0, 0.0
	for i := range list {
		if list[i].State != ravendale.Ready {
			continue
		}
		all += list[i].Weight
		if list[i].Zone == zone {
			home += list[i].Weight
		}
	}
	if len(t.Edges) == 0 || home*float64(len(t.Edges)) < homePart*all*float64(t.here()) {
		return
	}
	for i := range list {
		if list[i].Zone == zone {
			list[i].Weight *= homeWeight
		}
	}
}

// here counts the edges of the own zone.
func (t *Topology) here() int {
	count := 0
	for i := range t.Edges {
		if t.Edges[i].Zone == t.Zone {
			count++
		}
	}
	return count
}

func entry(w *wire.Worker, t *Topology) ravendale.Entry {
	state := ravendale.Ready
	if w.Draining {
		state = ravendale.Draining
	}
	return ravendale.Entry{
		Worker: w.ID, Zone: slices.Index(t.Zones, w.Zone), State: state, Weight: max(float64(w.Capacity), 1), Slots: int(w.Capacity),
	}
}

// The parts of a worker's connections that edges may have.
const (
	connectionsUsed  = 0.8              // all together: those of processes that have just ended may still be open
	beyondCapacity   = 2                // one edge, above what the worker runs at once
	edgesCountedFor  = 10 * time.Second // where the list of edges was longer a while ago, it counts as that long
	fewestConnection = 1
)

// connectionShare is how many connections one of a number of edges may have to a worker that takes maxConns; 0 is no bound.
func connectionShare(maxConns, edges int) int {
	if maxConns <= 0 {
		return 0
	}
	return max(fewestConnection, int(connectionsUsed*float64(maxConns)/float64(max(edges, 1))))
}

// isScarce says whether a worker takes fewer connections than there are edges. Each may still have one.
func isScarce(maxConns, edges int) bool {
	return maxConns > 0 && connectionsUsed*float64(maxConns) < fewestConnection*float64(edges)
}

// connections is how many connections this edge may have to each worker of a service.
func (s *service) connections(config *catalog.Service, edges int) map[string]int {
	share := connectionShare(config.MaxConns, edges)
	limits := make(map[string]int, len(s.addresses))
	for name := range s.addresses {
		limits[name] = share
	}
	if s.endpoint != "" || share == 0 {
		return limits
	}
	for name := range limits {
		limits[name] = min(share, s.capacities[name]+beyondCapacity)
	}
	return limits
}

// peak knows the highest count of the last while.
type peak struct {
	counts []sighting // falling
}

type sighting struct {
	at    time.Duration
	count int
}

func (p *peak) add(now time.Duration, count int) {
	for len(p.counts) > 0 && p.counts[len(p.counts)-1].count <= count {
		p.counts = p.counts[:len(p.counts)-1]
	}
	p.counts = append(p.counts, sighting{now, count})
}

// highest is the highest count that held at some time since a while before now.
func (p *peak) highest(now time.Duration) int {
	for len(p.counts) > 1 && p.counts[1].at <= now-edgesCountedFor {
		p.counts = p.counts[1:]
	}
	if len(p.counts) == 0 {
		return 0
	}
	return p.counts[0].count
}

// line is how long a message that comes now would wait for a token.
func (s *service) line(now time.Duration) time.Duration {
	if s.bucket == nil {
		return 0
	}
	if s.bucket.share.Rate <= 0 {
		return forever
	}
	s.bucket.fill(now)
	missing := max(float64(len(s.throttled))+1-s.bucket.tokens, 0)
	return time.Duration(missing / s.bucket.share.Rate * float64(time.Second))
}
