package history

import (
	"net/http"
	"sync"
	"time"

	"ravendale/test/standin/protocol"
)

// Send is one attempt of a client to submit a message. Each attempt has its own Request-Id.
type Send struct {
	RequestID string
	MessageID string // as named in the 202 answer, else RequestID
	Route     string
	Method    string
	Host      string
	Target    string
	Key       string // Order-Key; empty: none
	Body      uint64 // xxhash of the body
	Delay     time.Duration
	Deadline  time.Duration // as announced by the client; 0: none
	Sent      time.Duration
	Answered  time.Duration
	Status    int // 0: the connection ended without an answer
	Edge      string
	Problem   string // why there was no answer
}

// Accepted reports whether the message was accepted.
func (s Send) Accepted() bool { return s.Status == http.StatusAccepted }

// Promised reports whether the answer promises that the message never runs.
func (s Send) Promised() bool {
	switch s.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Outcome is what became of a request at a worker.
type Outcome uint8

// The outcomes. All but OutcomeNotRun mean that a run was started.
const (
	OutcomeNotRun   Outcome = iota // rejected, or answered from the idempotency table
	OutcomeRunning                 // still running when the history was copied
	OutcomeDone                    // success, with a signature
	OutcomeFailed                  // 500
	OutcomeRefused                 // 422: can never succeed
	OutcomeTimedOut                // ended at its deadline
	OutcomeDropped                 // the connection closed, or the worker crashed
)

// Arrival is a request that reached a worker.
type Arrival struct {
	RequestID   string
	Service     string
	Worker      string // instance id, unique to the incarnation
	Listed      bool   // the worker is a listed one
	Method      string
	Host        string
	Target      string
	Key         string
	Body        uint64
	Arrived     time.Duration
	Start       time.Duration // of the run
	End         time.Duration // of the run, before its answer is written
	Status      int           // of the answer; 0: none
	Outcome     Outcome
	Signature   string
	Reused      bool          // its connection had carried an earlier message
	AnswerFault string        // fault injected into the answer to its success; empty: none
	Answered    bool          // the whole answer was written without an error
	Written     time.Duration // when the answer had been written
}

// Started reports whether the worker started to run the request.
func (a Arrival) Started() bool { return a.Outcome != OutcomeNotRun }

// Order is a call of the operator that changes the configuration, with all its repetitions.
type Order struct {
	Base     uint64
	Config   protocol.Config // the whole configuration if the order is applied
	Sent     time.Duration   // time of the first attempt
	Answered time.Duration
	Status   int // 0: no clear answer
}

// Acknowledged reports whether the order was acknowledged.
func (o Order) Acknowledged() bool { return o.Status == http.StatusOK }

// MayBeApplied reports whether the order may have been applied.
func (o Order) MayBeApplied() bool { return o.Acknowledged() || o.Status == 0 }

// Drain is the time from which the platform's list shows a worker as draining or no longer shows it, whichever comes
// first.
type Drain struct {
	Worker string
	Shown  time.Duration
}

// Reading is an answer about a message's state and, if requested, its body.
type Reading struct {
	RequestID   string
	MessageID   string
	At          time.Duration
	StateStatus int // 0: no answer
	State       string
	Signature   string
	BodyStatus  int // 0: not requested, or no answer
	Body        uint64
}

// Fault is an injected fault or planned work.
type Fault struct {
	Machine string
	What    string
	At      time.Duration
	Until   time.Duration // end of the fault
	Planned bool
}

// History is everything that the stand-ins observed.
type History struct {
	Sends    []Send
	Arrivals []Arrival
	Orders   []Order
	Drains   []Drain
	Readings []Reading
	Faults   []Fault
}

// Recorder collects a History. It is safe for concurrent use.
type Recorder struct {
	start time.Time

	mutex    sync.Mutex
	history  History
	arrivals []*Arrival
	faults   []*Fault
}

// NewRecorder returns a recorder whose time starts now.
func NewRecorder() *Recorder { return &Recorder{start: time.Now()} }

// Now returns the time since the recorder was created.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// Send records a finished attempt of a client.
func (r *Recorder) Send(send Send) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history.Sends = append(r.history.Sends, send)
}

// Arrive records an arrival. Later changes to it are made by Change.
func (r *Recorder) Arrive(arrival Arrival) *Arrival {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	kept := &arrival
	r.arrivals = append(r.arrivals, kept)
	return kept
}

// Change updates a recorded arrival.
func (r *Recorder) Change(arrival *Arrival, change func(*Arrival)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change(arrival)
}

// Order records a finished order.
func (r *Recorder) Order(order Order) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history.Orders = append(r.history.Orders, order)
}

// Drain records the time from which the list shows a worker as leaving or gone.
func (r *Recorder) Drain(drain Drain) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history.Drains = append(r.history.Drains, drain)
}

// Read records a reading of a message's state.
func (r *Recorder) Read(reading Reading) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history.Readings = append(r.history.Readings, reading)
}

// BeginFault records the start of a fault, and returns a function that records its end.
func (r *Recorder) BeginFault(machine, what string, planned bool) (end func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fault := &Fault{Machine: machine, What: what, At: r.Now(), Planned: planned}
	r.faults = append(r.faults, fault)
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		fault.Until = r.Now()
	}
}

// History returns a copy of everything recorded so far. Faults that have not ended are given the current time as their
// end.
func (r *Recorder) History() *History {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	copied := &History{
		Sends:    append([]Send(nil), r.history.Sends...),
		Orders:   append([]Order(nil), r.history.Orders...),
		Drains:   append([]Drain(nil), r.history.Drains...),
		Readings: append([]Reading(nil), r.history.Readings...),
	}
	for _, arrival := range r.arrivals {
		copied.Arrivals = append(copied.Arrivals, *arrival)
	}
	for _, fault := range r.faults {
		ended := *fault
		if ended.Until == 0 {
			ended.Until = r.Now()
		}
		copied.Faults = append(copied.Faults, ended)
	}
	return copied
}
