// Every decision of a dispatcher is in this file; its interface is in api.go.
//
// The ordinary path is the rule pi-gamma of Lee, Pedarsani and Ramchandran, "On Scheduling Redundant
// Requests with Cancellation Overheads". docs/design.md says what was kept, what was changed and why.

package ravendale

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"
)

const (
	gamma = 4 // copies are made while this many jobs or fewer are open here: see docs/design.md

	never = time.Duration(math.MaxInt64)

	answerTicks = 2 // before the client leaves: one until the next batch, one for a time-out that shares it

	holdRetry = 50 * time.Millisecond // a job that found no worker looks again; well under any aim

	sickFor = 2 * time.Second // a worker that showed no life is passed over, then gets some work back
	// A worker is sick, too, when this part of its last outcomes, averaged over so many, were faults: two
	// in a row, say.
	faulty, faultsKept = 0.3, 6

	sick = 1e6 // added to its rank: such come last, however few of our slots are there

	reportLife = time.Second // a report is believed for so long, about a mean run

	firstStartWait = 100 * time.Millisecond // until a start note has told how long one takes

	trialEvery   = 150 * time.Millisecond // a worker that turned a job away is tried by all together
	turnsAwayFor = 10 * time.Second       // for so long, beyond what it held of ours

	// Probes cost at most this part of the result, and so many a job; the best of so many drawn is asked.
	probeSpend, probesMost, probeDraws = 0.02, 10, 3

	// A zone is crowded while this part of the looks find no room. There, and at workers that turned jobs
	// away, a report of room must leave this part of the worker's slots to other dispatchers.
	crowded, spare = 0.8, 0.2

	scanMost = 64 // workers looked at for one job, from a random one on, while that finds any that will do

	longQueue = 1 // no job joins a queue of more than so many for each slot: it would wait a mean run

	warmingSpend = 0.9 // of FallMultiple, for a worker past its coldest time: see hasToken

	scarce = 0.5 // room is scarce while this part of the looks at the own zone find none

	worthKept, mixKept = 64, 256 // arrivals that the mean worth and the tenants' mix are averaged over

	looksKept = 16 // looks and runs that the busy part of a zone and the pace are averaged over
	paceMost  = 4  // bounds what one run on a worker that stood still for a while adds to the pace

	rateOver = 10 * time.Second // the arrival rate is averaged over so long

	// Calls to a list of fixed capacity are spread over this for each dispatcher at the start, so that it
	// is not asked in step, and retried after a delay that doubles.
	askSpread, askRetry = 20 * time.Millisecond, time.Second
)

type worker struct {
	Entry                    // StartedAt as it is taken to be
	told       time.Duration // StartedAt as listed
	out        bool          // by hand
	slots      float64       // our slots in flight
	size       float64       // the slots that it was seen to have
	tokens     float64       // sends allowed while cold
	filledAt   time.Duration
	sickTill   time.Duration
	faults     float64 // part of its outcomes, of late, that were errors or breaks
	probing    bool
	limit      float64       // our slots there when it last answered full
	turnedAway time.Duration // when it last answered full
	free       float64       // slots that it reported free, less what we sent since
	seenAt     time.Duration // when free was last set
}

// zone is what was seen of the workers of one zone.
type zone struct {
	busy   float64       // part of the looks that found a worker without room, of late
	queue  float64       // jobs that wait for each slot, by reports of late
	prompt time.Duration // from a send to the start note where nothing waits; 0 until seen
}

// seenOfClass is what was seen of the jobs of one class.
type seenOfClass struct {
	run     time.Duration // from send to answer, of late
	dev     time.Duration // mean deviation from run
	longest time.Duration // the longest time that a try came with
	prior   *prior        // what others saw, until enough was seen here
}

type attempt struct {
	w         *worker
	sentAt    time.Duration
	out       bool // no outcome yet
	mayRun    bool // it may have run, or still may
	started   bool // a start note or a progress note came
	startedAt time.Duration
	cancelled bool
	late      bool // its start is overdue: it waits
}

type job struct {
	id       JobID
	class    *Class       // the class and the most attempts as they were when it came:
	most     int          // settings that change later are not for it
	seen     *seenOfClass // of its class
	slots    float64
	answerBy time.Duration
	hint     time.Duration // of its work, 0 for none
	startBy  time.Duration // started after this it earns nothing, as far as is known
	holdTill time.Duration // it is not sent before this
	due      time.Duration // when it is to be looked at next
	attempts []attempt
	open     bool // no final answer yet
	copied   bool
	worth    float64
	started  bool // an attempt is known to run
	out      int  // attempts without an outcome
	live     int  // attempts without an outcome that we have not cancelled
}

// Dispatcher decides for one dispatcher. It is not safe for concurrent use.
type Dispatcher struct {
	set     Settings
	random  *rand.Rand
	workers []*worker // in the order in which they were first listed
	byName  map[string]*worker
	out     map[string]time.Duration // out by hand, listed or not: since when
	peak    int                      // the most ready workers seen at once

	meanWeight float64 // of the ready workers
	meanSize   float64 // slots of a worker, as seen of late

	slots float64 // our slots in flight
	jobs  map[JobID]*job
	open  []*job // oldest first
	zones []zone // by number; the last is for workers of no known zone

	now     time.Duration
	leaveAt time.Duration // what is unanswered by then is lost with this process
	acts    []Action
	pace    float64        // run time for each unit of hinted work, of late
	seen    []*seenOfClass // by class

	wakeAt time.Duration // when our earliest timer fires

	arrivals  float64 // jobs a second, averaged over rateOver
	arrivedAt time.Duration
	mix       []float64 // by tenant: its part of the arrivals
	jobsSeen  float64
	meanWorth float64 // of what arrives

	probeAt  time.Duration // when a worker is to be probed next
	askAt    time.Duration // when the list is to be asked next
	askAfter time.Duration // the delay after the next failure
}

// Handle takes one event at the time now, which never goes back, and appends what is to be done.
func (d *Dispatcher) Handle(now time.Duration, ev *Event, acts []Action) []Action {
	d.now, d.acts = now, acts
	switch ev.Kind {
	case JobArrived:
		d.arrive(ev)
	case AttemptEnded:
		d.end(ev)
	case JobStarted, JobProgressed:
		d.start(ev)
	case StreamBegan:
		if j := d.jobs[ev.Job]; j != nil {
			j.answerBy = never // the attempt is the client's now, and no deadline binds it
		}
		d.start(ev)
	case ClientLeft:
		if j := d.jobs[ev.Job]; j != nil {
			d.close(j)
		}
	case TimerFired:
		d.sweep()
	case WorkersListed:
		d.list(ev)
	case ProbeAnswered:
		d.probed(ev)
	case AttemptSilent:
		d.silent(ev)
	case WorkerOut, WorkerBack:
		d.byHand(ev.Worker, ev.Kind == WorkerOut)
	case SentElsewhere:
		d.slots = max(0, d.slots+ev.Slots)
		if w := d.byName[ev.Worker]; w != nil {
			w.slots = max(0, w.slots+ev.Slots)
			if d.warmth(w) < 1 && ev.Slots > 0 {
				w.tokens--
			}
		}
	case Inherited:
		d.inherit(ev.Past)
	case Learnt:
		d.believe(ev.Past)
	case Leaving:
		d.leave(d.now + ev.Left)
	}
	acts, d.acts = d.acts, nil
	return acts
}

// wake makes sure that a timer fires at the given time or before.
func (d *Dispatcher) wake(at time.Duration) {
	if at >= d.wakeAt {
		return
	}
	d.wakeAt = at
	d.acts = append(d.acts, Action{Kind: SetTimer, Wait: max(at-d.now, d.set.Tick)})
}

// sweep looks at every open job that is due. Timers that come early find nothing due.
func (d *Dispatcher) sweep() {
	if d.now < d.wakeAt {
		return
	}
	d.wakeAt = never
	next := never
	for i := 0; i < len(d.open); {
		j := d.open[i]
		if j.due <= d.now {
			d.tend(j)
		}
		if !j.open {
			continue // close took it out of the list
		}
		next = min(next, j.due)
		i++
	}
	if d.askAt <= d.now {
		d.acts = append(d.acts, Action{Kind: WatchList})
		d.askAt = d.now + max(d.set.AskWithin/2, askRetry) // unless an answer comes
	}
	if d.probeAt <= d.now {
		d.probe()
	}
	d.wake(min(next, d.askAt, d.probeAt))
}

// tend does what is due for an open job and sets when it is to be looked at next.
func (d *Dispatcher) tend(j *job) {
	if d.now >= j.answerBy || d.now > j.startBy && d.waits(j) && j.mayRefuse() &&
		(j.class.LateWorth == 0 || d.zone(d.set.Zone).busy > crowded) {
		d.giveUp(j)
		return
	}
	j.due = j.answerBy
	switch {
	case j.live > 0:
	case j.holdTill > d.now:
		j.due = min(j.due, j.holdTill)
	default:
		d.place(j)
	}
	if !j.open {
		return
	}
	if j.startBy < never && d.waits(j) && j.mayRefuse() {
		j.due = min(j.due, max(j.startBy, d.now)+d.set.Tick)
	}
	if d.set.TellsStart {
		d.watchStart(j)
	}
}

// watchStart moves a job that waits. A worker that has room tells at once that the job has started; where
// that note is overdue the job stands behind others, and a second place in another queue costs nothing:
// the first to start is kept. So the job gets a copy whatever N is, and when that waits too, the
// copy moves on while attempts are left; the first send keeps its place.
func (d *Dispatcher) watchStart(j *job) {
	newest := -1
	for i := range j.attempts {
		a := &j.attempts[i]
		switch {
		case !a.out || a.cancelled:
			continue
		case a.started:
			return
		}
		newest = i
		due := a.sentAt + d.startWait(a.w)
		if due > d.now {
			j.due = min(j.due, due)
			d.wake(j.due)
			return
		}
		if !a.late {
			a.late = true
			d.sees(a.w, -1)
		}
	}
	if newest < 0 || j.class.Effect != Safe || !d.set.MayCopy {
		return
	}
	if d.lesser(j) && len(j.attempts) < j.most {
		d.yield(j)
		return
	}
	w := d.pick(j, false)
	if w == nil || d.now-w.seenAt < reportLife && w.free < 0 {
		return
	}
	if j.live > 1 {
		d.cancel(j, newest)
	}
	d.send(j, w)
	j.due = min(j.due, d.now+d.startWait(w))
	d.wake(j.due)
}

// lesser says whether room is scarce and the job worth less than the mean of what arrives.
func (d *Dispatcher) lesser(j *job) bool {
	return d.zone(d.set.Zone).busy > scarce && j.worth < d.meanWorth
}

// yield gives up a lesser job's places and spreads the attempts that are left over the time that is left:
// it takes only room that it finds free, so that what is worth more goes first though workers serve in order.
func (d *Dispatcher) yield(j *job) {
	for i := range j.attempts {
		d.cancel(j, i)
	}
	j.due = d.now + (j.due-d.now)/time.Duration(j.most-len(j.attempts)+1)
	j.holdTill = j.due
	d.wake(j.due)
}

// start notes that a job runs, and cancels what still waits for it elsewhere.
func (d *Dispatcher) start(ev *Event) {
	j := d.jobs[ev.Job]
	if j == nil || ev.Attempt < 0 || ev.Attempt >= len(j.attempts) || j.attempts[ev.Attempt].started {
		return
	}
	a := &j.attempts[ev.Attempt]
	a.started, j.started = true, true
	a.startedAt = d.now
	if d.set.TellsStart && ev.Kind == JobStarted {
		z, took := d.zone(a.w.Zone), d.now-a.sentAt
		if z.prompt += z.prompt / 32; z.prompt == 0 || z.prompt > took {
			z.prompt = took
		}
		if !a.late {
			settle(&z.busy, 0)
		}
		a.w.seenAt = d.now - reportLife
	}
	if !j.open {
		return
	}
	for i := range j.attempts {
		if i != ev.Attempt && !j.attempts[i].started {
			d.cancel(j, i)
		}
	}
}

// startWait is the time by which a job that found room is known to have started. A worker that is asked on
// sockets takes up to 50 ms to say so, and one taken back before costs its connection.
func (d *Dispatcher) startWait(w *worker) time.Duration {
	if prompt := d.zone(w.Zone).prompt; prompt > 0 {
		return 10*prompt + 20*d.set.Tick
	}
	return firstStartWait
}

// zone returns the zone of a number, and one for all that are unknown.
func (d *Dispatcher) zone(number int) *zone {
	if number < 0 || number >= d.set.Zones {
		return &d.zones[d.set.Zones]
	}
	return &d.zones[number]
}

// settle moves a mean towards what was seen last.
func settle(mean *float64, seen float64) { *mean += (seen - *mean) / looksKept }

// cancel withdraws an attempt that is still out.
func (d *Dispatcher) cancel(j *job, i int) {
	a := &j.attempts[i]
	if !a.out || a.cancelled || !d.set.MayCancel {
		return
	}
	a.cancelled = true
	j.live--
	d.acts = append(d.acts, Action{Kind: Cancel, Job: j.id, Attempt: i})
}

// arrive takes a job and sends it at once.
func (d *Dispatcher) arrive(ev *Event) {
	class := ev.Class
	if class < 0 || class >= len(d.set.Classes) {
		class = len(d.set.Classes) - 1 // no class of the settings: see take
	}
	j := &job{id: ev.Job, slots: max(ev.Slots, 1), open: true, most: d.set.MaxAttempts,
		class: &d.set.Classes[class], seen: d.seen[class]}
	j.answerBy = min(d.now+ev.Left-answerTicks*d.set.Tick, d.leaveAt)
	d.arrivals *= math.Exp(-float64(d.now-d.arrivedAt) / float64(rateOver))
	d.arrivedAt = d.now
	d.setAim(j, ev)
	// A client's retry adds nothing to the rate: more than comes must not be sent to what is cold.
	if !ev.Retry && ev.Left >= j.seen.longest-j.seen.longest/100 {
		d.arrivals += 1 / rateOver.Seconds()
	}
	d.jobs[j.id] = j
	d.open = append(d.open, j)
	d.tend(j)
	if j.open {
		d.wake(j.due)
	}
	if d.probeAt == never {
		d.probe()
		d.wake(d.probeAt)
	}
	d.copyOldest()
}

// silent moves a job that a worker does not even take: its connection, or it, is as good as dead. What must
// not run twice stays, for it may be there.
func (d *Dispatcher) silent(ev *Event) {
	j := d.jobs[ev.Job]
	if j == nil || !j.open || ev.Attempt >= len(j.attempts) || j.class.Effect == Unsafe {
		return
	}
	d.fault(j.attempts[ev.Attempt].w)
	d.cancel(j, ev.Attempt)
}

// leave has every open job answered by a time, before its client's if need be: an early answer leaves
// the client time to try elsewhere, where none would come at all.
func (d *Dispatcher) leave(at time.Duration) {
	d.leaveAt = at
	for _, j := range d.open {
		j.answerBy = min(j.answerBy, at)
		j.due = min(j.due, j.answerBy)
	}
	d.wake(at)
}

// setAim works out by when the job must start and what it is worth. The client's clock began with its first
// try: one that has less time left than the longest seen of its class is so much older.
func (d *Dispatcher) setAim(j *job, ev *Event) {
	c := j.seen
	c.longest = max(c.longest, ev.Left)
	work, run := ev.Work, time.Duration(d.pace*float64(ev.Work))
	if ev.Work <= 0 {
		work, run = c.run, c.run+c.dev
	}
	j.hint, j.startBy = ev.Work, never
	if j.class.Aim > 0 {
		aim := min(j.class.Aim+time.Duration(j.class.Stretch*float64(work)), c.longest)
		j.startBy = d.now + ev.Left - c.longest + aim - run
	}
	j.worth = j.class.Worth * d.shareOf(ev.Tenant)
	if d.set.WorthByJob {
		j.worth /= max(run, d.set.Tick, 1).Seconds()
	}
	d.meanWorth += (j.worth - d.meanWorth) * max(1/(1+d.jobsSeen), 1.0/worthKept)
	d.jobsSeen++
}

// waits says whether a job is known not to run: it is held here, or no start note came.
func (d *Dispatcher) waits(j *job) bool {
	return j.live == 0 || d.set.TellsStart && !j.started
}

// shareOf counts a job for its tenant and returns what its worth is to be multiplied by: what a tenant sends
// beyond its share is worth little. Nobody here sees all of it, but the mix that comes here shows
// whether it is more than its part; which of its jobs are beyond, nobody can tell.
func (d *Dispatcher) shareOf(tenant int) float64 {
	if tenant < 0 || tenant >= len(d.mix) {
		return 1
	}
	for i := range d.mix {
		d.mix[i] -= d.mix[i] / mixKept
	}
	d.mix[tenant] += 1.0 / mixKept
	inside := min(1, d.set.Tenants[tenant].Share/d.mix[tenant])
	return inside + (1-inside)*d.set.OverShareWorth
}

// place sends a job that has no attempt out, or holds it until a worker shows.
func (d *Dispatcher) place(j *job) {
	if w := d.pick(j, false); w != nil {
		d.send(j, w)
		return
	}
	first := j.bound()
	if len(j.attempts) >= j.most || first != nil && (j.class.Effect == Unsafe ||
		j.class.Effect == Keyed && d.now-first.sentAt >= j.class.Window) {
		d.giveUp(j)
		return
	}
	j.due = min(j.answerBy, d.now+holdRetry)
	d.wake(j.due)
}

func (d *Dispatcher) send(j *job, w *worker) {
	j.attempts = append(j.attempts, attempt{w: w, sentAt: d.now, out: true, mayRun: true})
	j.out++
	j.live++
	w.slots += j.slots
	d.slots += j.slots
	w.free -= j.slots
	if d.warmth(w) < 1 {
		w.tokens--
	}
	d.acts = append(d.acts, Action{Kind: Send, Job: j.id, Worker: w.Worker})
}

// copyOldest is pi-gamma: at each arrival and each finish, while N <= gamma, the oldest uncopied job of a
// class safe to repeat gets one copy on idle room.
func (d *Dispatcher) copyOldest() {
	if !d.set.MayCopy || len(d.open) > gamma {
		return
	}
	for _, j := range d.open {
		if j.copied || j.live != 1 || j.class.Effect != Safe {
			continue
		}
		w := d.pick(j, true)
		if w == nil {
			return
		}
		j.copied = true
		d.send(j, w)
	}
}

// pick returns the ready worker of the job's kind with fewest of our slots in flight, or nil. For a
// copy only a worker that holds none of ours will do.
func (d *Dispatcher) pick(j *job, idle bool) *worker {
	if len(j.attempts) >= j.most {
		return nil
	}
	bound, lesser := j.bound(), d.lesser(j)
	var best *worker
	least, well := math.Inf(1), 0
	start := d.random.IntN(max(len(d.workers), 1))
	for i := range d.workers {
		if i >= scanMost && least < sick {
			break
		}
		w := d.workers[(start+i)%len(d.workers)]
		if !w.usable() || j.class.Kind >= 0 && w.Kind != j.class.Kind {
			continue
		}
		if w.sickTill <= d.now {
			well++
		} else {
			well--
		}
		if !d.hasRoom(j, w, lesser) || idle && !d.isIdle(j, w) {
			continue
		}
		if bound != nil && !d.mayFollow(j, bound, w) {
			continue
		}
		if d.warmth(w) < 1 && (idle || !d.hasToken(w)) {
			continue
		}
		rank := d.rank(w)
		if w.sickTill > 0 && j.class.Effect == Unsafe {
			rank += 1 + d.slots/float64(len(d.workers)) // others try a sick one first: they can be sent again
		}
		if rank < least {
			best, least = w, rank
		}
	}
	if least >= sick && well > 0 {
		return nil // a dead worker always looks free: wait for a live one, unless most look dead
	}
	return best
}

// isIdle says whether w is room for a copy. That none of our jobs is there says little where many
// dispatchers send a trickle each: the worker must have reported lately that it has the slots free.
func (d *Dispatcher) isIdle(j *job, w *worker) bool {
	return w.slots == 0 && w.sickTill <= d.now && d.now-w.seenAt < reportLife && w.free >= j.slots
}

// hasRoom keeps jobs from long queues and from workers that would turn them away. One that did so lately
// takes as many of our slots as it held then: room that a job of ours leaves, which nobody else sees, is
// used at once. Beyond that all dispatchers together try it once in trialEvery, but not with lesser jobs
// or last attempts where reports may tell. Others have read a report too, so it must show a slot to
// spare on a large worker. One that showed no life is tried with one job.
func (d *Dispatcher) hasRoom(j *job, w *worker, lesser bool) bool {
	if w.sickTill > 0 && w.slots > 0 || w.slots > 2*(1+d.slots/float64(len(d.workers))) {
		return false
	}
	fresh, queue := d.now-w.seenAt < reportLife, d.zone(w.Zone).queue
	if fresh {
		queue = max(0, -w.free) / d.sizeOf(w)
	}
	reports, since := d.set.ReportsIn != NoReports, d.now-w.turnedAway
	switch {
	case queue > longQueue:
		return false
	case since >= turnsAwayFor && (!reports || d.zone(w.Zone).busy < crowded):
		return true
	case fresh && w.free+0.25 >= j.slots+math.Floor(spare*w.size):
		return true
	}
	trials := float64(since) / float64(trialEvery) / float64(d.set.Dispatchers)
	if reports && (lesser || len(j.attempts) >= j.most/2) {
		trials = 0
	}
	return w.slots+j.slots <= w.limit+trials
}

// rank orders workers: first by our slots in flight, sick ones last. Own slots tie at zero nearly
// everywhere where a dispatcher sees a trickle, so the tie-break decides: what a job is likely to wait
// and run there, in mean run times, with a draw of our own so that dispatchers don't herd.
func (d *Dispatcher) rank(w *worker) float64 {
	const remote, longWait = 0.25, 8
	wait := d.random.Float64()
	if w.Weight > 0 {
		wait *= d.meanWeight / w.Weight
	}
	if d.now-w.seenAt < reportLife {
		wait += min(max(0, 1-w.free), longWait)
	} else {
		wait += d.zone(w.Zone).busy
	}
	if w.Zone != d.set.Zone {
		wait += remote
	}
	rank := w.slots + wait/(1+wait)
	if w.sickTill > d.now {
		rank += sick
	}
	return rank
}

// warmth is the part of its capacity that a worker surely has, if it warms as slowly as it may.
func (d *Dispatcher) warmth(w *worker) float64 {
	age := d.now - w.StartedAt
	if w.StartedAt <= 0 || age >= d.set.ColdFor {
		return 1
	}
	return d.set.ColdFrom + (1-d.set.ColdFrom)*max(0, float64(age)/float64(d.set.ColdFor))
}

// hasToken says whether a cold worker may be sent one job more. The budget of a cold worker is shared by
// all dispatchers unseen, so each keeps to its own share: the jobs that it would send to one worker
// if the whole fleet were up, times the part of its capacity that the worker has by now. That alone starves
// a fleet that is replaced whole: all its workers are cold together and take fewer jobs than come. So after
// the coldest quarter, when one job is no longer most of a span, a larger part of the budget is spent.
func (d *Dispatcher) hasToken(w *worker) bool {
	share := d.arrivals / float64(max(d.peak, 1)) * d.warmth(w)
	if d.now-w.StartedAt > d.set.ColdFor/4 && w.Weight > 0 {
		share *= warmingSpend * d.set.FallMultiple * w.Weight / d.meanWeight
	}
	w.tokens = min(1, w.tokens+share*(d.now-w.filledAt).Seconds())
	w.filledAt = d.now
	return w.tokens >= 1
}

// bound returns the first attempt that may have run, or nil while nothing can have.
func (j *job) bound() *attempt {
	for i := range j.attempts {
		if j.attempts[i].mayRun {
			return &j.attempts[i]
		}
	}
	return nil
}

// mayFollow says whether a job that may have run on first's worker may go to w as well.
func (d *Dispatcher) mayFollow(j *job, first *attempt, w *worker) bool {
	for i := range j.attempts {
		if j.attempts[i].out && j.attempts[i].w == w {
			return false
		}
	}
	switch {
	case j.out > 0 && !d.set.MayCopy || j.class.Effect == Unsafe:
		return false
	case j.class.Effect == Safe:
		return true
	case d.now-first.sentAt >= j.class.Window-answerTicks*d.set.Tick:
		return false
	}
	switch j.class.Group {
	case GroupZone:
		return w.Zone == first.w.Zone && w.Zone >= 0
	case GroupCell:
		return w.Cell == first.w.Cell && w.Cell >= 0
	}
	return true
}

// mayRefuse says whether the client may be told that a retry does no harm.
func (j *job) mayRefuse() bool {
	return j.class.Effect == Safe || j.bound() == nil || j.class.Effect == Keyed && j.class.Group == GroupAll
}

// giveUp ends a job unserved.
func (d *Dispatcher) giveUp(j *job) {
	a := Action{Kind: Fail, Job: j.id}
	if j.mayRefuse() {
		a.Kind, a.Wait = Refuse, d.comeBack(j)
	}
	d.acts = append(d.acts, a)
	d.close(j)
}

// comeBack is how long a refused client should stay away, 0 where clients are not told. Refused means that
// no room was found: a run of that class, as seen of late, frees some.
func (d *Dispatcher) comeBack(j *job) time.Duration {
	if !d.set.RetryAfter {
		return 0
	}
	return min(max(j.seen.run, holdRetry), max(d.set.MaxRetryAfter, 0))
}

// close takes a job out of the open ones and cancels what is still out.
func (d *Dispatcher) close(j *job) {
	if !j.open {
		return
	}
	j.open = false
	for i, other := range d.open {
		if other == j {
			d.open = append(d.open[:i], d.open[i+1:]...)
			break
		}
	}
	for i := range j.attempts {
		d.cancel(j, i)
	}
	if j.out == 0 {
		delete(d.jobs, j.id)
	}
}

// end takes the outcome of an attempt. Outcomes of jobs that ended before only free their slots.
func (d *Dispatcher) end(ev *Event) {
	j := d.jobs[ev.Job]
	if j == nil || ev.Attempt < 0 || ev.Attempt >= len(j.attempts) || !j.attempts[ev.Attempt].out {
		return
	}
	a := &j.attempts[ev.Attempt]
	a.out = false
	j.out--
	if !a.cancelled {
		j.live--
	}
	a.w.slots -= j.slots
	d.slots -= j.slots
	switch ev.Outcome {
	case FullUp, ConnectFailed, NotSent:
		a.mayRun = false
	}
	d.learn(j, a, ev)
	switch {
	case ev.Closed:
		d.close(j)
	case j.open && j.live == 0:
		d.tend(j)
	}
	if !j.open && j.out == 0 {
		delete(d.jobs, j.id)
	}
	d.placeHeld()
	d.copyOldest()
}

// placeHeld sends held jobs while there is room, what is worth most first and then the oldest.
func (d *Dispatcher) placeHeld() {
	for {
		var best *job
		for _, j := range d.open {
			if j.live == 0 && j.holdTill <= d.now && (best == nil || j.worth > best.worth) {
				best = j
			}
		}
		if best == nil {
			return
		}
		d.tend(best)
		if best.open && best.live == 0 {
			return
		}
	}
}

// learn notes what an outcome says of the worker's health.
func (d *Dispatcher) learn(j *job, a *attempt, ev *Event) {
	w := a.w
	d.report(w, &ev.Load)
	switch ev.Outcome {
	case OK:
		d.learnPace(a, j)
		w.free += j.slots // a report is older than the finish that brings it
		w.faults -= w.faults / faultsKept
		if w.faults < faulty {
			w.sickTill = 0 // until then it is tried with one job at a time
		}
	case FullUp:
		w.limit, w.turnedAway = w.slots, d.now
		settle(&d.zone(w.Zone).busy, 1)
	case ConnectFailed:
		d.ail(w)
	case Error, Reset: // not Rejected: clients that send rubbish must not make workers sick
		d.fault(w)
	}
}

// fault counts against a worker. One that fails jobs at once always has the fewest of our slots and
// would draw everything. A single fault says little: with each taken for an illness, most of a fleet
// that has some would be passed over.
func (d *Dispatcher) fault(w *worker) {
	if w.faults += (1 - w.faults) / faultsKept; w.faults >= faulty {
		d.ail(w)
	}
}

// report takes a worker's own word for its room. Where it tells how many jobs it holds, those beyond the
// slots that it was seen to have wait.
func (d *Dispatcher) report(w *worker, l *Load) {
	if !l.Given || l.FreeSlots < 0 {
		return
	}
	free := l.FreeSlots
	switch {
	case l.InFlight < 0 && l.Busy >= 0 && l.Busy < 0.9 && free >= 1:
		w.size = free / (1 - l.Busy)
	case l.InFlight < 0:
	case free >= 1:
		w.size = l.InFlight + free
		settle(&d.meanSize, w.size)
	default:
		free = min(free, d.sizeOf(w)-l.InFlight)
	}
	d.sees(w, free)
}

// sizeOf is how many slots a worker was seen to have, or workers have on average.
func (d *Dispatcher) sizeOf(w *worker) float64 { return cmp.Or(w.size, d.meanSize, 1) }

// sees notes that a worker has so many slots free; below 0, that jobs wait there.
func (d *Dispatcher) sees(w *worker, free float64) {
	w.free, w.seenAt = free, d.now
	z, busy := d.zone(w.Zone), 0.0
	if free < 1 {
		busy = 1
	}
	settle(&z.busy, busy)
	settle(&z.queue, max(0, -free)/d.sizeOf(w))
}

// probe asks a worker whose report has grown old, at a pace that spends a small part of the result.
// While room is easy to find there is less to ask.
func (d *Dispatcher) probe() {
	d.probeAt = never
	if d.set.ReportsIn == NoReports || !d.set.MayProbe || len(d.workers) == 0 || d.arrivals <= 0 {
		return
	}
	var best *worker
	for range probeDraws {
		w := d.workers[int(d.random.Float64()*float64(len(d.workers)))]
		if !w.usable() || w.probing || d.now-w.seenAt < reportLife {
			continue
		}
		if best == nil || d.rank(w) < d.rank(best) {
			best = w
		}
	}
	if best != nil {
		best.probing = true
		d.acts = append(d.acts, Action{Kind: Probe, Worker: best.Worker})
	}
	perJob := probeSpend / max(d.set.Prices.Probe, probeSpend/probesMost) * min(1, 2*d.zone(d.set.Zone).busy)
	pause := time.Duration(float64(time.Second) / max(perJob*d.arrivals, 1))
	d.probeAt = d.now + max(pause, reportLife/time.Duration(len(d.workers)), d.set.Tick)
}

func (d *Dispatcher) probed(ev *Event) {
	w := d.byName[ev.Worker]
	if w == nil {
		return
	}
	w.probing = false
	d.report(w, &ev.Load)
	switch ev.Outcome {
	case OK:
		w.sickTill = 0
		d.placeHeld()
	case TimedOut: // silent, or so crowded that the probe waits with the jobs
		d.sees(w, -2*longQueue*d.sizeOf(w))
	case ConnectFailed, Reset:
		d.ail(w)
	}
}

// ail passes a worker over for a while that gave no sign of life.
func (d *Dispatcher) ail(w *worker) {
	settle(&d.zone(w.Zone).busy, 1)
	w.sickTill = d.now + sickFor
}

// learnPace averages how long jobs run: for each unit of hinted work on a worker of mean size, or
// where there are no hints, from send to answer by class.
func (d *Dispatcher) learnPace(a *attempt, j *job) {
	if j.hint <= 0 {
		j.seen.saw(d.now - a.sentAt)
		return
	}
	if a.started && a.w.Weight > 0 {
		ran := float64(d.now-a.startedAt) / float64(j.hint) * a.w.Weight / d.meanWeight
		settle(&d.pace, min(ran, paceMost))
	}
}

// list follows the worker list.
func (d *Dispatcher) list(ev *Event) {
	if ev.List == Failed {
		d.askAt = d.now + time.Duration(float64(d.askAfter)*(0.5+d.random.Float64()))
		d.askAfter = min(2*d.askAfter, max(d.set.AskWithin/4, askRetry))
		d.wake(d.askAt)
		return
	}
	if ev.List != Delta {
		for _, w := range d.workers {
			w.State = Gone
		}
	}
	for i := range ev.Entries {
		d.update(&ev.Entries[i])
	}
	d.forgetGone()
	switch {
	case !d.set.MustAsk:
	case ev.List == Cached:
		d.askAt = d.now + time.Duration(d.random.Float64()*float64(d.set.Dispatchers)*float64(askSpread))
		d.wake(d.askAt)
	default:
		d.askAt, d.askAfter = never, askRetry
	}
	d.placeHeld()
}

func (d *Dispatcher) update(e *Entry) {
	w := d.byName[e.Worker]
	if w == nil {
		if e.State == Gone {
			return
		}
		w = new(d.fresh(0))
		d.byName[e.Worker] = w
		d.workers = append(d.workers, w)
	}
	at := e.StartedAt
	switch {
	case at == w.told:
		at = w.StartedAt // no news: what it was taken to be stands
	case at > w.StartedAt:
		*w = d.fresh(w.slots)
	}
	w.Entry, w.told = *e, e.StartedAt
	w.StartedAt = at
	_, w.out = d.out[e.Worker]
}

// byHand takes a worker out, or puts it back. It was restarted meanwhile, and nothing seen before counts.
// Until a list tells when that was, it was now: one taken for warm is pushed over. It has one send at once.
func (d *Dispatcher) byHand(name string, out bool) {
	since, was := d.out[name]
	w := d.byName[name]
	switch {
	case out && !was:
		d.out[name] = d.now
	case !out:
		delete(d.out, name)
	}
	if w == nil || out == was {
		return
	}
	if !out {
		e, told := w.Entry, w.told
		*w = d.fresh(w.slots)
		w.Entry, w.told, w.tokens = e, told, 1
		if w.StartedAt = told; told < since {
			w.StartedAt = d.now
		}
	}
	w.out = out
	d.forgetGone()
	d.placeHeld()
}

// usable says whether jobs may go to a worker, by the list and by hand.
func (w *worker) usable() bool { return w.State == Ready && !w.out }

// fresh is a worker of which nothing is known but our slots. The random part of a token makes the
// budgets of many dispatchers add up evenly.
func (d *Dispatcher) fresh(slots float64) worker {
	long := d.now - turnsAwayFor
	return worker{slots: slots, tokens: d.random.Float64(), filledAt: d.now,
		seenAt: long, turnedAway: long}
}

// forgetGone drops workers that have left, and counts the ready ones.
func (d *Dispatcher) forgetGone() {
	kept, ready, weight := d.workers[:0], 0, 0.0
	for _, w := range d.workers {
		if w.State == Gone {
			delete(d.byName, w.Worker)
			continue
		}
		if w.usable() {
			ready++
			weight += w.Weight
		}
		kept = append(kept, w)
	}
	clear(d.workers[len(kept):])
	d.workers = kept
	d.peak = max(d.peak, ready)
	d.meanWeight = weight / float64(max(ready, 1))
}
