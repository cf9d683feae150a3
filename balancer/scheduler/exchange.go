package scheduler

import "time"

// AnswerKind says how a session ended.
type AnswerKind uint8

// The ways in which a session ends.
const (
	Served  AnswerKind = iota // Result is what a backend server gave
	Refused                   // trying again is harmless, best after RetryAfter
	Failed                    // without that promise
)

// Answer is the final answer to a request.
type Answer struct {
	Kind       AnswerKind
	Result     []byte
	RetryAfter time.Duration
}

// Facts are what the decision module gets of a request.
type Facts struct {
	Class  int // index in the settings, -1 if unknown
	Tenant int
	Key    uint64
	Left   time.Duration // until the client gives up
	Work   time.Duration
	Slots  float64
	Memory float64
	Retry  bool
}

// Exchange is the one place where the client side and the server side meet. A frontend fills it in and is
// called back with the answer; a backend server reads Message, whose form only the two of them know.
type Exchange struct {
	ID       string // unique among the requests in progress
	Facts    Facts
	Message  any
	Answer   func(Answer) // called exactly once, unless the client leaves before, or Repeated is
	Repeated func()       // called instead where a request with that id is in progress, or was of late

	// Relay, if set, brings a call to the scheduler's loop: the frontend has another.
	Relay func(func())

	// Holder is the frontend's own: what holds the request there.
	Holder any

	session *Session
}

// Left tells that the client has gone: no answer is owed any more.
func (ex *Exchange) Left() {
	if ex.Relay != nil {
		ex.Relay(ex.left)
	} else {
		ex.left()
	}
}

func (ex *Exchange) left() {
	if ex.session != nil {
		ex.session.clientLeft()
	}
}
