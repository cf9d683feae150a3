package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

func TestFreshMessagesGoBeforeLateOnes(t *testing.T) {
	q := waitQueue{}
	add := func(id string, start time.Duration) {
		m := &message{startTarget: start + 600*ms}
		m.ID = id
		q.add(m)
	}
	add("late, newer", 3*time.Second)
	add("late", time.Second)
	add("fresh", 9500*ms)
	add("fresher", 9900*ms)
	var order []string
	for q.len() > 0 {
		m := q.first(10 * time.Second)
		order = append(order, m.ID)
		q.remove(m)
	}
	assert.Equal(t, []string{"fresh", "fresher", "late, newer", "late"}, order)
}

func TestWaitQueueKeepsWhatIsInIt(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		q := waitQueue{}
		in := make(map[*message]bool)
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			if len(in) > 0 && rapid.Bool().Draw(r, "take") {
				m := q.first(time.Duration(rapid.IntRange(0, 30).Draw(r, "now")))
				if !in[m] {
					r.Fatal("what goes first is not there")
				}
				q.remove(m)
				delete(in, m)
			} else {
				m := &message{startTarget: time.Duration(rapid.IntRange(0, 25).Draw(r, "begin by"))}
				q.add(m)
				in[m] = true
			}
			if q.len() != len(in) {
				r.Fatalf("%d are there, want %d", q.len(), len(in))
			}
		}
	})
}

// busyWorld has one worker, which rejects a first message: one that comes then waits.
func busyWorld(t *testing.T) (w *world, running Deliver) {
	w = newWorld(t)
	w.workers.Entries = w.workers.Entries[:1]
	w.listWorkers()
	w.accept("/p/", "first")
	running = w.sent()
	w.accept("/p/", "turned away")
	d := w.sent()
	w.end(d, worker.AtCapacity)
	w.sentNothing()
	return w, running
}

func TestOneMessageWaitsWithTheModuleAndTheOthersBehindIt(t *testing.T) {
	w, running := busyWorld(t)
	for i := range 5 {
		w.accept("/p/", fmt.Sprint(i))
	}
	w.sentNothing()
	s := w.core.services["s"]
	assert.Equal(t, 1, s.waitingJobs)
	assert.Equal(t, 5, s.queue.len())
	w.end(running, worker.Done)
	assert.NotEmpty(t, w.deliveries, "a finish makes room")
	assert.Equal(t, "turned away", w.deliveries[0].Delivery.RequestID)
}

func TestMessagesThatWaitGoOnceTheirWorkersAreListed(t *testing.T) {
	w, running := busyWorld(t)
	w.accept("/p/", "waits")
	w.workers.Entries = nil
	w.listWorkers()
	w.end(running, worker.Broken)
	w.sentNothing()
	w.workers.Entries = []wire.Worker{{ID: "new", Service: "s", Address: "10.0.0.7:80", Zone: "z1", Capacity: 4}}
	w.listWorkers()
	w.pass(maxBackoff)
	var sent []string
	for _, d := range w.deliveries {
		assert.Equal(t, "new", d.Delivery.Worker)
		sent = append(sent, d.Delivery.RequestID)
	}
	assert.ElementsMatch(t, []string{"first", "turned away", "waits"}, sent)
}

func TestMessagesThatWaitEndWithTheirRoute(t *testing.T) {
	w, _ := busyWorld(t)
	w.accept("/p/", "waits")
	w.config.Routes = w.config.Routes[1:]
	w.configure()
	var dropped []string
	for _, r := range w.reports {
		require.Equal(t, wire.ReportDropped, r.Kind)
		dropped = append(dropped, r.ID)
	}
	assert.Contains(t, dropped, "0.waits")
	assert.Empty(t, w.core.backlogged)
}

func TestMessagesThatWaitExpire(t *testing.T) {
	w, _ := busyWorld(t)
	w.accept("/p/", "waits")
	m := w.core.messages.byID["0.waits"]
	w.core.services["s"].waitingJobs = 10 // the module finds no capacity
	m.expiresAt = w.now + time.Second
	w.core.messages.schedule(m, phaseQueued, m.expiresAt)
	w.pass(1100 * ms)
	assert.Equal(t, phaseReported, m.phase)
	assert.Zero(t, w.core.services["s"].queue.len())
}

func TestMessagesThatWaitTakeTokensOnceTheirServiceHasARateLimit(t *testing.T) {
	w, running := busyWorld(t)
	w.accept("/p/", "waits")
	w.config.Services[0].RatePerS = 4
	w.configure()
	assert.Empty(t, w.core.backlogged)
	w.end(running, worker.Done)
	w.deliveries = nil
	w.pass(2 * time.Second)
	assert.NotEmpty(t, w.deliveries)
	assert.Less(t, len(w.deliveries), 10)
}

func TestMessagesThatWaitAreReleasedAtAStop(t *testing.T) {
	w, _ := busyWorld(t)
	w.accept("/p/", "waits")
	w.apply(w.core.Stop(w.now))
	var released []string
	for _, r := range w.reports {
		if r.Kind == wire.ReportReleased {
			released = append(released, r.ID)
		}
	}
	assert.ElementsMatch(t, []string{"0.turned away", "0.waits"}, released)
	assert.Empty(t, w.core.backlogged)
}

func TestNoCopyGoesWhileMessagesWait(t *testing.T) {
	w, running := busyWorld(t)
	w.accept("/p/", "waits")
	j := w.core.jobs.byID[running.Job]
	w.deliveries = nil
	w.core.begin(w.now)
	w.core.send(j, "s-0") // as the module's copy of a job that is under way
	w.apply(w.core.end())
	for _, d := range w.deliveries {
		assert.NotEqual(t, running.Job, d.Job)
	}
	assert.True(t, j.isInFlight(), "the first attempt goes on")
}

// Workers without capacity have no message back off: it goes as soon as one has capacity.
func TestAMessageThatFoundAllWorkersAtCapacityDoesNotBackOff(t *testing.T) {
	for _, outcome := range []worker.Outcome{worker.AtCapacity, worker.NoConnection} {
		w := newWorld(t)
		w.accept("/p/", "m")
		for range attemptsPerJob {
			w.end(w.sent(), outcome)
		}
		m := w.core.messages.byID["0.m"]
		assert.Equal(t, phaseSubmitted, m.phase, "the module has it again")
		assert.Zero(t, m.backoffs)
	}
}

func TestTheStartTargetOfARouteOrdersWhatWaits(t *testing.T) {
	for _, aim := range []time.Duration{600 * ms, 50 * ms} {
		w := newWorld(t)
		w.config.Routes[0].StartTargetMs = float64(aim.Milliseconds())
		w.configure()
		w.workers.Entries = w.workers.Entries[:1]
		w.listWorkers()
		w.accept("/p/", "first")
		running := w.sent()
		w.accept("/p/", "turned away")
		w.end(w.sent(), worker.AtCapacity)
		for _, id := range []string{"older", "newer"} {
			w.accept("/p/", id)
			w.now += 20 * ms
		}
		w.now += 20 * ms
		next := w.core.services["s"].queue.first(w.now)
		want := "older"
		if aim < 60*ms {
			want = "newer"
		}
		assert.Equal(t, want, next.RequestID, "aim %v, with %s under way", aim, running.Delivery.RequestID)
	}
}

func TestMessagesThatWaitLookForTheirRouteWhenTheirServiceGoes(t *testing.T) {
	w, _ := busyWorld(t)
	w.accept("/p/", "waits")
	w.config.Routes[0].Service = "safe"
	w.config.Services = w.config.Services[1:]
	w.workers.Entries = append(w.workers.Entries, wire.Worker{ID: "safe-9", Service: "safe", Address: "10.0.0.9:80", Zone: "z1", Capacity: 4})
	w.listWorkers()
	w.configure()
	w.pass(ms)
	var sent []string
	for _, d := range w.deliveries {
		assert.Equal(t, "safe-9", d.Delivery.Worker)
		sent = append(sent, d.Delivery.RequestID)
	}
	assert.ElementsMatch(t, []string{"turned away", "waits"}, sent)
	assert.Empty(t, w.core.backlogged)
}

// A service has no capacity, or no workers at all, and the operator has its route lead to another: what waits goes there.
func TestMessagesThatWaitFollowTheirRoute(t *testing.T) {
	for name, workers := range map[string]int{"full": 1, "without workers": 0} {
		t.Run(name, func(t *testing.T) {
			w, running := busyWorld(t)
			for i := range 5 {
				w.accept("/p/", fmt.Sprint(i))
			}
			w.workers.Entries = w.workers.Entries[:workers]
			for i := range 3 {
				w.workers.Entries = append(w.workers.Entries, wire.Worker{ID: fmt.Sprint("safe-", i), Service: "safe", Address: "10.0.0.9:80", Zone: "z1", Capacity: 4})
			}
			w.listWorkers()
			w.deliveries = nil
			w.config.Routes[0].Service = "safe"
			w.configure()
			w.pass(ms)
			var sent []string
			for _, d := range w.deliveries {
				assert.Contains(t, d.Delivery.Worker, "safe-")
				sent = append(sent, d.Delivery.RequestID)
			}
			assert.ElementsMatch(t, []string{"turned away", "0", "1", "2", "3", "4"}, sent)
			assert.True(t, w.core.jobs.byID[running.Job].isInFlight(), "what is under way stays")
		})
	}
}

// A configuration starts nothing that waits for its turn, its time or a pause.
func TestAConfigurationHurriesNothing(t *testing.T) {
	w := newWorld(t)
	ordered, delayed := messageTo("/s/", "ordered"), messageTo("/s/", "delayed")
	ordered.Ordered, delayed.DelayMs = true, 5000
	w.apply(w.core.Accept(w.now, ordered, false))
	w.apply(w.core.Accept(w.now, delayed, false))
	w.accept("/p/", "paused")
	for range 2 {
		w.end(w.sent(), worker.Broken)
	}
	w.config.Routes[1].TimeoutMs = 700
	w.configure()
	w.pass(ms)
	w.sentNothing()
}
