package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

// messageHistory is the history of a message in a randomTest.
type messageHistory struct {
	message    *wire.Message
	acceptedAt time.Duration
	granted    bool
	failures   int
	completed  bool // its last report was sent
	inFlight   int
}

// randomTest applies random events to a Core and checks each action.
type randomTest struct {
	*harness
	r         *rapid.T
	histories map[string]*messageHistory
	attempts  map[string]string // message ID by attemptName
	inFlight  []Deliver
	rejected  string // the message whose Rejected outcome is being applied; empty: none
	lastID    int
}

func attemptName(job JobID, attempt int) string { return fmt.Sprintf("%d/%d", job, attempt) }

func (c *randomTest) check() {
	c.checkQueues()
	for _, d := range c.deliveries {
		id := "0." + d.Delivery.RequestID
		history := c.histories[id]
		switch {
		case history.completed:
			c.r.Fatalf("message %s is sent after its completion", id)
		case history.message.Ordered && !history.granted:
			c.r.Fatalf("message %s is sent before it is granted in its key order", id)
		case c.now < history.acceptedAt+time.Duration(history.message.DelayMs)*ms:
			c.r.Fatalf("message %s is sent before its delay has passed", id)
		case history.inFlight > 0 && !isIdempotent(history.message):
			c.r.Fatalf("message %s is sent while another attempt of it is in flight", id)
		}
		if c.isExcluded(d.Delivery.Worker) {
			c.r.Fatalf("message %s is sent to worker %s, which is draining or not listed", id, d.Delivery.Worker)
		}
		history.inFlight++
		c.attempts[attemptName(d.Job, d.Attempt)] = id
		c.inFlight = append(c.inFlight, d)
	}
	c.deliveries = nil
	for _, r := range c.reports {
		history := c.histories[r.ID]
		if history.completed {
			c.r.Fatalf("message %s is reported after its completion", r.ID)
		}
		if r.Kind == wire.ReportDead && history.failures < int(history.message.Retries) && c.rejected != r.ID {
			c.r.Fatalf("message %s is reported dead after %d failed attempts", r.ID, history.failures)
		}
		history.completed = r.Kind != wire.ReportFailed
	}
	c.reports = nil
}

// checkQueues compares the services' counts of waiting jobs and queued messages with the jobs and messages of the core.
func (c *randomTest) checkQueues() {
	waitingJobs, queued := make(map[*service]int), make(map[*service]int)
	for _, j := range c.core.jobs.byID {
		if j.active && !j.isInFlight() {
			waitingJobs[j.service]++
		}
	}
	for _, m := range c.core.messages.byID {
		if m.phase == phaseQueued {
			queued[m.service]++
		}
	}
	for name, s := range c.core.services {
		switch {
		case s.waitingJobs != waitingJobs[s]:
			c.r.Fatalf("service %s counts %d jobs that wait with the module, want %d", name, s.waitingJobs, waitingJobs[s])
		case s.queue.len() != queued[s]:
			c.r.Fatalf("service %s has %d messages in its queue, want %d", name, s.queue.len(), queued[s])
		case queued[s] > 0 && waitingJobs[s] == 0:
			c.r.Fatalf("service %s has messages in its queue, but no job waits with the module", name)
		}
	}
}

func isIdempotent(m *wire.Message) bool { return m.Target[1] == 's' }

func (c *randomTest) isExcluded(name string) bool {
	return !slices.ContainsFunc(c.workers.Entries, func(w wire.Worker) bool { return w.ID == name && !w.Draining }) && name != "10.0.0.9:80"
}

func (c *randomTest) acceptMessage() {
	c.lastID++
	m := messageTo(rapid.SampledFrom([]string{"/p/", "/s/", "/l/"}).Draw(c.r, "path"), fmt.Sprint(c.lastID))
	m.DelayMs = uint32(rapid.SampledFrom([]int{0, 0, 700}).Draw(c.r, "delay"))
	m.Ordered = rapid.Bool().Draw(c.r, "ordered")
	history := &messageHistory{message: m, acceptedAt: c.now, granted: rapid.Bool().Draw(c.r, "granted")}
	c.histories[m.ID] = history
	c.record(c.core.Accept(c.now, m, history.granted))
}

func (c *randomTest) grant() {
	for _, id := range c.core.MessageIDs() {
		if history := c.histories[id]; history.message.Ordered {
			history.granted = true
			c.record(c.core.Grant(c.now, &wire.Grant{ID: id}))
			return
		}
	}
}

func (c *randomTest) finish(outcome worker.Outcome) {
	if len(c.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.inFlight)-1).Draw(c.r, "which")
	d := c.inFlight[i]
	c.inFlight = slices.Delete(c.inFlight, i, i+1)
	id := c.attempts[attemptName(d.Job, d.Attempt)]
	history := c.histories[id]
	history.inFlight--
	if outcome == worker.Failed {
		history.failures++
	}
	if outcome == worker.Rejected {
		c.rejected = id
	}
	c.finishAttempt(d, outcome)
	c.check()
	c.rejected = ""
}

func (c *randomTest) changeDraining() {
	for i := range c.workers.Entries {
		c.workers.Entries[i].Draining = rapid.IntRange(0, 3).Draw(c.r, "draining") == 0
	}
	c.listWorkers()
}

var testedOutcomes = []worker.Outcome{
	worker.Done, worker.Failed, worker.Rejected, worker.AtCapacity, worker.NotRun, worker.WrongWorker, worker.Duplicate,
	worker.Unreachable, worker.NoConnection, worker.Broken, worker.TimedOut,
}

func (c *randomTest) step() {
	switch rapid.IntRange(0, 7).Draw(c.r, "step") {
	case 0, 1:
		c.acceptMessage()
	case 2:
		c.grant()
	case 3, 4:
		c.finish(rapid.SampledFrom(testedOutcomes).Draw(c.r, "outcome"))
	case 5:
		c.changeDraining()
	default:
		until := c.now + time.Duration(rapid.IntRange(1, 900).Draw(c.r, "pause"))*ms
		for c.core.Next() <= until {
			c.now = max(c.now, c.core.Next())
			c.record(c.core.Tick(c.now))
			c.check()
		}
		c.now = until
	}
	c.check()
}

// Under random events, no message is sent too early, after its completion, or to workers that are draining or not
// listed. Once the workers run all messages with success, each message is completed and the core is empty.
func TestDeliveryUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := &randomTest{harness: newHarness(t), r: r, histories: make(map[string]*messageHistory), attempts: make(map[string]string)}
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			c.step()
		}
		for i := range c.workers.Entries {
			c.workers.Entries[i].Draining = false
		}
		c.listWorkers()
		c.check()
		for deadline := c.now + 60*time.Second; c.now < deadline; c.now += 50 * ms {
			c.grant()
			c.check()
			for len(c.inFlight) > 0 {
				c.finish(worker.Done)
			}
			for c.core.Next() <= c.now {
				c.record(c.core.Tick(c.now))
				c.check()
			}
			for _, id := range c.core.MessageIDs() {
				if history := c.histories[id]; history.message.Ordered && !history.granted {
					history.granted = true
					c.record(c.core.Grant(c.now, &wire.Grant{ID: id}))
					c.check()
				}
			}
		}
		for id, history := range c.histories {
			if !history.completed {
				r.Fatalf("message %s is not completed", id)
			}
			c.record(c.core.Acknowledged(c.now, id))
		}
		if !c.core.Idle() || len(c.core.jobs.byID) > 0 || c.core.MessageBytes() != 0 || len(c.core.messages.due) > 0 {
			r.Fatalf("the core is not empty after all messages are acknowledged: %d messages, %d jobs, %d bytes", len(c.core.messages.byID), len(c.core.jobs.byID), c.core.MessageBytes())
		}
	})
}
