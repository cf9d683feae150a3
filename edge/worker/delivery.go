package worker

import (
	"time"
)

// Outcome is what is known of a delivery.
type Outcome uint8

// The outcomes of a delivery.
const (
	Done         Outcome = iota // it ran with success, and the answer came completely
	Failed                      // it ran and failed: an attempt
	Rejected                    // it can never be done
	AtCapacity                  // it did not run: the worker has no capacity, or the service's rate limit is reached
	NotRun                      // it did not run, for another reason
	WrongWorker                 // it did not run: another worker has the address
	Duplicate                   // it did not run: another attempt of the message is running
	Unreachable                 // it did not run: no connection came up
	NoConnection                // it was not sent: all connections that may be open are in use
	Broken                      // it may have run: the answer was cut, garbled or of another request
	TimedOut                    // it may have run, or may still: no answer came in time
	Cancelled                   // it may have run: the sender gave it up
)

// MayHaveRun reports whether a delivery with this outcome leaves open that the message ran.
func (o Outcome) MayHaveRun() bool { return o == Broken || o == TimedOut || o == Cancelled }

// Delivery is one attempt to have a message run.
type Delivery struct {
	Worker      string // the name under which connections are pooled
	Address     string // host:port
	Instance    string // the instance that the worker must be (Expect-Instance); empty: any
	Method      string
	Host        string
	Target      string // path and query, byte for byte
	RequestID   string
	OrderKey    string
	ContentType string
	Body        []byte
	Limit       time.Duration // given to the worker as Deadline-Ms
}

// Result is how a delivery ended.
type Result struct {
	Outcome   Outcome
	Signature string // of the run, if the outcome is Done
	Took      time.Duration
}
