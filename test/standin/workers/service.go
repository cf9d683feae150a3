package workers

import (
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"ravendale/test/standin/protocol"
)

// Service holds the parameters of a service, common to all its workers.
type Service struct {
	Name         string
	HealthPath   string
	Capacity     int           // messages that a worker runs at once
	Queue        int           // messages that may wait for a slot of a worker
	MaxConns     int           // connections that a worker accepts
	RatePerS     float64       // 0: no limit
	Idempotent   bool          // the workers share an idempotency table of message ids
	WorkMin      time.Duration // shortest run
	WorkMean     time.Duration // mean of the exponentially distributed duration beyond WorkMin
	WorkMax      time.Duration // longest run; 0: no bound
	FailShare    float64       // fraction of runs that are answered 500
	RefuseShare  float64       // fraction of ids that are always answered 422
	PoisonShare  float64       // fraction of ids that are always answered 500
	KeepAlive    time.Duration // idle connections are closed after this time; whole seconds
	KeepsWorking bool          // a run continues when the connection of its message is closed
}

// withDefaults returns the service with defaults for unset fields.
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

// Config returns the service's entry in the operator's configuration.
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

// Refuses reports whether all workers of the service refuse an id permanently.
func (s Service) Refuses(id string) bool { return hashFraction(id, "refuse") < s.RefuseShare }

// Poison reports whether all runs of an id fail.
func (s Service) Poison(id string) bool { return hashFraction(id, "poison") < s.PoisonShare }

// hashFraction returns a number in [0, 1) that depends only on the id and the kind.
func hashFraction(id, kind string) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(kind))
	_, _ = hash.Write([]byte(id))
	return rand.New(rand.NewPCG(hash.Sum64(), 0)).Float64()
}

// drawRunTime draws the duration of a run.
func (s Service) drawRunTime() time.Duration {
	took := s.WorkMin + time.Duration(rand.ExpFloat64()*float64(s.WorkMean))
	if s.WorkMax > 0 {
		took = min(took, s.WorkMax)
	}
	return took
}

// rateSlack is the factor on a service's rate beyond which it answers 429.
const rateSlack = 1.25

// serviceState is the state that all workers of a service share.
type serviceState struct {
	Service
	limiter *rate.Limiter
	table   idTable
}

func newServiceState(service Service) *serviceState {
	state := &serviceState{Service: service.withDefaults()}
	if service.RatePerS > 0 {
		limit := service.RatePerS * rateSlack
		state.limiter = rate.NewLimiter(rate.Limit(limit), int(limit)+5)
	}
	return state
}

// idTable is the idempotency table of a service, by message id.
type idTable struct {
	mutex   sync.Mutex
	entries map[string]success // an empty signature: the message is running
}

// success is the answer to a message's first successful run, which repeated requests get again.
type success struct {
	signature string
	body      []byte
}

// begin reserves an id for a run and reports whether it did. If not, the id is running or known is its success.
func (t *idTable) begin(id string) (known success, running, began bool) {
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

// end stores a success. An empty one releases the id, which may run again.
func (t *idTable) end(id string, first success) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if first.signature == "" {
		delete(t.entries, id)
		return
	}
	t.entries[id] = first
}
