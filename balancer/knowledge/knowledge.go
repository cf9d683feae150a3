package knowledge

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Kind is a kind of item. Each has a rate at which its confidence falls.
type Kind uint8

// Kinds of items.
const (
	Run          Kind = iota // how long jobs of a class run, in seconds from send to answer
	Spread                   // mean deviation of that
	StartLatency             // how soon a job that found room starts in a zone, in seconds
	Busy                     // part of the looks in a zone that found no room
	Queue                    // jobs that wait for each slot of a zone
	Faults                   // part of a server's last outcomes that were faults
	Unhealthy                // 1 for a server that showed no life
	kinds
)

// halfLife is how long it takes until an item weighs half as much. How long a class runs changes with the software; a queue
// is gone in seconds.
var halfLife = [kinds]time.Duration{Run: 10 * time.Minute, Spread: 10 * time.Minute, StartLatency: 10 * time.Minute,
	Busy: 3 * time.Second, Queue: 2 * time.Second, Faults: 5 * time.Second, Unhealthy: 2 * time.Second}

// far is by which factor an item may differ from what was seen here before it counts as refuted, and apart that for items
// that are parts of one or counts, by difference.
var far = [kinds]float64{Run: 2, Spread: 4, StartLatency: 4, Busy: 0.5, Queue: 2, Faults: 0.5, Unhealthy: 0.5}

func (k Kind) isRatio() bool { return k <= StartLatency }

const (
	// oldest is what an age is cut to, so that what is reckoned with it does not overflow: nothing of such an item is left.
	oldest = time.Duration(math.MaxInt64 / 2)
	// ownMost is how many own observations of an item leave a prior no weight.
	ownMost = 50
	// countMost bounds what one donor's observations of an item count: more are no surer of what comes next.
	countMost = 30
	// forgetAt is the weight under which an item says nothing.
	forgetAt = 0.05
	// judgedBy is how many own observations judge a donor's item.
	judgedBy = 8
	// doubtAt is the trust under which a donor is not believed at all.
	doubtAt = 0.1
	// Unsure is how much older than it says an item may be: what it took to come, and clocks that count a little apart.
	unsure = 50 * time.Millisecond
	// MaxItems bounds what is kept of one donor.
	MaxItems = 20_000
)

// Subject is what an item is about: a class or a zone by its name, or a server by its name and start.
type Subject struct {
	Kind Kind
	Name string
	Born time.Duration // of a server, as the list has it; 0 for one that started long ago, or no server
}

// Item is one item as a donor has it. Only what the donor saw itself is ever passed on: what it learnt would come back to
// those that it learnt it from, ever as new.
type Item struct {
	Subject
	Value float64
	Count float64       // observations
	Age   time.Duration // since the last of them, by the donor's own clock: clocks need not agree
}

// Sane says whether an item may be weighed at all; others are refuted outright.
func (w *Item) Sane() bool {
	return w.Kind < kinds && w.Name != "" && !math.IsNaN(w.Value) && !math.IsInf(w.Value, 0) && w.Value >= 0 && w.Value < 1e6 &&
		w.Count > 0 && !math.IsInf(w.Count, 0) && w.Age >= 0
}

// claim is a donor's item as it is kept.
type claim struct {
	value, count float64
	seenAt       time.Duration
	judged       bool // against own observations
}

// donor is one other scheduler.
type donor struct {
	trust  float64 // from 1 down
	claims map[Subject]*claim
}

// own is what was seen here of a subject.
type own struct {
	value, count float64
	seenAt       time.Duration
}

// Base holds what donors said, and what was seen here.
type Base struct {
	donors map[string]*donor
	own    map[Subject]*own
}

// NewBase returns an empty one.
func NewBase() *Base { return &Base{donors: make(map[string]*donor), own: make(map[Subject]*own)} }

// Hear takes a donor's items that came at a time. Later ones on a subject take the place of earlier ones. Words that make
// no sense cost the donor its trust; it returns how many those were.
func (b *Base) Hear(from string, now time.Duration, items []Item) (refused int) {
	d := b.donors[from]
	if d == nil {
		d = &donor{trust: 1, claims: make(map[Subject]*claim)}
		b.donors[from] = d
	}
	for i := range items {
		w := &items[i]
		if !w.Sane() || len(d.claims) >= MaxItems && d.claims[w.Subject] == nil {
			refused++
			d.doubt()
			continue
		}
		d.claims[w.Subject] = &claim{value: w.Value, count: min(w.Count, countMost), seenAt: now - min(w.Age, oldest) - unsure}
	}
	return refused
}

// doubt takes half of a donor's trust.
func (d *donor) doubt() {
	if d.trust /= 2; d.trust < doubtAt {
		d.trust = 0
	}
}

// Forget drops a donor's items, but not what was learnt of the donor.
func (b *Base) Forget(from string) {
	if d := b.donors[from]; d != nil {
		d.claims = make(map[Subject]*claim)
	}
}

// Trust is how far a donor is believed, from 0 to 1. One that never spoke is believed.
func (b *Base) Trust(from string) float64 {
	if d := b.donors[from]; d != nil {
		return d.trust
	}
	return 1
}

// See takes an own observation. Once there are enough of a subject each donor's item on it is judged, once: one that was
// refuted weighs less from then on, whatever it speaks of.
func (b *Base) See(now time.Duration, s Subject, value float64) {
	o := b.own[s]
	if o == nil {
		o = &own{}
		b.own[s] = o
	}
	o.count++
	o.value += (value - o.value) / min(o.count, 16)
	o.seenAt = now
	if o.count < judgedBy {
		return
	}
	for _, d := range b.donors {
		h := d.claims[s]
		if h == nil || h.judged || fresh(s.Kind, now-h.seenAt) < 0.5 {
			continue // what has changed since it was said does not refute it
		}
		if h.judged = true; s.Kind.refutes(h.value, o.value) {
			d.doubt()
		} else if d.trust > 0 {
			d.trust = min(1, d.trust*1.1)
		}
	}
}

// refutes says whether what was seen speaks against an item.
func (k Kind) refutes(claimed, seen float64) bool {
	if k.isRatio() {
		return claimed > seen*far[k] || claimed*far[k] < seen
	}
	return math.Abs(claimed-seen) > far[k]
}

// fresh is what is left of an item's confidence at an age.
func fresh(k Kind, age time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife[k]))
}

// Prior is what is to be believed of a subject at a time, from others alone, and how many observations that counts as. Weight 0:
// nothing. It falls with age and distrust, and as own observations come; after ownMost of those it is nothing.
type Prior struct {
	Value, Weight float64
	SeenAt        time.Duration // of the latest item in it
}

// Prior weighs what donors said of a subject. Where two disagree the one that weighs more is taken, not a mean that neither saw.
func (b *Base) Prior(now time.Duration, s Subject) Prior {
	left := 1.0
	if o := b.own[s]; o != nil {
		left = max(0, 1-o.count/ownMost)
	}
	if left == 0 {
		return Prior{}
	}
	type opinion struct {
		from string
		Prior
	}
	var all []opinion
	for from, d := range b.donors {
		h := d.claims[s]
		if h == nil {
			continue
		}
		if weight := h.count * fresh(s.Kind, now-h.seenAt) * d.trust * left; weight > 0 {
			all = append(all, opinion{from, Prior{h.value, weight, h.seenAt}})
		}
	}
	if len(all) == 0 {
		return Prior{}
	}
	slices.SortFunc(all, func(a, b opinion) int { return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.from, b.from)) })
	sum := all[0].Prior
	for _, other := range all[1:] {
		if s.Kind.refutes(other.Value, all[0].Value) {
			sum.Weight -= other.Weight / 2 // who disagrees makes it less sure
			continue
		}
		total := sum.Weight + other.Weight
		sum.Value += (other.Value - sum.Value) * other.Weight / total
		sum.Weight, sum.SeenAt = total, max(sum.SeenAt, other.SeenAt)
	}
	if sum.Weight < forgetAt {
		return Prior{}
	}
	return sum
}

// Subjects lists what any donor spoke of, in a fixed order.
func (b *Base) Subjects() (all []Subject) {
	seen := make(map[Subject]bool)
	for _, d := range b.donors {
		for s := range d.claims {
			if !seen[s] {
				seen[s] = true
				all = append(all, s)
			}
		}
	}
	slices.SortFunc(all, func(a, b Subject) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Born, b.Born))
	})
	return all
}

// Own lists what was seen here, as items to pass on: nothing that was learnt is among them.
func (b *Base) Own(now time.Duration) (items []Item) {
	for s, o := range b.own {
		items = append(items, Item{s, o.value, o.count, max(now-o.seenAt, 0)})
	}
	slices.SortFunc(items, func(x, y Item) int {
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Name, y.Name), cmp.Compare(x.Born, y.Born))
	})
	return items
}
