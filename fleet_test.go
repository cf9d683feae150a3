package ravendale

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// kinds are workers of three sizes in a zone, as the platform lists them.
func kinds(n int) (workers []Entry) {
	for i := range n {
		e := ready(fmt.Sprintf("w%d", i), 0, i/4)
		e.Kind, e.Weight = i%3, []float64{3, 5, 8}[i%3]
		workers = append(workers, e)
	}
	return workers
}

// Own slots tie at zero nearly everywhere where a dispatcher sees a trickle. Found on join+vast: the busier a zone, the
// more all dispatchers together chose its fastest workers, which drowned beside slow ones that stood idle.
func TestABusyZoneDoesNotHerdAllOntoItsFastestWorkers(t *testing.T) {
	b, sends := newBench(t, testSettings(), kinds(60)...), [3]float64{}
	for id := range JobID(2400) {
		b.d.zones[0].busy = 0.6
		b.arrive(id, 2, 5*time.Second)
		sends[b.d.byName[b.one(Send).Worker].Kind]++
		b.end(id, 0, OK)
	}
	for kind, weight := range []float64{3, 5, 8} {
		if part, want := sends[kind]/2400, weight/16; part < 0.75*want || part > 1.25*want {
			t.Errorf("kind %d, %v of the fleet's capacity, got %.3f of the sends", kind, want, part)
		}
	}
}

// A fleet is many dispatchers that share nothing, on one clock, and the workers that they share. What is fine alone and
// hurts when all do it shows only in the sum over them.
type fleet struct {
	set        Settings
	members    []*bench
	jobs       JobID
	list       []Entry
	workers    map[string]*modelled
	due, spare []due // what workers will tell, and room for more of it
	random     *rand.Rand
}

// modelled is a worker that serves in order, four jobs at once, as much in all as its warmth allows.
type modelled struct {
	born  time.Duration
	from  float64          // its warmth then
	free  [4]time.Duration // when each place is
	sends []time.Duration
}

type due struct {
	at   time.Duration
	to   *bench
	job  JobID
	kind EventKind
}

const canDo, stepOf = 20.0, 5 * ms // jobs a second of a warm worker; the clock's step

func (f *fleet) capacity(w *modelled, from, until time.Duration) float64 {
	middle := (from+until)/2 - w.born
	return canDo * (w.from + (1-w.from)*middle.Seconds()/f.set.SlowStartFor.Seconds()) * (until - from).Seconds()
}

// tell gives a member an event, and what it sends to the workers.
func (f *fleet) tell(b *bench, ev Event) {
	b.do(ev)
	for _, a := range b.of(Send) {
		w := f.workers[a.Worker]
		w.sends = append(w.sends, b.now)
		slices.Sort(w.free[:])
		start := max(w.free[0], b.now+stepOf)
		w.free[0] = start + time.Duration(4*f.random.ExpFloat64()/f.capacity(w, start, start+time.Second)*float64(time.Second))
		f.due = append(f.due, due{start, b, a.Job, JobStarted}, due{w.free[0], b, a.Job, AttemptEnded})
	}
}

// play has the workers tell and the members take jobs, by turns, near the full load of twenty warm workers.
func (f *fleet) play(long time.Duration) {
	for end := f.members[0].now + long; f.members[0].now < end; {
		for _, b := range f.members {
			b.now += stepOf
			f.tell(b, Event{Kind: TimerFired})
		}
		f.due, f.spare = f.spare[:0], f.due
		for _, d := range f.spare {
			if d.at > d.to.now {
				f.due = append(f.due, d)
			} else {
				f.tell(d.to, Event{Kind: d.kind, Job: d.job, Outcome: OK, Closed: true})
			}
		}
		for ; float64(f.jobs) < 0.95*canDo*20*(f.members[0].now-time.Hour).Seconds(); f.jobs++ {
			f.tell(f.members[int(f.jobs)%len(f.members)], Event{Kind: JobArrived, Job: f.jobs, Class: 2, Tenant: -1, Left: 25 * time.Second})
		}
	}
}

// What all dispatchers together send a cold worker stays under FallMultiple of what it can do at that moment, however many
// they are: else one is overfed by all though each keeps to its own budget. Soon after a start half of twenty workers are
// replaced; half of the new ones are as cold as any may be, and the others, which start jobs promptly, must not make these
// look as if they had room. They do get what they can carry, though rates were seen for 2 s only and the successors come
// before the others go: one that is sent little warms late.
func TestAllTogetherKeepToTheBudgetOfAWorkerInSlowStart(t *testing.T) {
	for _, n := range []int{1, 2, 3, 10, 30, 80, 100} {
		f := &fleet{set: startSettings(), workers: make(map[string]*modelled), random: rand.New(rand.NewPCG(uint64(n), 1))}
		f.set.Tick = 2 * ms
		for _, e := range kinds(20) {
			e.Weight = 1
			f.list, f.workers[e.Worker] = append(f.list, e), &modelled{from: 1}
		}
		for i := range n {
			f.set.Dispatchers, f.set.Me = n, i
			f.members = append(f.members, newBench(t, f.set, f.list...))
			f.members[i].d.random = rand.New(rand.NewPCG(uint64(i), 2))
		}
		f.play(2 * time.Second)
		born := f.members[0].now
		for i := range 10 {
			e := ready(fmt.Sprintf("new%d", i), 0, 9)
			e.StartedAt = born
			f.list, f.workers[e.Worker] = append(f.list, e), &modelled{born: born, from: f.set.SlowStartFrom * (1 + float64(i%2))}
		}
		for _, gone := range []int{0, 10} {
			for i := range gone {
				f.list[i].State = Draining
			}
			for _, b := range f.members {
				f.tell(b, Event{Kind: WorkersListed, List: Full, Entries: f.list})
			}
			f.play(time.Duration(1+2*gone) * 500 * ms)
		}
		worst, least := 0.0, 9.0
		for _, e := range f.list[20:] {
			w := f.workers[e.Worker]
			least = min(least, float64(len(w.sends))/f.capacity(w, born, f.members[0].now))
			for i, from := range w.sends {
				in, _ := slices.BinarySearch(w.sends[i:], from+f.set.OverloadSpan)
				// Whole jobs, drawn by many: one is left to chance.
				worst = max(worst, float64(in-1)/(f.set.OverloadMultiple*f.capacity(w, from, from+f.set.OverloadSpan)))
			}
		}
		if worst > 1 || least < 1.15 {
			t.Errorf("%d dispatchers: at most %.2f of the limit, at least %.2f of what could be done", n, worst, least)
		}
	}
}

// A zone that is lost says nothing, and a dispatcher that sees few jobs needs seconds to learn it of each of its workers: after
// a few signs in a row it goes elsewhere, until the zone speaks or some time has passed.
func TestAnUnavailableZoneIsLeftAfterAFewSigns(t *testing.T) {
	workers := kinds(200) // more than are looked at for a job
	for i := range workers {
		workers[i].Zone = i / 170
	}
	b, id := newBench(t, testSettings(), workers...), JobID(0)
	own := func(says Event) (n int) { // of twenty safe jobs, those that went to the own zone first
		for range 20 {
			id++
			b.arrive(id, 0, 25*time.Second)
			if says.Job = id; b.d.byName[b.one(Send).Worker].Zone == 0 {
				b.do(says)
				n++
			}
			b.do(Event{Kind: ClientLeft, Job: id})
		}
		return n
	}
	for _, life := range []Event{{Kind: JobStarted}, {Kind: AttemptEnded, Outcome: OK}} {
		if lost, then := own(Event{Kind: AttemptEnded, Outcome: ConnectFailed}), own(life); lost > failuresOfZone || then > 0 {
			t.Errorf("%d jobs to a lost zone until it was left, and %d after that", lost, then)
		}
		b.now += 2 * unhealthyFor
		if own(life); b.d.zones[0].failures > 0 {
			t.Errorf("after %+v %d signs still count", life, b.d.zones[0].failures)
		}
	}
}

// BenchmarkServers is what one job costs the module, from its arrival to its end, by how many workers are listed.
func BenchmarkServers(b *testing.B) {
	for _, n := range []int{10, 60, 200, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := newBench(new(testing.T), startSettings(), kinds(n)...)
			for id := range JobID(b.N) {
				m.now += 100 * ms
				m.arrive(id, 0, 5*time.Second)
				m.do(Event{Kind: JobStarted, Job: id})
				m.end(id, 0, OK)
			}
		})
	}
}

// Where the own zone has no room and the other is taken for lost, a job waits for room rather than spend a connect on a
// zone that says nothing: a cut zone drew one failed connect from each of its workers and scheduler (zone+mass, 300
// schedulers). It is tried again once the zone's time as lost is over.
func TestAJobWaitsForASlotRatherThanGoToAnUnavailableZone(t *testing.T) {
	var workers []Entry
	for i := range 12 {
		workers = append(workers, ready(fmt.Sprint("b", i), 1, 0))
	}
	workers = append(workers, ready("a0", 0, 0), ready("a1", 0, 0))
	b, id, tries := newBench(t, testSettings(), workers...), JobID(0), map[JobID]int{}
	// Jobs until both own workers have turned one away and four connects to the other zone failed in a row.
	for b.d.zones[1].failures < failuresOfZone || b.d.byName["a0"].rejectedAt == 0 || b.d.byName["a1"].rejectedAt == 0 {
		if id++; id > 100 {
			t.Fatal("the zone was never taken for lost")
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
			sends = append(sends[1:], b.end(a.Job, tries[a.Job]-1, outcome)...)
		}
		b.do(Event{Kind: ClientLeft, Job: id})
	}
	id++
	b.arrive(id, 0, 6*time.Second)
	b.none(Send)
	b.do(Event{Kind: ClientLeft, Job: id})
	b.now += 3 * unhealthyFor / 2 // the zone's time as lost is over, and its workers' as sick; own ones still turn jobs away
	if sent := b.arrive(id+1, 0, 6*time.Second); len(b.of(Send)) != 1 {
		t.Errorf("once the zone's time as lost is over, %+v, want a send", sent)
	}
}

// Where the lost zone is the own one, or the only one, there is no room to wait for: the job goes to a worker that has not
// failed yet, as before.
func TestAnUnavailableOwnZoneStillGetsJobs(t *testing.T) {
	var workers []Entry
	for i := range 10 {
		workers = append(workers, ready(fmt.Sprint("a", i), 0, 0))
	}
	b := newBench(t, testSettings(), workers...)
	for id := range JobID(failuresOfZone) {
		b.arrive(id, 0, 6*time.Second)
		b.end(id, 0, ConnectFailed)
		b.do(Event{Kind: ClientLeft, Job: id})
	}
	if b.d.zones[0].unavailableUntil <= b.now {
		t.Fatal("the zone was not taken for lost")
	}
	b.arrive(failuresOfZone, 0, 6*time.Second)
	b.one(Send)
}
