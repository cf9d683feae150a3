package workers

import (
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"ravendale/test/standin/protocol"
)

// Service is what all workers of a service have in common.
type Service struct {
	Name         string
	HealthPath   string
	Capacity     int           // messages that a worker works on at once
	Queue        int           // messages that wait at a worker for a slot
	MaxConns     int           // connections that a worker takes
	RatePerS     float64       // 0: no limit
	Idempotent   bool          // the workers share a table of ids
	WorkMin      time.Duration // shortest run
	WorkMean     time.Duration // mean of what a run takes beyond that, exponentially distributed
	WorkMax      time.Duration // longest run; 0: no bound
	FailShare    float64       // of runs that are answered 500
	RefuseShare  float64       // of ids that are answered 422
	PoisonShare  float64       // of ids that are always answered 500
	KeepAlive    time.Duration // idle connections are closed after it; whole seconds
	KeepsWorking bool          // goes on when the connection of a message closes
}

// withDefaults fills in what a service must have.
func (s Service) withDefaults() Service {
	s.Capacity = max(s.Capacity, 1)
	if s.MaxConns == 0 {
		s.MaxConns = 100
	}
	if s.HealthPath == "" {
		s.HealthPath = "/healthz"
	}
	if s.KeepAlive == 0 {
		s.KeepAlive = 4 * time.Second
	}
	return s
}

// Config is the service as the operator configures it.
func (s Service) Config() protocol.Service {
	s = s.withDefaults()
	return protocol.Service{
		Name:       s.Name,
		HealthPath: s.HealthPath,
		MaxConns:   s.MaxConns,
		Protocol:   "h1",
		RatePerS:   s.RatePerS,
		Idempotent: s.Idempotent,
	}
}

// Refuses says whether all workers of the service refuse an id for good.
func (s Service) Refuses(id string) bool { return share(id, "refuse") < s.RefuseShare }

// Poison says whether all attempts at an id fail.
func (s Service) Poison(id string) bool { return share(id, "poison") < s.PoisonShare }

// share is a figure in [0, 1) that depends on an id alone.
func share(id, kind string) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(kind))
	_, _ = hash.Write([]byte(id))
	return rand.New(rand.NewPCG(hash.Sum64(), 0)).Float64()
}

// work draws how long a run takes.
func (s Service) work() time.Duration {
	took := s.WorkMin + time.Duration(rand.ExpFloat64()*float64(s.WorkMean))
	if s.WorkMax > 0 {
		took = min(took, s.WorkMax)
	}
	return took
}

// rateSlack is what a service takes beyond its rate before it answers 429.
const rateSlack = 1.25

// serviceState is what all workers of a service share.
type serviceState struct {
	Service
	limiter *rate.Limiter
	table   table
}

func newServiceState(service Service) *serviceState {
	state := &serviceState{Service: service.withDefaults()}
	if service.RatePerS > 0 {
		limit := service.RatePerS * rateSlack
		state.limiter = rate.NewLimiter(rate.Limit(limit), int(limit)+5)
	}
	return state
}

// table of the ids of an idempotent service.
type table struct {
	mutex   sync.Mutex
	entries map[string]success // an empty signature: it is running
}

// success is a first answer, which repeats get again.
type success struct {
	signature string
	body      []byte
}

// begin takes an id for a run. If it does not, known is the first success, or running is set.
func (t *table) begin(id string) (known success, running, began bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.entries == nil {
		t.entries = make(map[string]success)
	}
	known, found := t.entries[id]
	if found {
		return known, known.signature == "", false
	}
	t.entries[id] = success{}
	return success{}, false, true
}

// end records a success, or with an empty one that the id may run again.
func (t *table) end(id string, first success) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if first.signature == "" {
		delete(t.entries, id)
		return
	}
	t.entries[id] = first
}
