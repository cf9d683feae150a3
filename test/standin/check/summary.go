package check

import (
	"fmt"
	"net/http"
	"sort"
	"time"

	"ravendale/test/standin/history"
)

// Summary tells how much was done, and how fast.
type Summary struct {
	Sent       int
	Accepted   int
	Promised   int // not taken, by promise
	Unanswered int
	Other      int // other answers
	Finished   int // of Accepted
	Duplicates int // runs after a success
	AcceptP50  time.Duration
	AcceptP99  time.Duration
	StartP50   time.Duration // of the first run, after sending and delay
	StartP99   time.Duration
}

// String gives the counts and quantiles in one line.
func (s Summary) String() string {
	return fmt.Sprintf("sent %d, accepted %d, promised %d, unanswered %d, other %d, ended %d, repeats %d, 202 p50 %v p99 %v, start p50 %v p99 %v",
		s.Sent, s.Accepted, s.Promised, s.Unanswered, s.Other, s.Finished, s.Duplicates,
		round(s.AcceptP50), round(s.AcceptP99), round(s.StartP50), round(s.StartP99))
}

func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }

// Summarize counts and measures a history.
func Summarize(h *history.History) Summary {
	v := newView(h)
	var summary Summary
	var accepts, starts []time.Duration
	for _, send := range h.Sends {
		summary.count(send)
		if !send.Accepted() {
			continue
		}
		accepts = append(accepts, send.Answered-send.Sent)
		if v.endOf(send) != never {
			summary.Finished++
		}
		if start, started := v.firstStart(send); started {
			starts = append(starts, start)
		}
	}
	summary.Duplicates = v.duplicates()
	summary.AcceptP50, summary.AcceptP99 = Quantile(accepts, 0.5), Quantile(accepts, 0.99)
	summary.StartP50, summary.StartP99 = Quantile(starts, 0.5), Quantile(starts, 0.99)
	return summary
}

func (s *Summary) count(send history.Send) {
	s.Sent++
	switch {
	case send.Status == http.StatusAccepted:
		s.Accepted++
	case send.Status == 0:
		s.Unanswered++
	case send.Promised():
		s.Promised++
	default:
		s.Other++
	}
}

// firstStart is how long after a message was due its first run began.
func (v *view) firstStart(send history.Send) (time.Duration, bool) {
	for _, arrival := range v.arrivals[send.RequestID] {
		if arrival.Started() {
			return arrival.Start - send.Sent - send.Delay, true
		}
	}
	return 0, false
}

// duplicates counts the runs that began after a success of the same message.
func (v *view) duplicates() int {
	duplicates := 0
	for _, arrivals := range v.arrivals {
		done := never
		for _, arrival := range arrivals {
			if arrival.Started() && arrival.Start > done {
				duplicates++
			}
			if arrival.Outcome == history.OutcomeDone {
				done = min(done, arrival.End)
			}
		}
	}
	return duplicates
}

// Quantile of some durations, in the given part from the smallest. It sorts them.
func Quantile(durations []time.Duration, quantile float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	return durations[min(int(quantile*float64(len(durations))), len(durations)-1)]
}
