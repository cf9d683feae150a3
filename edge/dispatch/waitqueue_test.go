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

func TestWaitQueueOrder(t *testing.T) {
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
		m := q.next(10 * time.Second)
		order = append(order, m.ID)
		q.remove(m)
	}
	assert.Equal(t, []string{"fresh", "fresher", "late, newer", "late"}, order)
}

func TestWaitQueueContents(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		q := waitQueue{}
		queued := make(map[*message]bool)
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			if len(queued) > 0 && rapid.Bool().Draw(r, "take") {
				m := q.next(time.Duration(rapid.IntRange(0, 30).Draw(r, "now")))
				if !queued[m] {
					r.Fatal("next returned a message that is not in the queue")
				}
				q.remove(m)
				delete(queued, m)
			} else {
				m := &message{startTarget: time.Duration(rapid.IntRange(0, 25).Draw(r, "begin by"))}
				q.add(m)
				queued[m] = true
			}
			if q.len() != len(queued) {
				r.Fatalf("queue has %d messages, want %d", q.len(), len(queued))
			}
		}
	})
}

// newBusyHarness returns a harness whose service s has one worker. It has one message in flight, and one that the
// worker rejected for want of capacity, which waits with the module: further messages are queued.
func newBusyHarness(t *testing.T) (h *harness, running Deliver) {
	h = newHarness(t)
	h.workers.Entries = h.workers.Entries[:1]
	h.listWorkers()
	h.accept("/p/", "first")
	running = h.takeDelivery()
	h.accept("/p/", "rejected")
	d := h.takeDelivery()
	h.finishAttempt(d, worker.AtCapacity)
	h.requireNoDelivery()
	return h, running
}

func TestModuleHasOneWaitingJob(t *testing.T) {
	h, running := newBusyHarness(t)
	for i := range 5 {
		h.accept("/p/", fmt.Sprint(i))
	}
	h.requireNoDelivery()
	s := h.core.services["s"]
	assert.Equal(t, 1, s.waitingJobs)
	assert.Equal(t, 5, s.queue.len())
	h.finishAttempt(running, worker.Done)
	assert.NotEmpty(t, h.deliveries, "a finished attempt frees capacity")
	assert.Equal(t, "rejected", h.deliveries[0].Delivery.RequestID)
}

func TestQueuedMessagesAreSentToNewWorkers(t *testing.T) {
	h, running := newBusyHarness(t)
	h.accept("/p/", "queued")
	h.workers.Entries = nil
	h.listWorkers()
	h.finishAttempt(running, worker.Broken)
	h.requireNoDelivery()
	h.workers.Entries = []wire.Worker{{ID: "new", Service: "s", Address: "10.0.0.7:80", Zone: "z1", Capacity: 4}}
	h.listWorkers()
	h.advance(maxBackoff)
	var sent []string
	for _, d := range h.deliveries {
		assert.Equal(t, "new", d.Delivery.Worker)
		sent = append(sent, d.Delivery.RequestID)
	}
	assert.ElementsMatch(t, []string{"first", "rejected", "queued"}, sent)
}

func TestQueuedMessagesAreDroppedWithRoute(t *testing.T) {
	h, _ := newBusyHarness(t)
	h.accept("/p/", "queued")
	h.config.Routes = h.config.Routes[1:]
	h.configure()
	h.confirm()
	var dropped []string
	for _, r := range h.reports {
		require.Equal(t, wire.ReportDropped, r.Kind)
		dropped = append(dropped, r.ID)
	}
	assert.Contains(t, dropped, "0.queued")
	assert.Empty(t, h.core.backlogged)
}

func TestQueuedMessagesExpire(t *testing.T) {
	h, _ := newBusyHarness(t)
	h.accept("/p/", "queued")
	m := h.core.messages.byID["0.queued"]
	h.core.services["s"].waitingJobs = 10 // as if the module had jobs that wait for capacity
	m.expiresAt = h.now + time.Second
	h.core.messages.schedule(m, phaseQueued, m.expiresAt)
	h.advance(1100 * ms)
	assert.Equal(t, phaseReported, m.phase)
	assert.Zero(t, h.core.services["s"].queue.len())
}

func TestQueuedMessagesTakeTokensOfNewRateLimit(t *testing.T) {
	h, running := newBusyHarness(t)
	h.accept("/p/", "queued")
	h.config.Services[0].RatePerS = 4
	h.configure()
	assert.Empty(t, h.core.backlogged)
	h.finishAttempt(running, worker.Done)
	h.deliveries = nil
	h.advance(2 * time.Second)
	assert.NotEmpty(t, h.deliveries)
	assert.Less(t, len(h.deliveries), 10)
}

func TestStopReleasesQueuedMessages(t *testing.T) {
	h, _ := newBusyHarness(t)
	h.accept("/p/", "queued")
	h.record(h.core.Stop(h.now))
	var released []string
	for _, r := range h.reports {
		if r.Kind == wire.ReportReleased {
			released = append(released, r.ID)
		}
	}
	assert.ElementsMatch(t, []string{"0.rejected", "0.queued"}, released)
	assert.Empty(t, h.core.backlogged)
}

func TestNoHedgeWhileMessagesAreQueued(t *testing.T) {
	h, running := newBusyHarness(t)
	h.accept("/p/", "queued")
	j := h.core.jobs.byID[running.Job]
	h.deliveries = nil
	h.core.beginEvent(h.now)
	h.core.send(j, "s-0") // a hedged attempt, requested by the module while the job has one in flight
	h.record(h.core.endEvent())
	for _, d := range h.deliveries {
		assert.NotEqual(t, running.Job, d.Job)
	}
	assert.True(t, j.isInFlight(), "the first attempt stays in flight")
}

// A message does not back off because all workers are at capacity: it is sent as soon as one has capacity.
func TestNoBackoffIfWorkersAreAtCapacity(t *testing.T) {
	for _, outcome := range []worker.Outcome{worker.AtCapacity, worker.NoConnection} {
		h := newHarness(t)
		h.accept("/p/", "m")
		for range attemptsPerJob {
			h.finishAttempt(h.takeDelivery(), outcome)
		}
		m := h.core.messages.byID["0.m"]
		assert.Equal(t, phaseSubmitted, m.phase, "the message is submitted to the module again")
		assert.Zero(t, m.backoffs)
	}
}

func TestStartTargetOrdersWaitQueue(t *testing.T) {
	for _, target := range []time.Duration{600 * ms, 50 * ms} {
		h := newHarness(t)
		h.config.Routes[0].StartTargetMs = float64(target.Milliseconds())
		h.configure()
		h.workers.Entries = h.workers.Entries[:1]
		h.listWorkers()
		h.accept("/p/", "first")
		running := h.takeDelivery()
		h.accept("/p/", "rejected")
		h.finishAttempt(h.takeDelivery(), worker.AtCapacity)
		for _, id := range []string{"older", "newer"} {
			h.accept("/p/", id)
			h.now += 20 * ms
		}
		h.now += 20 * ms
		next := h.core.services["s"].queue.next(h.now)
		want := "older"
		if target < 60*ms {
			want = "newer"
		}
		assert.Equal(t, want, next.RequestID, "start target %v, with %s in flight", target, running.Delivery.RequestID)
	}
}

func TestQueuedMessagesAreReroutedIfServiceIsRemoved(t *testing.T) {
	h, _ := newBusyHarness(t)
	h.accept("/p/", "queued")
	h.config.Routes[0].Service = "safe"
	h.config.Services = h.config.Services[1:]
	h.workers.Entries = append(h.workers.Entries, wire.Worker{ID: "safe-9", Service: "safe", Address: "10.0.0.9:80", Zone: "z1", Capacity: 4})
	h.listWorkers()
	h.configure()
	h.advance(ms)
	var sent []string
	for _, d := range h.deliveries {
		assert.Equal(t, "safe-9", d.Delivery.Worker)
		sent = append(sent, d.Delivery.RequestID)
	}
	assert.ElementsMatch(t, []string{"rejected", "queued"}, sent)
	assert.Empty(t, h.core.backlogged)
}

// A service has no capacity, or no workers at all, and the operator changes the route to another service: the messages
// that wait are sent to that service.
func TestQueuedMessagesFollowRoute(t *testing.T) {
	for name, workers := range map[string]int{"at capacity": 1, "without workers": 0} {
		t.Run(name, func(t *testing.T) {
			h, running := newBusyHarness(t)
			for i := range 5 {
				h.accept("/p/", fmt.Sprint(i))
			}
			h.workers.Entries = h.workers.Entries[:workers]
			for i := range 3 {
				h.workers.Entries = append(h.workers.Entries, wire.Worker{ID: fmt.Sprint("safe-", i), Service: "safe", Address: "10.0.0.9:80", Zone: "z1", Capacity: 4})
			}
			h.listWorkers()
			h.deliveries = nil
			h.config.Routes[0].Service = "safe"
			h.configure()
			h.advance(ms)
			var sent []string
			for _, d := range h.deliveries {
				assert.Contains(t, d.Delivery.Worker, "safe-")
				sent = append(sent, d.Delivery.RequestID)
			}
			assert.ElementsMatch(t, []string{"rejected", "0", "1", "2", "3", "4"}, sent)
			assert.True(t, h.core.jobs.byID[running.Job].isInFlight(), "an attempt in flight is not affected")
		})
	}
}

// A new configuration does not start messages that wait in their key order, for their delay or for a pause between
// attempts.
func TestConfigurationDoesNotStartWaitingMessages(t *testing.T) {
	h := newHarness(t)
	ordered, delayed := messageTo("/s/", "ordered"), messageTo("/s/", "delayed")
	ordered.Ordered, delayed.DelayMs = true, 5000
	h.record(h.core.Accept(h.now, ordered, false))
	h.record(h.core.Accept(h.now, delayed, false))
	h.accept("/p/", "paused")
	for range 2 {
		h.finishAttempt(h.takeDelivery(), worker.Broken)
	}
	h.config.Routes[1].TimeoutMs = 700
	h.configure()
	h.advance(ms)
	h.requireNoDelivery()
}
