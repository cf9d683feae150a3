package ravendale

import (
	"testing"
	"time"
)

func TestJobIsAnsweredBeforeDeadline(t *testing.T) {
	for name, workers := range map[string][]Entry{
		"empty list":            nil,
		"unresponsive worker":   {readyEntry("a", 0, 0)},
		"no ready worker":       {{Worker: "a", State: Draining}},
		"all in slow start":     {{Worker: "a", State: Ready, Weight: 1, StartedAt: time.Hour - 1}},
		"no worker of the kind": {{Worker: "a", State: Ready, Weight: 1, Kind: 5}},
		"zero weight":           {{Worker: "a", State: Ready, Weight: 0}},
	} {
		for class := -1; class < 3; class++ {
			b := newTestBench(t, testSettings(), workers...)
			const left = 4 * time.Second
			deadline := b.now + left
			b.arrive(1, class, left)
			answered := len(b.actionsOf(Refuse)) + len(b.actionsOf(Fail))
			for b.now < deadline-5*ms {
				b.advance(5 * ms)
				answered += len(b.actionsOf(Refuse)) + len(b.actionsOf(Fail))
			}
			if answered != 1 {
				t.Errorf("%s, class %d: %d final answers before the deadline, want 1", name, class, answered)
			}
		}
	}
}

// The mean deviation of heavy-tailed run times exceeds the mean. A job must still have LatencyTarget to start in: otherwise all
// jobs are refused on arrival.
func TestLargeRunDeviationDoesNotRefuseAllJobs(t *testing.T) {
	b := newTestBench(t, startNoteSettings(), readyEntry("a", 0, 0))
	b.d.stats[0].meanRun, b.d.stats[0].meanDev, b.d.stats[0].maxTimeLeft = 500*ms, time.Second, 6*time.Second
	for id := range JobID(8) { // some are sent, and others have to wait
		b.arrive(id, 0, 6*time.Second)
		b.requireNone(Refuse)
	}
}

// Guards against running jobs that are too late: answers after the latency target earned nothing, and took the slots of jobs that
// could still be answered in time.
func TestQueuedJobThatMissesLatencyTargetIsRefused(t *testing.T) {
	b := newTestBench(t, startNoteSettings(), readyEntry("a", 0, 0))
	b.handle(Event{Kind: JobArrived, Job: 1, Class: 0, Tenant: -1, TimeLeft: 6 * time.Second, Work: 500 * ms})
	startBy := 400*ms + 2*500*ms - 500*ms // latency target, less the expected run
	b.advance(startBy - 10*ms)
	b.requireNone(Refuse)
	b.advance(20 * ms)
	b.requireOne(Refuse)
	b.requireOne(Cancel)
}

func TestStreamedAnswerHasNoDeadline(t *testing.T) {
	b := newTestBench(t, testSettings(), readyEntry("a", 0, 0))
	b.arrive(1, 2, time.Second)
	b.handle(Event{Kind: StreamStarted, Job: 1})
	for range 400 {
		b.advance(5 * ms)
		b.requireNone(Fail)
		b.requireNone(Refuse)
		b.requireNone(Send)
	}
}

func TestLateEventsOfEndedJobsAreIgnored(t *testing.T) {
	b := newTestBench(t, testSettings(), readyEntry("a", 0, 0), readyEntry("b", 0, 0))
	b.arrive(1, 0, 6*time.Second)
	b.handle(Event{Kind: ClientLeft, Job: 1})
	b.requireOne(Cancel)
	for _, ev := range []Event{
		{Kind: ClientLeft, Job: 1}, {Kind: ClientLeft, Job: 99}, {Kind: JobStarted, Job: 1},
		{Kind: JobProgressed, Job: 1, Attempt: 7}, {Kind: JobStarted, Job: 99, Attempt: -1},
		{Kind: AttemptEnded, Job: 1, Outcome: Cancelled, Closed: true}, {Kind: AttemptEnded, Job: 1, Outcome: OK, Closed: true},
		{Kind: AttemptEnded, Job: 99}, {Kind: AttemptEnded, Job: 1, Attempt: 3}, {Kind: ProbeAnswered, Worker: "nobody"},
		{Kind: StreamStarted, Job: 1}, {Kind: PeerMessage}, {Kind: TimerFired},
	} {
		for _, a := range b.handle(ev) {
			if a.Kind != SetTimer {
				t.Errorf("event %+v causes action %+v", ev, a)
			}
		}
	}
	for _, w := range b.d.workers {
		if w.ownSlots != 0 {
			t.Errorf("worker %s holds %v slots of ended jobs", w.Worker, w.ownSlots)
		}
	}
}

// A job that is given up is answered at once with a retry delay of at most MaxRetryAfter, or with none if the settings don't
// allow it.
func TestRefusalRetryAfter(t *testing.T) {
	for name, tc := range map[string]struct {
		allowed       bool
		maxRetryAfter time.Duration
		want          time.Duration
	}{
		"retry delay":              {true, 2 * time.Second, pendingRetryInterval},
		"limited by MaxRetryAfter": {true, 10 * ms, 10 * ms},
		"no RetryAfter":            {false, 2 * time.Second, 0},
	} {
		s := testSettings()
		s.RetryAfter, s.MaxRetryAfter = tc.allowed, tc.maxRetryAfter
		b := newTestBench(t, s)
		b.arrive(1, 0, s.Tick)
		if got := b.requireOne(Refuse).Wait; got != tc.want {
			t.Errorf("%s: retry after %v, want %v", name, got, tc.want)
		}
	}
}
