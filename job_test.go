package ravendale

import (
	"testing"
	"time"
)

func TestAJobIsAnsweredBeforeItsDeadline(t *testing.T) {
	for name, workers := range map[string][]Entry{
		"empty list":     nil,
		"silent worker":  {ready("a", 0, 0)},
		"none ready":     {{Worker: "a", State: Draining}},
		"all cold":       {{Worker: "a", State: Ready, Weight: 1, StartedAt: time.Hour - 1}},
		"no such kind":   {{Worker: "a", State: Ready, Weight: 1, Kind: 5}},
		"absurd weights": {{Worker: "a", State: Ready, Weight: 0}},
	} {
		for class := -1; class < 3; class++ {
			b := newBench(t, testSettings(), workers...)
			const left = 4 * time.Second
			deadline := b.now + left
			b.arrive(1, class, left)
			answered := len(b.of(Refuse)) + len(b.of(Fail))
			for b.now < deadline-5*ms {
				b.fire(5 * ms)
				answered += len(b.of(Refuse)) + len(b.of(Fail))
			}
			if answered != 1 {
				t.Errorf("%s, class %d: %d final answers before the deadline, want 1", name, class, answered)
			}
		}
	}
}

// A heavy tail deviates by more than its mean. A job still has its class's aim to start in, else all are refused as they come.
func TestAHeavyTailDoesNotRefuseEverything(t *testing.T) {
	b := newBench(t, startSettings(), ready("a", 0, 0))
	b.d.stats[0].run, b.d.stats[0].dev, b.d.stats[0].longest = 500*ms, time.Second, 6*time.Second
	for id := range JobID(8) { // some find room, and others have to wait
		b.arrive(id, 0, 6*time.Second)
		b.none(Refuse)
	}
}

// Answers after the aim were worth nothing, and the work took the room of jobs that were not lost yet.
func TestAWaitingJobThatCannotMakeItsLatencyTargetIsRefused(t *testing.T) {
	b := newBench(t, startSettings(), ready("a", 0, 0))
	b.do(Event{Kind: JobArrived, Job: 1, Class: 0, Tenant: -1, Left: 6 * time.Second, Work: 500 * ms})
	latest := 400*ms + 2*500*ms - 500*ms // aim, less a run at the usual pace
	b.fire(latest - 10*ms)
	b.none(Refuse)
	b.fire(20 * ms)
	b.one(Refuse)
	b.one(Cancel)
}

func TestNoDeadlineBindsAStreamThatHasBegun(t *testing.T) {
	b := newBench(t, testSettings(), ready("a", 0, 0))
	b.arrive(1, 2, time.Second)
	b.do(Event{Kind: StreamBegan, Job: 1})
	for range 400 {
		b.fire(5 * ms)
		b.none(Fail)
		b.none(Refuse)
		b.none(Send)
	}
}

func TestLateEventsOfEndedJobsAreHarmless(t *testing.T) {
	b := newBench(t, testSettings(), ready("a", 0, 0), ready("b", 0, 0))
	b.arrive(1, 0, 6*time.Second)
	b.do(Event{Kind: ClientLeft, Job: 1})
	b.one(Cancel)
	for _, ev := range []Event{
		{Kind: ClientLeft, Job: 1}, {Kind: ClientLeft, Job: 99}, {Kind: JobStarted, Job: 1},
		{Kind: JobProgressed, Job: 1, Attempt: 7}, {Kind: JobStarted, Job: 99, Attempt: -1},
		{Kind: AttemptEnded, Job: 1, Outcome: Cancelled, Closed: true}, {Kind: AttemptEnded, Job: 1, Outcome: OK, Closed: true},
		{Kind: AttemptEnded, Job: 99}, {Kind: AttemptEnded, Job: 1, Attempt: 3}, {Kind: ProbeAnswered, Worker: "nobody"},
		{Kind: StreamBegan, Job: 1}, {Kind: PeerMessage}, {Kind: TimerFired},
	} {
		for _, a := range b.do(ev) {
			if a.Kind != SetTimer {
				t.Errorf("event %+v leads to %+v", ev, a)
			}
		}
	}
	for _, w := range b.d.workers {
		if w.slots != 0 {
			t.Errorf("worker %s holds %v slots of ended jobs", w.Worker, w.slots)
		}
	}
}

// A given-up job is answered at once, and its client is told when to come back; never later than clients
// heed, and not at all where they are not told.
func TestARefusalSaysWhenToComeBack(t *testing.T) {
	for name, tc := range map[string]struct {
		told bool
		most time.Duration
		want time.Duration
	}{
		"told":        {true, 2 * time.Second, pendingRetry},
		"told at all": {true, 10 * ms, 10 * ms},
		"not told":    {false, 2 * time.Second, 0},
	} {
		s := testSettings()
		s.RetryAfter, s.MaxRetryAfter = tc.told, tc.most
		b := newBench(t, s)
		b.arrive(1, 0, s.Tick)
		if got := b.one(Refuse).Wait; got != tc.want {
			t.Errorf("%s: come back after %v, want %v", name, got, tc.want)
		}
	}
}
