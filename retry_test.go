package ravendale

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestUnsafeJobThatMayHaveRunIsNotRetried(t *testing.T) {
	for _, o := range []Outcome{Error, TimedOut, Reset, Cancelled} {
		b := newTestBench(t, testSettings(), readyEntry("a", 0, 0), readyEntry("b", 0, 0))
		b.arrive(1, 2, 25*time.Second)
		b.endAttempt(1, 0, o)
		b.requireNone(Send)
		b.requireNone(Refuse)
		b.requireOne(Fail)
	}
	for _, o := range []Outcome{Overloaded, ConnectFailed, NotSent} {
		b := newTestBench(t, testSettings(), readyEntry("a", 0, 0), readyEntry("b", 0, 0))
		b.arrive(1, 2, 25*time.Second)
		b.endAttempt(1, 0, o)
		b.requireOne(Send)
	}
}

func TestKeyedJobIsRetriedOnlyInItsCellAndWindow(t *testing.T) {
	s := testSettings()
	b := newTestBench(t, s, readyEntry("a", 0, 1), readyEntry("b", 0, 1), readyEntry("c", 0, 2), readyEntry("d", 1, 2))
	cell := map[string]int{"a": 1, "b": 1, "c": 2, "d": 2}
	b.arrive(1, 1, 25*time.Second)
	first := b.requireOne(Send).Worker
	b.endAttempt(1, 0, Error)
	if second := b.requireOne(Send).Worker; cell[second] != cell[first] {
		t.Errorf("the job is sent to %s after %s, which is in another cell", second, first)
	}
	b.now += s.Classes[1].Window
	b.endAttempt(1, 1, Error)
	b.requireNone(Send)
	b.requireNone(Refuse)
	b.requireOne(Fail)
}

// A Send carries the time until which it may be sent: its connection may be established after the time in which workers discard
// duplicates.
func TestRetryCarriesSendDeadline(t *testing.T) {
	b := newTestBench(t, testSettings(), readyEntry("a", 0, 0), readyEntry("b", 0, 0))
	for class, window := range []time.Duration{never / 2, 10*time.Second - 2*5*ms} {
		id := JobID(class + 1)
		b.arrive(id, class, 6*time.Second)
		if by := b.requireOne(Send).SendBefore; by != never {
			t.Errorf("class %d: the first attempt may be sent until %v, want no limit", class, by)
		}
		sentAt := b.now
		b.now += ms
		b.handle(Event{Kind: AttemptEnded, Job: id, Outcome: Reset})
		if by := b.requireOne(Send).SendBefore; by != sentAt+window && by != sentAt+window-2*5*ms {
			t.Errorf("class %d: the retry may be sent until %v after the first attempt", class, by-sentAt)
		}
	}
}

// On sockets the protocol doesn't count an attempt whose connection was never established. So a job that is sent to a partitioned
// zone keeps attempts for other zones, but not an unlimited number. The simulator counts every send.
func TestUnconnectedAttemptsAreNotCountedWithWrittenCount(t *testing.T) {
	for _, tc := range []struct {
		written  bool
		outcomes []Outcome // of the attempts in order; the last one repeats
		want     int       // number of sends until the job is given up
	}{
		{false, []Outcome{ConnectFailed}, 5},
		{true, []Outcome{ConnectFailed}, 10},
		{true, []Outcome{Error}, 5},
		{true, []Outcome{ConnectFailed, ConnectFailed, Error}, 7},
		{true, []Outcome{NotSent}, 5},
	} {
		s := testSettings()
		s.WrittenCount, s.Zones = tc.written, 20 // few failures in each zone: none becomes unavailable
		var workers []Entry
		for i := range 40 {
			workers = append(workers, readyEntry(fmt.Sprint("w", i), i%20, 0))
		}
		b := newTestBench(t, s, workers...)
		b.arrive(1, 0, 6*time.Second)
		sends, ended := 0, false
		for !ended && b.now < time.Hour+6*time.Second {
			sent := b.actionsOf(Send)
			ended = len(b.actionsOf(Refuse))+len(b.actionsOf(Fail)) > 0
			if len(sent) == 0 {
				b.advance(50 * ms)
				continue
			}
			b.now += ms
			b.endAttempt(1, sends, tc.outcomes[min(sends, len(tc.outcomes)-1)])
			sends++
		}
		if diff := cmp.Diff(tc.want, sends); diff != "" {
			t.Errorf("written %v, %v: sends (-want +got)\n%s", tc.written, tc.outcomes, diff)
		}
	}
}
