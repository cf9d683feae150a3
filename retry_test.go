package ravendale

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestUnsafeJobThatMayHaveRunIsNeverSentAgain(t *testing.T) {
	for _, o := range []Outcome{Error, TimedOut, Reset, Cancelled} {
		b := newBench(t, testSettings(), ready("a", 0, 0), ready("b", 0, 0))
		b.arrive(1, 2, 25*time.Second)
		b.end(1, 0, o)
		b.none(Send)
		b.none(Refuse)
		b.one(Fail)
	}
	for _, o := range []Outcome{Overloaded, ConnectFailed, NotSent} {
		b := newBench(t, testSettings(), ready("a", 0, 0), ready("b", 0, 0))
		b.arrive(1, 2, 25*time.Second)
		b.end(1, 0, o)
		b.one(Send)
	}
}

func TestKeyedJobThatMayHaveRunStaysInItsCellAndWindow(t *testing.T) {
	s := testSettings()
	b := newBench(t, s, ready("a", 0, 1), ready("b", 0, 1), ready("c", 0, 2), ready("d", 1, 2))
	cell := map[string]int{"a": 1, "b": 1, "c": 2, "d": 2}
	b.arrive(1, 1, 25*time.Second)
	first := b.one(Send).Worker
	b.end(1, 0, Error)
	if second := b.one(Send).Worker; cell[second] != cell[first] {
		t.Errorf("sent to %s after %s, another cell", second, first)
	}
	b.now += s.Classes[1].Window
	b.end(1, 1, Error)
	b.none(Send)
	b.none(Refuse)
	b.one(Fail)
}

// A send says until when it may go: its connection may take longer to come up than workers drop a repeat.
func TestARetrySaysUntilWhenItMayGo(t *testing.T) {
	b := newBench(t, testSettings(), ready("a", 0, 0), ready("b", 0, 0))
	for class, again := range []time.Duration{never / 2, 10*time.Second - 2*5*ms} {
		id := JobID(class + 1)
		b.arrive(id, class, 6*time.Second)
		if by := b.one(Send).By; by != never {
			t.Errorf("class %d: a first send may go until %v", class, by)
		}
		sent := b.now
		b.now += ms
		b.do(Event{Kind: AttemptEnded, Job: id, Outcome: Reset})
		if by := b.one(Send).By; by != sent+again && by != sent+again-2*5*ms {
			t.Errorf("class %d: a repeat may go until %v after the first", class, by-sent)
		}
	}
}

// On sockets an attempt whose connection never came up is none by the protocol's count: a job that meets a cut zone keeps
// some for where it can run, but not without end. The simulator counts every send.
func TestAttemptsThatNeverConnectedCountOnlyWhereEverySendCounts(t *testing.T) {
	for _, tc := range []struct {
		written  bool
		outcomes []Outcome // of the attempts in turn, the last one again and again
		want     int       // sends until the job is given up
	}{
		{false, []Outcome{ConnectFailed}, 5},
		{true, []Outcome{ConnectFailed}, 10},
		{true, []Outcome{Error}, 5},
		{true, []Outcome{ConnectFailed, ConnectFailed, Error}, 7},
		{true, []Outcome{NotSent}, 5},
	} {
		s := testSettings()
		s.WrittenCount, s.Zones = tc.written, 20 // few failures in any one zone: none is taken for lost
		var workers []Entry
		for i := range 40 {
			workers = append(workers, ready(fmt.Sprint("w", i), i%20, 0))
		}
		b := newBench(t, s, workers...)
		b.arrive(1, 0, 6*time.Second)
		sends, ended := 0, false
		for !ended && b.now < time.Hour+6*time.Second {
			sent := b.of(Send)
			ended = len(b.of(Refuse))+len(b.of(Fail)) > 0
			if len(sent) == 0 {
				b.fire(50 * ms)
				continue
			}
			b.now += ms
			b.end(1, sends, tc.outcomes[min(sends, len(tc.outcomes)-1)])
			sends++
		}
		if diff := cmp.Diff(tc.want, sends); diff != "" {
			t.Errorf("written %v, %v: sends (-want +got)\n%s", tc.written, tc.outcomes, diff)
		}
	}
}
