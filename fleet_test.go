package ravendale

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// entriesOfThreeKinds returns n workers of three sizes in zone 0, as the platform lists them.
func entriesOfThreeKinds(n int) (workers []Entry) {
	for i := range n {
		e := readyEntry(fmt.Sprintf("w%d", i), 0, i/4)
		e.Kind, e.Weight = i%3, []float64{3, 5, 8}[i%3]
		workers = append(workers, e)
	}
	return workers
}

// Guards against overload of the fastest workers: a dispatcher that gets few jobs holds no slots at nearly all workers, so own
// slots don't distinguish these. In the experiment join+vast, the busier a zone was, the more all dispatchers chose its fastest
// workers, which were overloaded while slow ones were idle.
func TestBusyZoneSpreadsJobsByWeight(t *testing.T) {
	b, sends := newTestBench(t, testSettings(), entriesOfThreeKinds(60)...), [3]float64{}
	for id := range JobID(2400) {
		b.d.zones[0].busy = 0.6
		b.arrive(id, 2, 5*time.Second)
		sends[b.d.byName[b.requireOne(Send).Worker].Kind]++
		b.endAttempt(id, 0, OK)
	}
	for kind, weight := range []float64{3, 5, 8} {
		if fraction, want := sends[kind]/2400, weight/16; fraction < 0.75*want || fraction > 1.25*want {
			t.Errorf("workers of kind %d have %v of the fleet's capacity, but got %.3f of the sends", kind, want, fraction)
		}
	}
}

// testFleet has many dispatchers that share a clock and their workers, but no state. It detects decisions that are harmless for
// one dispatcher and harmful if all of them make the same one.
type testFleet struct {
	settings       Settings
	members        []*testBench
	jobs           JobID
	list           []Entry
	workers        map[string]*modelWorker
	pending, spare []workerEvent // future events of the workers, and a spare buffer for them
	random         *rand.Rand
}

// modelWorker is a simulated worker that serves jobs in order, four at once, at a total rate that rises during its slow start.
type modelWorker struct {
	startedAt       time.Duration
	initialFraction float64          // fraction of its capacity at startedAt
	slotFreeAt      [4]time.Duration // when each slot becomes free
	sentAt          []time.Duration
}

type workerEvent struct {
	at   time.Duration
	to   *testBench
	job  JobID
	kind EventKind
}

const warmRate, clockStep = 20.0, 5 * ms // jobs a second of a warm worker; step of the clock

func (f *testFleet) capacity(w *modelWorker, from, until time.Duration) float64 {
	middle := (from+until)/2 - w.startedAt
	return warmRate * (w.initialFraction + (1-w.initialFraction)*middle.Seconds()/f.settings.SlowStartFor.Seconds()) * (until - from).Seconds()
}

// handle passes an event to a dispatcher and the jobs that it sends to the workers.
func (f *testFleet) handle(b *testBench, ev Event) {
	b.handle(ev)
	for _, a := range b.actionsOf(Send) {
		w := f.workers[a.Worker]
		w.sentAt = append(w.sentAt, b.now)
		slices.Sort(w.slotFreeAt[:])
		start := max(w.slotFreeAt[0], b.now+clockStep)
		w.slotFreeAt[0] = start + time.Duration(4*f.random.ExpFloat64()/f.capacity(w, start, start+time.Second)*float64(time.Second))
		f.pending = append(f.pending, workerEvent{start, b, a.Job, JobStarted}, workerEvent{w.slotFreeAt[0], b, a.Job, AttemptEnded})
	}
}

// run delivers the events of the workers and new jobs in turns, at 0.95 of the capacity of twenty warm workers.
func (f *testFleet) run(duration time.Duration) {
	for end := f.members[0].now + duration; f.members[0].now < end; {
		for _, b := range f.members {
			b.now += clockStep
			f.handle(b, Event{Kind: TimerFired})
		}
		f.pending, f.spare = f.spare[:0], f.pending
		for _, d := range f.spare {
			if d.at > d.to.now {
				f.pending = append(f.pending, d)
			} else {
				f.handle(d.to, Event{Kind: d.kind, Job: d.job, Outcome: OK, Closed: true})
			}
		}
		for ; float64(f.jobs) < 0.95*warmRate*20*(f.members[0].now-time.Hour).Seconds(); f.jobs++ {
			f.handle(f.members[int(f.jobs)%len(f.members)], Event{Kind: JobArrived, Job: f.jobs, Class: 2, Tenant: -1, TimeLeft: 25 * time.Second})
		}
	}
}

// All dispatchers together send a worker in its slow start at most OverloadMultiple times its current capacity, however many
// dispatchers there are: otherwise they overload it although each keeps to its own budget. Half of twenty workers are replaced
// 2 s after the dispatchers start. Half of the new workers start at the lowest capacity allowed, and the others, which start
// jobs promptly, must not raise the estimate for these. The new workers must also get the jobs that they can serve, since one
// that is sent little warms up late. This must hold although arrivals were observed for 2 s only, and although the new workers
// are listed before the old ones leave.
func TestAllDispatchersShareSlowStartBudget(t *testing.T) {
	for _, n := range []int{1, 2, 3, 10, 30, 80, 100} {
		f := &testFleet{settings: startNoteSettings(), workers: make(map[string]*modelWorker), random: rand.New(rand.NewPCG(uint64(n), 1))}
		f.settings.Tick = 2 * ms
		for _, e := range entriesOfThreeKinds(20) {
			e.Weight = 1
			f.list, f.workers[e.Worker] = append(f.list, e), &modelWorker{initialFraction: 1}
		}
		for i := range n {
			f.settings.Dispatchers, f.settings.Me = n, i
			f.members = append(f.members, newTestBench(t, f.settings, f.list...))
			f.members[i].d.random = rand.New(rand.NewPCG(uint64(i), 2))
		}
		f.run(2 * time.Second)
		startedAt := f.members[0].now
		for i := range 10 {
			e := readyEntry(fmt.Sprintf("new%d", i), 0, 9)
			e.StartedAt = startedAt
			f.list, f.workers[e.Worker] = append(f.list, e), &modelWorker{startedAt: startedAt, initialFraction: f.settings.SlowStartFrom * (1 + float64(i%2))}
		}
		for _, removed := range []int{0, 10} {
			for i := range removed {
				f.list[i].State = Draining
			}
			for _, b := range f.members {
				f.handle(b, Event{Kind: WorkersListed, List: Full, Entries: f.list})
			}
			f.run(time.Duration(1+2*removed) * 500 * ms)
		}
		maxOfLimit, minOfCapacity := 0.0, 9.0
		for _, e := range f.list[20:] {
			w := f.workers[e.Worker]
			minOfCapacity = min(minOfCapacity, float64(len(w.sentAt))/f.capacity(w, startedAt, f.members[0].now))
			for i, from := range w.sentAt {
				in, _ := slices.BinarySearch(w.sentAt[i:], from+f.settings.OverloadSpan)
				// Jobs are whole and many dispatchers draw at random: tolerate one job.
				maxOfLimit = max(maxOfLimit, float64(in-1)/(f.settings.OverloadMultiple*f.capacity(w, from, from+f.settings.OverloadSpan)))
			}
		}
		if maxOfLimit > 1 || minOfCapacity < 1.15 {
			t.Errorf("%d dispatchers: a worker got up to %.2f of its limit, want at most 1; one got only %.2f of its capacity, want at least 1.15", n, maxOfLimit, minOfCapacity)
		}
	}
}

// An unavailable zone does not respond, and a dispatcher that gets few jobs needs seconds to detect this at each of the zone's
// workers. After a few failures in a row it avoids the zone, until the zone responds or some time has passed.
func TestUnavailableZoneIsAvoidedAfterConsecutiveFailures(t *testing.T) {
	workers := entriesOfThreeKinds(200) // more than are scanned for a job
	for i := range workers {
		workers[i].Zone = i / 170
	}
	b, id := newTestBench(t, testSettings(), workers...), JobID(0)
	sendsToOwnZone := func(ev Event) (n int) { // number of jobs, of twenty safe ones, whose first attempt went to the own zone
		for range 20 {
			id++
			b.arrive(id, 0, 25*time.Second)
			if ev.Job = id; b.d.byName[b.requireOne(Send).Worker].Zone == 0 {
				b.handle(ev)
				n++
			}
			b.handle(Event{Kind: ClientLeft, Job: id})
		}
		return n
	}
	for _, answer := range []Event{{Kind: JobStarted}, {Kind: AttemptEnded, Outcome: OK}} {
		if before, after := sendsToOwnZone(Event{Kind: AttemptEnded, Outcome: ConnectFailed}), sendsToOwnZone(answer); before > zoneFailureLimit || after > 0 {
			t.Errorf("%d jobs were sent to an unavailable zone until it was avoided, and %d after that", before, after)
		}
		b.now += 2 * unhealthyFor
		if sendsToOwnZone(answer); b.d.zones[0].failures > 0 {
			t.Errorf("after %+v %d failures still count", answer, b.d.zones[0].failures)
		}
	}
}

// BenchmarkJobByWorkerCount measures the cost of one job, from its arrival to its end, by the number of listed workers.
func BenchmarkJobByWorkerCount(b *testing.B) {
	for _, n := range []int{10, 60, 200, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dispatcher := newTestBench(new(testing.T), startNoteSettings(), entriesOfThreeKinds(n)...)
			for id := range JobID(b.N) {
				dispatcher.now += 100 * ms
				dispatcher.arrive(id, 0, 5*time.Second)
				dispatcher.handle(Event{Kind: JobStarted, Job: id})
				dispatcher.endAttempt(id, 0, OK)
			}
		})
	}
}

// If the own zone has no free slots and the other zone is unavailable, a job waits for a slot instead of a connection attempt to
// the unavailable zone. Otherwise a partitioned zone cost one failed connection for each pair of its workers and a scheduler
// (experiment zone+mass, 300 schedulers). The zone is tried again once it no longer counts as unavailable.
func TestJobWaitsWhenOnlyUnavailableZoneHasCapacity(t *testing.T) {
	var workers []Entry
	for i := range 12 {
		workers = append(workers, readyEntry(fmt.Sprint("b", i), 1, 0))
	}
	workers = append(workers, readyEntry("a0", 0, 0), readyEntry("a1", 0, 0))
	b, id, tries := newTestBench(t, testSettings(), workers...), JobID(0), map[JobID]int{}
	// Send jobs until both own workers have rejected one and four connections to the other zone have failed in a row.
	for b.d.zones[1].failures < zoneFailureLimit || b.d.byName["a0"].rejectedAt == 0 || b.d.byName["a1"].rejectedAt == 0 {
		if id++; id > 100 {
			t.Fatal("the zone never became unavailable")
		}
		b.now += ms
		sends := b.arrive(id, 0, 6*time.Second)
		for len(sends) > 0 {
			a := sends[0]
			if a.Kind != Send {
				sends = sends[1:]
				continue
			}
			outcome := ConnectFailed
			if a.Worker[0] == 'a' {
				outcome = Overloaded
			}
			tries[a.Job]++
			sends = append(sends[1:], b.endAttempt(a.Job, tries[a.Job]-1, outcome)...)
		}
		b.handle(Event{Kind: ClientLeft, Job: id})
	}
	id++
	b.arrive(id, 0, 6*time.Second)
	b.requireNone(Send)
	b.handle(Event{Kind: ClientLeft, Job: id})
	b.now += 3 * unhealthyFor / 2 // the zone and its workers are tried again; the own workers still reject jobs
	if actions := b.arrive(id+1, 0, 6*time.Second); len(b.actionsOf(Send)) != 1 {
		t.Errorf("once the zone is tried again: got actions %+v, want a send", actions)
	}
}

// If the own zone, or the only zone, is unavailable, there are no free slots to wait for: the job is still sent to a worker that
// has not failed yet.
func TestUnavailableOwnZoneStillGetsJobs(t *testing.T) {
	var workers []Entry
	for i := range 10 {
		workers = append(workers, readyEntry(fmt.Sprint("a", i), 0, 0))
	}
	b := newTestBench(t, testSettings(), workers...)
	for id := range JobID(zoneFailureLimit) {
		b.arrive(id, 0, 6*time.Second)
		b.endAttempt(id, 0, ConnectFailed)
		b.handle(Event{Kind: ClientLeft, Job: id})
	}
	if b.d.zones[0].unavailableUntil <= b.now {
		t.Fatal("the zone did not become unavailable")
	}
	b.arrive(zoneFailureLimit, 0, 6*time.Second)
	b.requireOne(Send)
}
