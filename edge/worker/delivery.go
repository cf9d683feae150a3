package worker

import (
	"time"
)

// Outcome is what is known about the execution of a delivery.
type Outcome uint8

// The outcomes of a delivery.
const (
	Done         Outcome = iota // it ran successfully, and the response was complete
	Failed                      // it ran and failed: counts as an attempt
	Rejected                    // it can never succeed: no retry
	AtCapacity                  // it did not run: the worker has no capacity, or the service's rate limit is reached
	NotRun                      // it did not run, for another reason
	WrongWorker                 // it did not run: another worker has the address
	Duplicate                   // it did not run: another attempt of the message is running
	Unreachable                 // it did not run: no connection could be established
	NoConnection                // it was not sent: all connections of the share are in use
	Broken                      // it may have run: the response was truncated, malformed or belongs to another request
	TimedOut                    // it may have run, or may still be running: no response in time
	Cancelled                   // it may have run: the sender cancelled it
)

// MayHaveRun reports whether the message may have run: the outcome does not say whether it did.
func (o Outcome) MayHaveRun() bool { return o == Broken || o == TimedOut || o == Cancelled }

// Delivery is one attempt to run a message on a worker.
type Delivery struct {
	Worker      string // key of the connection pool
	Address     string // host:port
	Instance    string // expected instance ID of the worker (Expect-Instance); empty: any
	Method      string
	Host        string
	Target      string // path and query, byte for byte
	RequestID   string
	OrderKey    string
	ContentType string
	Body        []byte
	Limit       time.Duration // sent to the worker as Deadline-Ms
	Revoked     func() bool   // reports whether it must not be sent any more; nil: never. It is asked once there is a connection
}

// Result is the result of a delivery.
type Result struct {
	Outcome   Outcome
	Signature string // of the run, if the outcome is Done
	Took      time.Duration
}
