package workers

import (
	"math/rand/v2"
)

// Troubles of a worker.
type Troubles struct {
	Dark    bool    // it accepts connections and says nothing
	Failing bool    // it answers health checks 503, and each run 500
	Slow    float64 // runs take so many times as long; 0: as usual
	Spoilt
}

// Spoilt is how the answers to runs that were a success are spoilt, by share. An answer is spoilt in one way at most.
type Spoilt struct {
	LoseShare    float64 // never sent
	CutShare     float64 // end early
	ResetShare   float64 // the connection is reset in place of an answer
	ForeignShare float64 // another message's answer, its id and signature, in place of the own one
	LateShare    float64 // sent about the deadline that the request names, before it or after it
	RepeatShare  float64 // sent a second time, later
}

// Names of the ways in which answers are spoilt, as history.Arrival has them.
const (
	SpoiltLost    = "lost"
	SpoiltCut     = "cut"
	SpoiltReset   = "reset"
	SpoiltForeign = "foreign"
	SpoiltLate    = "late"
	SpoiltRepeat  = "repeated"
)

// draw chooses what becomes of an answer; empty: it is sent as it is.
func (s Spoilt) draw() string {
	drawn := rand.Float64()
	for _, way := range []struct {
		name  string
		share float64
	}{
		{SpoiltLost, s.LoseShare}, {SpoiltCut, s.CutShare}, {SpoiltReset, s.ResetShare},
		{SpoiltForeign, s.ForeignShare}, {SpoiltLate, s.LateShare}, {SpoiltRepeat, s.RepeatShare},
	} {
		if drawn < way.share {
			return way.name
		}
		drawn -= way.share
	}
	return ""
}
