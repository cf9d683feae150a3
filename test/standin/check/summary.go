package check

import (
	"fmt"
	"net/http"
	"sort"
	"time"

	"ravendale/test/standin/history"
)

// Summary holds the counts and latencies of a history.
type Summary struct {
	Sent       int
	Accepted   int
	Promised   int // rejected with the promise that they never run
	Unanswered int
	Other      int // answered otherwise
	Finished   int // accepted messages that ended
	Duplicates int // runs that started after a success of the same message
	AcceptP50  time.Duration
	AcceptP99  time.Duration
	StartP50   time.Duration // start of the first run, relative to the sending time plus the delay
	StartP99   time.Duration
}

// String returns the counts and quantiles in one line.
func (s Summary) String() string {
	return fmt.Sprintf("sent %d, accepted %d, promised %d, unanswered %d, other %d, ended %d, repeats %d, 202 p50 %v p99 %v, start p50 %v p99 %v",
		s.Sent, s.Accepted, s.Promised, s.Unanswered, s.Other, s.Finished, s.Duplicates,
		round(s.AcceptP50), round(s.AcceptP99), round(s.StartP50), round(s.StartP99))
}

func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }

// Summarize computes the summary of a history.
func Summarize(h *history.History) Summary {
	v := newView(h)
	var summary Summary
	var accepts, starts []time.Duration
	for _, send := range h.Sends {
		summary.countStatus(send)
		if !send.Accepted() {
			continue
		}
		accepts = append(accepts, send.Answered-send.Sent)
		if v.endTime(send) != never {
			summary.Finished++
		}
		if start, started := v.firstStartDelay(send); started {
			starts = append(starts, start)
		}
	}
	summary.Duplicates = v.duplicates()
	summary.AcceptP50, summary.AcceptP99 = Quantile(accepts, 0.5), Quantile(accepts, 0.99)
	summary.StartP50, summary.StartP99 = Quantile(starts, 0.5), Quantile(starts, 0.99)
	return summary
}

func (s *Summary) countStatus(send history.Send) {
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

// firstStartDelay returns how long after a message was due its first run started; false: it never ran.
func (v *view) firstStartDelay(send history.Send) (time.Duration, bool) {
	for _, arrival := range v.arrivals[send.RequestID] {
		if arrival.Started() {
			return arrival.Start - send.Sent - send.Delay, true
		}
	}
	return 0, false
}

// duplicates counts the runs that started after a success of the same message.
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

// Quantile returns a quantile, from 0 to 1, of some durations; 0 if there are none. It sorts them in place.
func Quantile(durations []time.Duration, quantile float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	return durations[min(int(quantile*float64(len(durations))), len(durations)-1)]
}
