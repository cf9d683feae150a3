package workers

import (
	"math/rand/v2"
)

// Faults of a worker.
type Faults struct {
	Dark    bool    // it accepts connections and says nothing
	Failing bool    // it answers health checks 503, and each run 500
	Slow    float64 // runs take so many times as long; 0: as usual
	AnswerFaults
}

// AnswerFaults is how the answers to runs that were a success are made faulty, by share. An answer has one fault at most.
type AnswerFaults struct {
	NeverSentShare  float64 // never sent
	TruncatedShare  float64 // end early
	ResetShare      float64 // the connection is reset in place of an answer
	ForeignShare    float64 // another message's answer, its id and signature, in place of the own one
	LateShare       float64 // sent about the deadline that the request names, before it or after it
	DuplicatedShare float64 // sent a second time, later
}

// Names of the faults of answers, as history.Arrival has them.
const (
	AnswerNeverSent  = "lost"
	AnswerTruncated  = "cut"
	AnswerReset      = "reset"
	AnswerForeign    = "foreign"
	AnswerLate       = "late"
	AnswerDuplicated = "repeated"
)

// draw chooses what becomes of an answer; empty: it is sent as it is.
func (s AnswerFaults) draw() string {
	drawn := rand.Float64()
	for _, way := range []struct {
		name  string
		share float64
	}{
		{AnswerNeverSent, s.NeverSentShare}, {AnswerTruncated, s.TruncatedShare}, {AnswerReset, s.ResetShare},
		{AnswerForeign, s.ForeignShare}, {AnswerLate, s.LateShare}, {AnswerDuplicated, s.DuplicatedShare},
	} {
		if drawn < way.share {
			return way.name
		}
		drawn -= way.share
	}
	return ""
}
