package workers

import (
	"math/rand/v2"
)

// Faults are the injected faults of a worker.
type Faults struct {
	Unresponsive bool    // it accepts connections and never answers
	Failing      bool    // it answers 503 to health checks, and 500 to each message
	Slow         float64 // factor for the duration of runs; 0: none
	AnswerFaults
}

// AnswerFaults holds the fraction of answers to successful runs that get each fault. An answer has at most one fault.
type AnswerFaults struct {
	NeverSentShare  float64 // the answer is never sent
	TruncatedShare  float64 // the connection is closed after a part of the answer
	ResetShare      float64 // the connection is reset instead of an answer
	ForeignShare    float64 // the answer to another message is sent instead, with its id and signature
	LateShare       float64 // the answer is sent shortly before or after the request's deadline
	DuplicatedShare float64 // the answer is sent twice
	MalformedShare  float64 // the answer has a form that HTTP forbids, and another signature
}

// Names of the answer faults, as recorded in history.Arrival.
const (
	AnswerNeverSent  = "lost"
	AnswerTruncated  = "cut"
	AnswerReset      = "reset"
	AnswerForeign    = "foreign"
	AnswerLate       = "late"
	AnswerDuplicated = "repeated"
	AnswerMalformed  = "malformed"
)

// draw chooses the fault of an answer; empty: none.
func (s AnswerFaults) draw() string {
	drawn := rand.Float64()
	for _, way := range []struct {
		name  string
		share float64
	}{
		{AnswerNeverSent, s.NeverSentShare}, {AnswerTruncated, s.TruncatedShare}, {AnswerReset, s.ResetShare},
		{AnswerForeign, s.ForeignShare}, {AnswerLate, s.LateShare}, {AnswerDuplicated, s.DuplicatedShare}, {AnswerMalformed, s.MalformedShare},
	} {
		if drawn < way.share {
			return way.name
		}
		drawn -= way.share
	}
	return ""
}
