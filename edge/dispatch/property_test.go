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

// journey is what a message went through.
type journey struct {
	message   *wire.Message
	accepted  time.Duration
	granted   bool
	failures  int
	completed bool // a last report is out
	inFlight  int
}

// chaos plays drawn events against a core and checks each action.
type chaos struct {
	*world
	r        *rapid.T
	journeys map[string]*journey
	attempts map[string]string // message by job and attempt
	running  []Deliver
	refused  string // the message that a worker refuses for good just now
	next     int
}

func key(job JobID, attempt int) string { return fmt.Sprintf("%d/%d", job, attempt) }

func (c *chaos) check() {
	c.checkQueues()
	for _, d := range c.deliveries {
		id := "0." + d.Delivery.RequestID
		j := c.journeys[id]
		switch {
		case j.completed:
			c.r.Fatalf("%s is sent after its end", id)
		case j.message.Ordered && !j.granted:
			c.r.Fatalf("%s is sent before its turn", id)
		case c.now < j.accepted+time.Duration(j.message.DelayMs)*ms:
			c.r.Fatalf("%s is sent before its delay is over", id)
		case j.inFlight > 0 && !isIdempotent(j.message):
			c.r.Fatalf("%s is sent twice at once", id)
		}
		if c.isExcluded(d.Delivery.Worker) {
			c.r.Fatalf("%s is sent to %s, which drains or is gone", id, d.Delivery.Worker)
		}
		j.inFlight++
		c.attempts[key(d.Job, d.Attempt)] = id
		c.running = append(c.running, d)
	}
	c.deliveries = nil
	for _, r := range c.reports {
		j := c.journeys[r.ID]
		if j.completed {
			c.r.Fatalf("%s is reported after its end", r.ID)
		}
		if r.Kind == wire.ReportDead && j.failures < int(j.message.Retries) && c.refused != r.ID {
			c.r.Fatalf("%s is dead after %d failures", r.ID, j.failures)
		}
		j.completed = r.Kind != wire.ReportFailed
	}
	c.reports = nil
}

// checkQueues compares what is counted of the services' queues with what they hold.
func (c *chaos) checkQueues() {
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
			c.r.Fatalf("%s counts %d jobs that wait with the module, want %d", name, s.waitingJobs, waitingJobs[s])
		case s.queue.len() != queued[s]:
			c.r.Fatalf("%s has %d messages in its queue, want %d", name, s.queue.len(), queued[s])
		case queued[s] > 0 && waitingJobs[s] == 0:
			c.r.Fatalf("%s has messages in its queue and none waits with the module", name)
		}
	}
}

func isIdempotent(m *wire.Message) bool { return m.Target[1] == 's' }

func (c *chaos) isExcluded(name string) bool {
	return !slices.ContainsFunc(c.workers.Entries, func(w wire.Worker) bool { return w.ID == name && !w.Draining }) && name != "10.0.0.9:80"
}

func (c *chaos) arrive() {
	c.next++
	m := messageTo(rapid.SampledFrom([]string{"/p/", "/s/", "/l/"}).Draw(c.r, "path"), fmt.Sprint(c.next))
	m.DelayMs = uint32(rapid.SampledFrom([]int{0, 0, 700}).Draw(c.r, "delay"))
	m.Ordered = rapid.Bool().Draw(c.r, "ordered")
	j := &journey{message: m, accepted: c.now, granted: rapid.Bool().Draw(c.r, "granted")}
	c.journeys[m.ID] = j
	c.apply(c.core.Accept(c.now, m, j.granted))
}

func (c *chaos) grant() {
	for _, id := range c.core.MessageIDs() {
		if j := c.journeys[id]; j.message.Ordered {
			j.granted = true
			c.apply(c.core.Grant(c.now, &wire.Grant{ID: id}))
			return
		}
	}
}

func (c *chaos) finish(outcome worker.Outcome) {
	if len(c.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.running)-1).Draw(c.r, "which")
	d := c.running[i]
	c.running = slices.Delete(c.running, i, i+1)
	id := c.attempts[key(d.Job, d.Attempt)]
	j := c.journeys[id]
	j.inFlight--
	if outcome == worker.Failed {
		j.failures++
	}
	if outcome == worker.Rejected {
		c.refused = id
	}
	c.end(d, outcome)
	c.check()
	c.refused = ""
}

func (c *chaos) relist() {
	for i := range c.workers.Entries {
		c.workers.Entries[i].Draining = rapid.IntRange(0, 3).Draw(c.r, "draining") == 0
	}
	c.listWorkers()
}

var someOutcomes = []worker.Outcome{
	worker.Done, worker.Failed, worker.Rejected, worker.AtCapacity, worker.NotRun, worker.WrongWorker, worker.Duplicate,
	worker.Unreachable, worker.NoConnection, worker.Broken, worker.TimedOut,
}

func (c *chaos) step() {
	switch rapid.IntRange(0, 7).Draw(c.r, "step") {
	case 0, 1:
		c.arrive()
	case 2:
		c.grant()
	case 3, 4:
		c.finish(rapid.SampledFrom(someOutcomes).Draw(c.r, "outcome"))
	case 5:
		c.relist()
	default:
		until := c.now + time.Duration(rapid.IntRange(1, 900).Draw(c.r, "pause"))*ms
		for c.core.Next() <= until {
			c.now = max(c.now, c.core.Next())
			c.apply(c.core.Tick(c.now))
			c.check()
		}
		c.now = until
	}
	c.check()
}

// Whatever happens, nothing is sent too early, after its end or to workers that leave; and once workers do their work, each message
// ends and nothing is left behind.
func TestNothingIsLostWhateverHappens(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := &chaos{world: newWorld(t), r: r, journeys: make(map[string]*journey), attempts: make(map[string]string)}
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
			for len(c.running) > 0 {
				c.finish(worker.Done)
			}
			for c.core.Next() <= c.now {
				c.apply(c.core.Tick(c.now))
				c.check()
			}
			for _, id := range c.core.MessageIDs() {
				if j := c.journeys[id]; j.message.Ordered && !j.granted {
					j.granted = true
					c.apply(c.core.Grant(c.now, &wire.Grant{ID: id}))
					c.check()
				}
			}
		}
		for id, j := range c.journeys {
			if !j.completed {
				r.Fatalf("%s has not ended", id)
			}
			c.apply(c.core.Acknowledged(c.now, id))
		}
		if !c.core.Idle() || len(c.core.jobs.byID) > 0 || c.core.MessageBytes() != 0 || len(c.core.messages.due) > 0 {
			r.Fatalf("left behind: %d messages, %d jobs, %d bytes", len(c.core.messages.byID), len(c.core.jobs.byID), c.core.MessageBytes())
		}
	})
}
