package history

import (
	"net/http"
	"sync"
	"time"

	"ravendale/test/standin/protocol"
)

// Send is one try of a client to hand in a message. Each has a Request-Id of its own.
type Send struct {
	RequestID string
	MessageID string // as the 202 named it, else RequestID
	Route     string
	Method    string
	Host      string
	Target    string
	Key       string // Order-Key; empty: none
	Body      uint64 // xxhash of the body
	Delay     time.Duration
	Deadline  time.Duration // as the client announced it; 0: it did not
	Sent      time.Duration
	Answered  time.Duration
	Status    int // 0: the connection ended without an answer
	Edge      string
	Problem   string // why there was no answer
}

// Accepted says whether the message was taken.
func (s Send) Accepted() bool { return s.Status == http.StatusAccepted }

// Promised says whether the answer promises that the message will never run.
func (s Send) Promised() bool {
	switch s.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Outcome of what a worker was handed.
type Outcome uint8

// The outcomes. Whatever is not OutcomeNotRun was started.
const (
	OutcomeNotRun  Outcome = iota // rejected, or answered from the table of ids
	OutcomeRunning                // not over when the history was taken
	OutcomeDone                   // success, with a signature
	OutcomeFailed                 // 500
	OutcomeRefused                // 422: can never be done
	OutcomeStopped                // the deadline was reached
	OutcomeDropped                // the connection closed, or the worker crashed
)

// Arrival is a request that reached a worker.
type Arrival struct {
	RequestID   string
	Service     string
	Worker      string // id of the incarnation
	Listed      bool   // the worker is on the platform's list
	Method      string
	Host        string
	Target      string
	Key         string
	Body        uint64
	Arrived     time.Duration
	Start       time.Duration // of the run
	End         time.Duration // of the run, before its answer is written
	Status      int           // as answered; 0: no answer
	Outcome     Outcome
	Signature   string
	Reused      bool          // its connection had carried another request before
	AnswerFault string        // what the worker did to its success; empty: nothing
	Answered    bool          // the whole answer was written to a connection that stood
	Written     time.Duration // when it had been written
}

// Started says whether the worker ran the request.
func (a Arrival) Started() bool { return a.Outcome != OutcomeNotRun }

// Order is a call of the operator to change the configuration.
type Order struct {
	Base     uint64
	Config   protocol.Config // what is in force if it is taken
	Sent     time.Duration   // the first time
	Answered time.Duration
	Status   int // 0: no clear answer
}

// Taken says whether the order was acknowledged.
func (o Order) Taken() bool { return o.Status == http.StatusOK }

// Possible says whether the order may have been taken.
func (o Order) Possible() bool { return o.Taken() || o.Status == 0 }

// Drain is when the platform's list first showed a worker as draining, or no longer showed it.
type Drain struct {
	Worker string
	Shown  time.Duration
}

// Reading is what a message's state, and if asked for its body, was told to be.
type Reading struct {
	RequestID   string
	MessageID   string
	At          time.Duration
	StateStatus int // 0: no answer
	State       string
	Signature   string
	BodyStatus  int // 0: not asked for, or no answer
	Body        uint64
}

// Fault is a fault that was made, or planned work.
type Fault struct {
	Machine string
	What    string
	At      time.Duration
	Until   time.Duration // when the machine was whole again
	Planned bool
}

// History is all that was seen.
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
	troubles []*Fault
}

// NewRecorder starts a history.
func NewRecorder() *Recorder { return &Recorder{start: time.Now()} }

// Now is the time since the start.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// Send records a client's try that is over.
func (r *Recorder) Send(send Send) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history.Sends = append(r.history.Sends, send)
}

// Arrive records an arrival. What becomes of it is recorded by Change.
func (r *Recorder) Arrive(arrival Arrival) *Arrival {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	kept := &arrival
	r.arrivals = append(r.arrivals, kept)
	return kept
}

// Change records what became of an arrival.
func (r *Recorder) Change(arrival *Arrival, change func(*Arrival)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change(arrival)
}

// Order records an order that is over.
func (r *Recorder) Order(order Order) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history.Orders = append(r.history.Orders, order)
}

// Drain records that the list shows a worker as leaving or gone.
func (r *Recorder) Drain(drain Drain) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history.Drains = append(r.history.Drains, drain)
}

// Read records a reading.
func (r *Recorder) Read(reading Reading) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history.Readings = append(r.history.Readings, reading)
}

// Trouble records that a fault begins, and returns what ends it.
func (r *Recorder) Trouble(machine, what string, planned bool) (end func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	trouble := &Fault{Machine: machine, What: what, At: r.Now(), Planned: planned}
	r.troubles = append(r.troubles, trouble)
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		trouble.Until = r.Now()
	}
}

// History is a copy of what was recorded so far. Faults that have not ended last until now.
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
	for _, trouble := range r.troubles {
		ended := *trouble
		if ended.Until == 0 {
			ended.Until = r.Now()
		}
		copied.Faults = append(copied.Faults, ended)
	}
	return copied
}
