package knowledge

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Kind is the kind of an item. The confidence in an item decays at a rate that depends on its kind.
type Kind uint8

// Kinds of items.
const (
	Run          Kind = iota // run time of a class's jobs, in seconds from send to answer
	Spread                   // mean deviation of Run
	StartLatency             // time until a job that found a free slot in a zone starts, in seconds
	Busy                     // share of the attempts in a zone that found no free slot
	Queue                    // waiting jobs per slot of a zone
	Faults                   // share of a server's recent outcomes that were faults
	Unhealthy                // 1 for a server that did not respond
	kinds
)

// halfLife is the time in which the weight of an item halves. Run times change only with the software of the servers;
// queues change within seconds.
var halfLife = [kinds]time.Duration{Run: 10 * time.Minute, Spread: 10 * time.Minute, StartLatency: 10 * time.Minute,
	Busy: 3 * time.Second, Queue: 2 * time.Second, Faults: 5 * time.Second, Unhealthy: 2 * time.Second}

// maxDeviation is the largest deviation of an item from the own observations that does not refute it: a factor for the
// kinds that isRatio reports, and a difference for the other kinds, which are shares or counts.
var maxDeviation = [kinds]float64{Run: 2, Spread: 4, StartLatency: 4, Busy: 0.5, Queue: 2, Faults: 0.5, Unhealthy: 0.5}

func (k Kind) isRatio() bool { return k <= StartLatency }

const (
	// maxAge limits ages, so that arithmetic on them does not overflow. An item of that age has no weight.
	maxAge = time.Duration(math.MaxInt64 / 2)
	// maxOwn is the number of own observations of a subject from which on a prior has no weight.
	maxOwn = 50
	// maxDonorCount limits the observations that count for one donor's item: more of them predict no better.
	maxDonorCount = 30
	// minWeight is the weight below which a prior is ignored.
	minWeight = 0.05
	// minOwnToJudge is the number of own observations after which a donor's item is compared with them.
	minOwnToJudge = 8
	// minTrust is the trust below which a donor's items are ignored.
	minTrust = 0.1
	// ageMargin is how much older than its stated age an item may be: it covers transmission and differences between
	// clocks.
	ageMargin = 50 * time.Millisecond
	// MaxItems is the maximum number of items kept per donor.
	MaxItems = 20_000
)

// Subject is what an item is about: a class or a zone by its name, or a server by its name and start time.
type Subject struct {
	Kind Kind
	Name string
	Born time.Duration // start time of a server as in the server list; 0 for one that started long ago, or for another subject
}

// Item is an observed value as the donor reports it. A donor passes on only its own observations: items learnt from
// others would return to their source and count as new.
type Item struct {
	Subject
	Value float64
	Count float64       // number of observations
	Age   time.Duration // since the last observation, by the donor's clock: clocks need not agree
}

// Valid reports whether an item is valid. Invalid items are rejected and cost the donor trust.
func (i *Item) Valid() bool {
	return i.Kind < kinds && i.Name != "" && !math.IsNaN(i.Value) && !math.IsInf(i.Value, 0) && i.Value >= 0 && i.Value < 1e6 &&
		i.Count > 0 && !math.IsInf(i.Count, 0) && i.Age >= 0
}

// claim is a stored item of a donor.
type claim struct {
	value, count float64
	seenAt       time.Duration
	judged       bool // already compared with own observations
}

// donor is another scheduler that sends items.
type donor struct {
	trust  float64 // between 0 and 1, initially 1
	claims map[Subject]*claim
}

// ownValue holds the observations that this scheduler made of a subject.
type ownValue struct {
	value, count float64
	seenAt       time.Duration
}

// Base holds the items of donors and the own observations.
type Base struct {
	donors map[string]*donor
	own    map[Subject]*ownValue
}

// NewBase returns an empty Base.
func NewBase() *Base { return &Base{donors: make(map[string]*donor), own: make(map[Subject]*ownValue)} }

// AddItems stores a donor's items that arrived at the time now. A later item on a subject replaces an earlier one. Each
// invalid item and each beyond MaxItems halves the trust in the donor; AddItems returns their number.
func (b *Base) AddItems(from string, now time.Duration, items []Item) (refused int) {
	d := b.donors[from]
	if d == nil {
		d = &donor{trust: 1, claims: make(map[Subject]*claim)}
		b.donors[from] = d
	}
	for i := range items {
		item := &items[i]
		if !item.Valid() || len(d.claims) >= MaxItems && d.claims[item.Subject] == nil {
			refused++
			d.doubt()
			continue
		}
		d.claims[item.Subject] = &claim{value: item.Value, count: min(item.Count, maxDonorCount), seenAt: now - min(item.Age, maxAge) - ageMargin}
	}
	return refused
}

// doubt halves the trust in a donor.
func (d *donor) doubt() {
	if d.trust /= 2; d.trust < minTrust {
		d.trust = 0
	}
}

// Forget drops a donor's items, but keeps the trust in it.
func (b *Base) Forget(from string) {
	if d := b.donors[from]; d != nil {
		d.claims = make(map[Subject]*claim)
	}
}

// Trust returns the trust in a donor, from 0 to 1. It is 1 for a donor that has sent nothing.
func (b *Base) Trust(from string) float64 {
	if d := b.donors[from]; d != nil {
		return d.trust
	}
	return 1
}

// Observe adds an own observation. Once there are enough of a subject, each donor's item on it is compared with them,
// once. If they refute it, all items of that donor weigh less from then on.
func (b *Base) Observe(now time.Duration, s Subject, value float64) {
	o := b.own[s]
	if o == nil {
		o = &ownValue{}
		b.own[s] = o
	}
	o.count++
	o.value += (value - o.value) / min(o.count, 16)
	o.seenAt = now
	if o.count < minOwnToJudge {
		return
	}
	for _, d := range b.donors {
		c := d.claims[s]
		if c == nil || c.judged || decay(s.Kind, now-c.seenAt) < 0.5 {
			continue // the value may have changed since: an old item is not refuted
		}
		if c.judged = true; s.Kind.refutes(c.value, o.value) {
			d.doubt()
		} else if d.trust > 0 {
			d.trust = min(1, d.trust*1.1)
		}
	}
}

// refutes reports whether a claimed value deviates too far from an observed one.
func (k Kind) refutes(claimed, seen float64) bool {
	if k.isRatio() {
		return claimed > seen*maxDeviation[k] || claimed*maxDeviation[k] < seen
	}
	return math.Abs(claimed-seen) > maxDeviation[k]
}

// decay returns the share of its weight that an item keeps at an age.
func decay(k Kind, age time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife[k]))
}

// Prior is an estimate of a subject's value from donors' items only. Weight is the number of observations that it
// counts as; 0 means that there is no estimate. The weight decreases with age, with less trust in the donors, and with
// each own observation; after maxOwn of these it is 0.
type Prior struct {
	Value, Weight float64
	SeenAt        time.Duration // of the latest item in the estimate
}

// Prior computes the estimate for a subject from the donors' items. If two items disagree, it uses the one with more
// weight, not the mean, which neither donor observed.
func (b *Base) Prior(now time.Duration, s Subject) Prior {
	priorShare := 1.0
	if o := b.own[s]; o != nil {
		priorShare = max(0, 1-o.count/maxOwn)
	}
	if priorShare == 0 {
		return Prior{}
	}
	type opinion struct {
		from string
		Prior
	}
	var all []opinion
	for from, d := range b.donors {
		c := d.claims[s]
		if c == nil {
			continue
		}
		if weight := c.count * decay(s.Kind, now-c.seenAt) * d.trust * priorShare; weight > 0 {
			all = append(all, opinion{from, Prior{c.value, weight, c.seenAt}})
		}
	}
	if len(all) == 0 {
		return Prior{}
	}
	slices.SortFunc(all, func(a, b opinion) int { return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.from, b.from)) })
	sum := all[0].Prior
	for _, other := range all[1:] {
		if s.Kind.refutes(other.Value, all[0].Value) {
			sum.Weight -= other.Weight / 2 // a disagreeing item reduces the weight
			continue
		}
		total := sum.Weight + other.Weight
		sum.Value += (other.Value - sum.Value) * other.Weight / total
		sum.Weight, sum.SeenAt = total, max(sum.SeenAt, other.SeenAt)
	}
	if sum.Weight < minWeight {
		return Prior{}
	}
	return sum
}

// Subjects returns the subjects of all donors' items, in a fixed order.
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

// Own returns the own observations as items to send to others. It contains nothing learnt from donors.
func (b *Base) Own(now time.Duration) (items []Item) {
	for s, o := range b.own {
		items = append(items, Item{s, o.value, o.count, max(now-o.seenAt, 0)})
	}
	slices.SortFunc(items, func(x, y Item) int {
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Name, y.Name), cmp.Compare(x.Born, y.Born))
	})
	return items
}
