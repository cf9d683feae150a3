// Package worker delivers messages to workers over HTTP/1.1: one request at a time on each connection, idle connections kept for
// the next, and an outcome for each delivery that says what is known of the run. It decides nothing about retries.
package worker

import (
	"time"
)

// Outcome says what is known of a delivery.
type Outcome uint8

// The outcomes of a delivery.
const (
	Done        Outcome = iota // it ran with success, and the answer came whole
	Failed                     // it ran and failed: an attempt
	Refused                    // it can never be done
	Full                       // it did not run: the worker has no room, or the service's ceiling is reached
	NotRun                     // it did not run, for another reason
	WrongWorker                // it did not run: another worker has the address
	Repeat                     // it did not run: another attempt of the message is running
	Unreachable                // it did not run: no connection came up
	NoRoom                     // it was not sent: all connections that may be open are in use
	Broken                     // it may have run: the answer was cut, garbled or of another request
	Silent                     // it may have run, or may still: no answer came in time
	Cancelled                  // it may have run: the sender gave it up
)

// MayHaveRun says whether a delivery with this outcome leaves open that the message ran.
func (o Outcome) MayHaveRun() bool { return o == Broken || o == Silent || o == Cancelled }

// Delivery is one attempt to have a message run.
type Delivery struct {
	Worker      string // the name under which connections are pooled
	Address     string // host:port
	Instance    string // what the worker must be; empty: any
	Method      string
	Host        string
	Target      string // path and query, byte for byte
	RequestID   string
	OrderKey    string
	ContentType string
	Body        []byte
	Limit       time.Duration // what the worker is given
}

// Result is how a delivery ended.
type Result struct {
	Outcome   Outcome
	Signature string // of the run that was Done
	Took      time.Duration
}

// Times of a connection.
const (
	connectTimeout = 300 * time.Millisecond
	userTimeout    = 600 * time.Millisecond // bytes that nobody acknowledges for so long end the connection
	answerSlack    = 120 * time.Millisecond // past the limit, for the worker's own word that it stopped
	overtakenFor   = 5 * time.Millisecond   // for what is left to write of a request that has its answer
	defaultIdle    = 4 * time.Second        // how long a worker keeps an idle connection that has not said
	scarceIdle     = 100 * time.Millisecond // how long an idle connection is kept that another sender may want
	idleMargin     = time.Second            // closed so long before the worker would, a quarter of its time at most
)
