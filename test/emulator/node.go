package emulator

import (
	"math"
	"slices"
	"time"
)

// Kind is a kind of machine.
type Kind struct {
	Name  string
	Speed float64 // of a core, 1 for the reference
	Cores float64
	Slots float64 // jobs run in so many slots; with more slots than cores they share the cores
	Queue int     // jobs that may wait; more are rejected
}

// Capacity is how many seconds of work a warm machine of that kind does in a second.
func (k Kind) Capacity() float64 { return k.Speed * min(k.Cores, k.Slots) }

// Rules are what holds for all nodes of a fleet.
type Rules struct {
	SlowStartFrom    float64       // a fresh node starts at this part of its capacity,
	SlowStartFor     time.Duration // and has all of it after so long
	OverloadMultiple float64       // it fails when sent more than this multiple of what it can do
	OverloadSpan     time.Duration // within so long
	DownFor          time.Duration // a node that failed is down for so long
	StopsRunning     bool          // a cancel stops work that runs
}

// Job is what a node is asked to run.
type Job struct {
	ID    string
	Work  time.Duration // on a core of speed 1
	Slots float64
}

// NoticeKind says what a node reports of a job.
type NoticeKind uint8

// What a node reports.
const (
	Started NoticeKind = iota
	Done
	Rejected // unseen
	Lost     // the node failed, or was restarted
)

// Notice is one report of a node on a job.
type Notice struct {
	Kind NoticeKind
	ID   string
}

type reserved struct {
	Job
	left float64 // seconds of work
}

type sent struct {
	at   time.Duration
	work float64
}

// Node is one node. The zero value is not of use; see New.
type Node struct {
	kind    Kind
	rules   Rules
	born    time.Duration // of its latest start; warm for ever if below 0
	now     time.Duration
	downTil time.Duration
	running []reserved
	waiting []reserved
	slots   float64
	recent  []sent // of the last FallSpan, while cold
	worst   float64
	falls   int
	fallsOn bool
}

// New returns a node that has been warm for long. With falls it goes down when it is overfed while cold; without, it
// only counts how near it came.
func New(k Kind, r Rules, falls bool) *Node {
	return &Node{kind: k, rules: r, born: -1, fallsOn: falls}
}

// Restart has the node begin anew, cold. What it held is lost.
func (n *Node) Restart(now time.Duration) []Notice {
	n.advance(now)
	n.born, n.recent = now, nil
	return n.lose()
}

func (n *Node) lose() (notes []Notice) {
	for _, list := range [][]reserved{n.running, n.waiting} {
		for _, h := range list {
			notes = append(notes, Notice{Lost, h.ID})
		}
	}
	n.running, n.waiting, n.slots = nil, nil, 0
	return notes
}

// warmUp is the part of its capacity that the node has at a time.
func (n *Node) warmUp(at time.Duration) float64 {
	if n.born < 0 || n.rules.SlowStartFor <= 0 || at-n.born >= n.rules.SlowStartFor {
		return 1
	}
	return n.rules.SlowStartFrom + (1-n.rules.SlowStartFrom)*max(0, float64(at-n.born)/float64(n.rules.SlowStartFor))
}

// Down says whether the node has fallen and not come back.
func (n *Node) Down(now time.Duration) bool { return now < n.downTil }

// Worst is the most that the node was sent within a span while cold, as a part of what it may be sent; above 1 it was
// overfed. Falls is how often it went down for that.
func (n *Node) Worst() float64 { return n.worst }

// Falls is how often the node went down.
func (n *Node) Falls() int { return n.falls }

// rate is how much of a job's work each running one does in a second at a time, warmth left out.
func (n *Node) rate() float64 {
	if len(n.running) == 0 {
		return 0
	}
	return n.kind.Speed * min(1, n.kind.Cores/float64(len(n.running)))
}

// warmTime is the integral of the warm-up from one time to another, in seconds.
func (n *Node) warmTime(from, to time.Duration) float64 {
	if n.born < 0 {
		return (to - from).Seconds()
	}
	warm := n.born + n.rules.SlowStartFor
	warming := min(to, warm) - min(from, warm)
	mean := (n.warmUp(min(from, warm-1)) + n.warmUp(min(to, warm-1))) / 2
	return warming.Seconds()*mean + (max(to, warm) - max(from, warm)).Seconds()
}

// advance does the work up to now; nothing may finish in between, which Next sees to.
func (n *Node) advance(now time.Duration) {
	if now <= n.now {
		return
	}
	done := n.rate() * n.warmTime(n.now, now)
	for i := range n.running {
		n.running[i].left -= done
	}
	n.now = now
}

// Offer hands the node a job.
func (n *Node) Offer(now time.Duration, j Job) (notes []Notice) {
	notes = n.Pass(now)
	if n.Down(now) {
		return append(notes, Notice{Lost, j.ID})
	}
	j.Slots = min(max(j.Slots, 1), n.kind.Slots)
	if notes = append(notes, n.feed(j)...); n.Down(now) {
		return append(notes, Notice{Lost, j.ID})
	}
	if len(n.waiting) >= n.kind.Queue && n.slots+j.Slots > n.kind.Slots {
		return append(notes, Notice{Rejected, j.ID})
	}
	n.waiting = append(n.waiting, reserved{j, j.Work.Seconds()})
	return append(notes, n.fill()...)
}

// feed counts work sent to a cold node. The rule allows, in any window of FallSpan, FallMultiple times what the node can
// do at present; a single job right after the start may be more than that alone, which no scheduler can avoid, so the
// first job of a window is allowed for.
func (n *Node) feed(j Job) (notes []Notice) {
	if n.warmUp(n.now) >= 1 || n.rules.OverloadSpan <= 0 {
		return nil
	}
	for len(n.recent) > 0 && n.recent[0].at <= n.now-n.rules.OverloadSpan {
		n.recent = n.recent[1:]
	}
	n.recent = append(n.recent, sent{n.now, j.Work.Seconds()})
	sum := 0.0
	for _, s := range n.recent {
		sum += s.work
	}
	may := n.rules.OverloadMultiple * n.kind.Capacity() * n.warmUp(n.now) * n.rules.OverloadSpan.Seconds()
	may = max(may, n.recent[0].work)
	if n.worst = max(n.worst, sum/may); sum <= may || !n.fallsOn {
		return nil
	}
	n.falls++
	n.downTil = n.now + n.rules.DownFor
	n.born, n.recent = n.downTil, nil
	return n.lose()
}

// fill starts what waits, in order, while the first of it fits.
func (n *Node) fill() (notes []Notice) {
	for len(n.waiting) > 0 && n.slots+n.waiting[0].Slots <= n.kind.Slots {
		h := n.waiting[0]
		n.waiting = n.waiting[1:]
		n.slots += h.Slots
		n.running = append(n.running, h)
		notes = append(notes, Notice{Started, h.ID})
	}
	return notes
}

// Cancel gives a job up: one that waits is dropped, one that runs is stopped where Rules say so. It returns whether the
// node held it, and what starts in its place.
func (n *Node) Cancel(now time.Duration, id string) (was bool, notes []Notice) {
	notes = n.Pass(now)
	named := func(h reserved) bool { return h.ID == id }
	if i := slices.IndexFunc(n.waiting, named); i >= 0 {
		n.waiting = slices.Delete(n.waiting, i, i+1)
		return true, append(notes, n.fill()...)
	}
	if i := slices.IndexFunc(n.running, named); i >= 0 {
		if !n.rules.StopsRunning {
			return true, notes
		}
		n.slots -= n.running[i].Slots
		n.running = slices.Delete(n.running, i, i+1)
		return true, append(notes, n.fill()...)
	}
	return false, notes
}

// tiny is less work than any clock here tells apart.
const tiny = 1e-7

// Pass lets time pass and tells what finished, and what started in its place, in order.
func (n *Node) Pass(now time.Duration) (notes []Notice) {
	for {
		at, any := n.Next()
		if !any || at > now {
			n.advance(now)
			return notes
		}
		n.advance(at)
		for i := 0; i < len(n.running); {
			if h := n.running[i]; h.left <= tiny {
				n.slots -= h.Slots
				n.running = slices.Delete(n.running, i, i+1)
				notes = append(notes, Notice{Done, h.ID})
				continue
			}
			i++
		}
		notes = append(notes, n.fill()...)
	}
}

// Next is when the next running job ends if nothing else happens.
func (n *Node) Next() (at time.Duration, any bool) {
	if len(n.running) == 0 {
		return 0, false
	}
	least := math.Inf(1)
	for i := range n.running {
		least = min(least, n.running[i].left)
	}
	need := max(least, 0) / n.rate() // seconds at full warmth
	if warm := n.born + n.rules.SlowStartFor; n.born >= 0 && n.now < warm {
		in := n.warmTime(n.now, warm)
		if need <= in {
			// Over a time t the warm-up rises evenly from w by slope: need = w t + slope t^2 / 2.
			w, slope := n.warmUp(n.now), (1-n.rules.SlowStartFrom)/n.rules.SlowStartFor.Seconds()
			t := need / w
			if slope > 0 {
				t = (math.Sqrt(w*w+2*slope*need) - w) / slope
			}
			return n.now + seconds(t), true
		}
		return warm + seconds(need-in), true
	}
	return n.now + seconds(need), true
}

// seconds rounds up, so that what is due is done by then.
func seconds(s float64) time.Duration { return time.Duration(math.Ceil(s * float64(time.Second))) }
