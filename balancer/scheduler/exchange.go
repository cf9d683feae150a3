package scheduler

import "time"

// AnswerKind is the way in which a session ended.
type AnswerKind uint8

// The kinds of answers.
const (
	Served  AnswerKind = iota // Result holds the result from a backend server
	Refused                   // nothing ran, so that the client may retry safely, preferably after RetryAfter
	Failed                    // the request may have run
)

// Answer is the final answer to a request.
type Answer struct {
	Kind       AnswerKind
	Result     []byte
	RetryAfter time.Duration
}

// Facts are the properties of a request that the decision module receives.
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

// Exchange links the client side and the server side of one request. The frontend fills it in and receives the answer through
// its callbacks; the backend reads Message, whose type only the two of them know.
type Exchange struct {
	ID       string // unique among the requests in progress
	Facts    Facts
	Message  any
	Answer   func(Answer) // called exactly once, unless the client disconnects first or Repeated is called
	Repeated func()       // called instead if a request with that ID is in progress or ended recently

	// Relay, if set, passes a call to the scheduler's loop, for a frontend that runs on another loop.
	Relay func(func())

	// Holder is for the frontend's use: the object that holds the request there.
	Holder any

	session *Session
}

// ClientLeft reports that the client has disconnected, so that the request no longer needs an answer.
func (ex *Exchange) ClientLeft() {
	if ex.Relay != nil {
		ex.Relay(ex.clientLeft)
	} else {
		ex.clientLeft()
	}
}

func (ex *Exchange) clientLeft() {
	if ex.session != nil {
		ex.session.clientLeft()
	}
}
