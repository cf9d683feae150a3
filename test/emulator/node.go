package emulator

import (
	"math"
	"slices"
	"time"
)

// Kind describes a machine type.
type Kind struct {
	Name  string
	Speed float64 // of one core, relative to the reference core
	Cores float64
	Slots float64 // capacity for running jobs; more running jobs than cores share the cores
	Queue int     // maximum number of waiting jobs; further jobs are rejected
}

// Capacity returns the seconds of reference work that a machine of this kind does per second once it is warm.
func (k Kind) Capacity() float64 { return k.Speed * min(k.Cores, k.Slots) }

// Rules are the settings that all nodes of a fleet share.
type Rules struct {
	SlowStartFrom      float64       // fraction of the capacity that a node has right after its start
	SlowStartFor       time.Duration // time from the start until the node has its full capacity
	OverloadMultiple   float64       // a node in slow start fails when it is sent more than this multiple of its current capacity
	OverloadSpan       time.Duration // sliding window over which the work sent is summed
	DownFor            time.Duration // how long a failed node stays down
	CancelStopsRunning bool          // a cancel also stops a running job
}

// Job is one job sent to a node.
type Job struct {
	ID    string
	Work  time.Duration // run time on a core of speed 1
	Slots float64
}

// NoticeKind is the kind of event that a node reports about a job.
type NoticeKind uint8

// The kinds of notices.
const (
	Started NoticeKind = iota
	Done
	Rejected // without having been queued or run
	Lost     // the node failed or was restarted
)

// Notice is one event that a node reports about a job.
type Notice struct {
	Kind NoticeKind
	ID   string
}

type jobState struct {
	Job
	remaining float64 // seconds of work still to be done
}

type arrival struct {
	at   time.Duration
	work float64
}

// Node is one emulated node. The zero value is not usable; use New.
type Node struct {
	kind            Kind
	rules           Rules
	startedAt       time.Duration // time of the latest start; below 0 the node is always warm
	now             time.Duration
	downUntil       time.Duration
	running         []jobState
	waiting         []jobState
	usedSlots       float64
	recentArrivals  []arrival // work sent within the last OverloadSpan, recorded only during slow start
	worstOverload   float64
	failures        int
	failsOnOverload bool
}

// New returns a warm node. With failsOnOverload the node goes down when it is overloaded during slow start; without, it
// only records the highest load (see Worst).
func New(k Kind, r Rules, failsOnOverload bool) *Node {
	return &Node{kind: k, rules: r, startedAt: -1, failsOnOverload: failsOnOverload}
}

// Restart restarts the node into its slow start. All its running and waiting jobs are reported as Lost.
func (n *Node) Restart(now time.Duration) []Notice {
	n.advance(now)
	n.startedAt, n.recentArrivals = now, nil
	return n.dropAllJobs()
}

func (n *Node) dropAllJobs() (notes []Notice) {
	for _, list := range [][]jobState{n.running, n.waiting} {
		for _, job := range list {
			notes = append(notes, Notice{Lost, job.ID})
		}
	}
	n.running, n.waiting, n.usedSlots = nil, nil, 0
	return notes
}

// capacityFraction returns the fraction of its capacity that the node has at the given time.
func (n *Node) capacityFraction(at time.Duration) float64 {
	if n.startedAt < 0 || n.rules.SlowStartFor <= 0 || at-n.startedAt >= n.rules.SlowStartFor {
		return 1
	}
	return n.rules.SlowStartFrom + (1-n.rules.SlowStartFrom)*max(0, float64(at-n.startedAt)/float64(n.rules.SlowStartFor))
}

// Down reports whether the node has failed and is not up again.
func (n *Node) Down(now time.Duration) bool { return now < n.downUntil }

// Worst returns the highest load during slow start: the work sent within one OverloadSpan, divided by the work that may be
// sent in it. Above 1 the node was overloaded.
func (n *Node) Worst() float64 { return n.worstOverload }

// Failures returns how often the node went down because of an overload.
func (n *Node) Failures() int { return n.failures }

// rate returns the seconds of reference work that each running job gets done per second, without the effect of slow start.
func (n *Node) rate() float64 {
	if len(n.running) == 0 {
		return 0
	}
	return n.kind.Speed * min(1, n.kind.Cores/float64(len(n.running)))
}

// capacityIntegral returns the integral of capacityFraction from one time to another, in seconds.
func (n *Node) capacityIntegral(from, to time.Duration) float64 {
	if n.startedAt < 0 {
		return (to - from).Seconds()
	}
	warmAt := n.startedAt + n.rules.SlowStartFor
	warming := min(to, warmAt) - min(from, warmAt)
	mean := (n.capacityFraction(min(from, warmAt-1)) + n.capacityFraction(min(to, warmAt-1))) / 2
	return warming.Seconds()*mean + (max(to, warmAt) - max(from, warmAt)).Seconds()
}

// advance does the running jobs' work up to now. No job may end before now: the caller steps to the time that Next returns.
func (n *Node) advance(now time.Duration) {
	if now <= n.now {
		return
	}
	done := n.rate() * n.capacityIntegral(n.now, now)
	for i := range n.running {
		n.running[i].remaining -= done
	}
	n.now = now
}

// Offer submits a job to the node. It returns the notices up to now, including those about the submitted job.
func (n *Node) Offer(now time.Duration, j Job) (notes []Notice) {
	notes = n.AdvanceTo(now)
	if n.Down(now) {
		return append(notes, Notice{Lost, j.ID})
	}
	j.Slots = min(max(j.Slots, 1), n.kind.Slots)
	if notes = append(notes, n.recordArrival(j)...); n.Down(now) {
		return append(notes, Notice{Lost, j.ID})
	}
	if len(n.waiting) >= n.kind.Queue && n.usedSlots+j.Slots > n.kind.Slots {
		return append(notes, Notice{Rejected, j.ID})
	}
	n.waiting = append(n.waiting, jobState{j, j.Work.Seconds()})
	return append(notes, n.startWaiting()...)
}

// recordArrival records work sent to a node in slow start, and fails the node on overload. In any window of OverloadSpan
// the node may be sent OverloadMultiple times the work that it can do at its current capacity. A single job right after the
// start may exceed that limit, which no scheduler can avoid, so the limit is at least the work of the window's first job.
func (n *Node) recordArrival(j Job) (notes []Notice) {
	if n.capacityFraction(n.now) >= 1 || n.rules.OverloadSpan <= 0 {
		return nil
	}
	for len(n.recentArrivals) > 0 && n.recentArrivals[0].at <= n.now-n.rules.OverloadSpan {
		n.recentArrivals = n.recentArrivals[1:]
	}
	n.recentArrivals = append(n.recentArrivals, arrival{n.now, j.Work.Seconds()})
	sum := 0.0
	for _, a := range n.recentArrivals {
		sum += a.work
	}
	allowed := n.rules.OverloadMultiple * n.kind.Capacity() * n.capacityFraction(n.now) * n.rules.OverloadSpan.Seconds()
	allowed = max(allowed, n.recentArrivals[0].work)
	if n.worstOverload = max(n.worstOverload, sum/allowed); sum <= allowed || !n.failsOnOverload {
		return nil
	}
	n.failures++
	n.downUntil = n.now + n.rules.DownFor
	n.startedAt, n.recentArrivals = n.downUntil, nil
	return n.dropAllJobs()
}

// startWaiting starts the waiting jobs in order, as long as the first one fits into the free slots.
func (n *Node) startWaiting() (notes []Notice) {
	for len(n.waiting) > 0 && n.usedSlots+n.waiting[0].Slots <= n.kind.Slots {
		job := n.waiting[0]
		n.waiting = n.waiting[1:]
		n.usedSlots += job.Slots
		n.running = append(n.running, job)
		notes = append(notes, Notice{Started, job.ID})
	}
	return notes
}

// Cancel cancels a job: a waiting job is dropped, a running one is stopped if Rules.CancelStopsRunning is set. It reports
// whether the node had the job, and returns the notices up to now, including those about jobs that start in its place.
func (n *Node) Cancel(now time.Duration, id string) (found bool, notes []Notice) {
	notes = n.AdvanceTo(now)
	matches := func(job jobState) bool { return job.ID == id }
	if i := slices.IndexFunc(n.waiting, matches); i >= 0 {
		n.waiting = slices.Delete(n.waiting, i, i+1)
		return true, append(notes, n.startWaiting()...)
	}
	if i := slices.IndexFunc(n.running, matches); i >= 0 {
		if !n.rules.CancelStopsRunning {
			return true, notes
		}
		n.usedSlots -= n.running[i].Slots
		n.running = slices.Delete(n.running, i, i+1)
		return true, append(notes, n.startWaiting()...)
	}
	return false, notes
}

// workEpsilon is the remaining work, in seconds, at or below which a job counts as done. It is less than any clock used with
// the model can resolve.
const workEpsilon = 1e-7

// AdvanceTo advances the node to now and returns the jobs that ended and those that started in their place, in order.
func (n *Node) AdvanceTo(now time.Duration) (notes []Notice) {
	for {
		at, pending := n.Next()
		if !pending || at > now {
			n.advance(now)
			return notes
		}
		n.advance(at)
		for i := 0; i < len(n.running); {
			if job := n.running[i]; job.remaining <= workEpsilon {
				n.usedSlots -= job.Slots
				n.running = slices.Delete(n.running, i, i+1)
				notes = append(notes, Notice{Done, job.ID})
				continue
			}
			i++
		}
		notes = append(notes, n.startWaiting()...)
	}
}

// Next returns the time at which the next running job ends if no other call changes the node, and whether any job runs.
func (n *Node) Next() (at time.Duration, pending bool) {
	if len(n.running) == 0 {
		return 0, false
	}
	leastRemaining := math.Inf(1)
	for i := range n.running {
		leastRemaining = min(leastRemaining, n.running[i].remaining)
	}
	need := max(leastRemaining, 0) / n.rate() // seconds at full capacity
	if warmAt := n.startedAt + n.rules.SlowStartFor; n.startedAt >= 0 && n.now < warmAt {
		workWhileCold := n.capacityIntegral(n.now, warmAt)
		if need <= workWhileCold {
			// Over a time t the capacity fraction rises linearly from w by slope: need = w t + slope t^2 / 2.
			w, slope := n.capacityFraction(n.now), (1-n.rules.SlowStartFrom)/n.rules.SlowStartFor.Seconds()
			t := need / w
			if slope > 0 {
				t = (math.Sqrt(w*w+2*slope*need) - w) / slope
			}
			return n.now + ceilDuration(t), true
		}
		return warmAt + ceilDuration(need-workWhileCold), true
	}
	return n.now + ceilDuration(need), true
}

// ceilDuration converts seconds to a duration and rounds up, so that a job's work is complete at the time that Next returns.
func ceilDuration(s float64) time.Duration { return time.Duration(math.Ceil(s * float64(time.Second))) }
