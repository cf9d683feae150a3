package knowledge

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

var (
	runSubject       = Subject{Kind: Run, Name: "saldo"}
	unhealthySubject = Subject{Kind: Unhealthy, Name: "s1", Born: time.Hour}
	approx           = cmpopts.EquateApprox(0.02, 0.001)
)

func TestPriors(t *testing.T) {
	const now = 100 * time.Hour
	item := func(s Subject, value, count float64, age time.Duration) Item { return Item{s, value, count, age} }
	for name, tc := range map[string]struct {
		said map[string][]Item
		own  int // observations of 0.2 s
		ask  Subject
		want Prior
	}{
		"no items":                               {nil, 0, runSubject, Prior{}},
		"fresh":                                  {map[string][]Item{"a": {item(runSubject, 0.2, 20, 0)}}, 0, runSubject, Prior{Value: 0.2, Weight: 20}},
		"limit of observations":                  {map[string][]Item{"a": {item(runSubject, 0.2, 1e6, 0)}}, 0, runSubject, Prior{Value: 0.2, Weight: 30}},
		"after one half-life":                    {map[string][]Item{"a": {item(runSubject, 0.2, 20, 10*time.Minute)}}, 0, runSubject, Prior{Value: 0.2, Weight: 10}},
		"after five half-lives":                  {map[string][]Item{"a": {item(unhealthySubject, 1, 1, 10*time.Second)}}, 0, unhealthySubject, Prior{}},
		"item of another start of the server":    {map[string][]Item{"a": {item(Subject{Unhealthy, "s1", 2 * time.Hour}, 1, 20, 0)}}, 0, unhealthySubject, Prior{}},
		"own observations reduce the weight":     {map[string][]Item{"a": {item(runSubject, 0.2, 20, 0)}}, 25, runSubject, Prior{Value: 0.2, Weight: 10}},
		"no weight after fifty own observations": {map[string][]Item{"a": {item(runSubject, 0.2, 20, 0)}}, 50, runSubject, Prior{}},
		"two agreeing items":                     {map[string][]Item{"a": {item(runSubject, 0.2, 20, 0)}, "b": {item(runSubject, 0.3, 20, 0)}}, 0, runSubject, Prior{Value: 0.25, Weight: 40}},
		"two disagreeing items":                  {map[string][]Item{"a": {item(runSubject, 0.2, 20, 0)}, "b": {item(runSubject, 4, 10, 0)}}, 0, runSubject, Prior{Value: 0.2, Weight: 15}},
		"later item replaces earlier":            {map[string][]Item{"a": {item(runSubject, 9, 20, time.Second), item(runSubject, 0.2, 10, 0)}}, 0, runSubject, Prior{Value: 0.2, Weight: 10}},
		"invalid items":                          {map[string][]Item{"a": {item(runSubject, math.NaN(), 9, 0), item(runSubject, -1, 9, 0), item(runSubject, 1, -1, 0), item(runSubject, 1, 1, -1)}}, 0, runSubject, Prior{}},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBase()
			for from, words := range tc.said {
				b.AddItems(from, now, words)
			}
			for range tc.own {
				b.Observe(now, runSubject, 0.2)
			}
			got := b.Prior(now, tc.ask)
			got.SeenAt = 0
			if diff := cmp.Diff(tc.want, got, approx); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// The trust in a donor whose run times are all twenty times too high falls with each class observed, down to 0.
func TestRefutedDonorLosesTrust(t *testing.T) {
	b := NewBase()
	var words []Item
	for i := range 6 {
		words = append(words, Item{Subject{Kind: Run, Name: fmt.Sprint("c", i)}, 4, 100, 0})
	}
	b.AddItems("liar", 0, words)
	var trust []float64
	for i := range 4 {
		for range minOwnToJudge {
			b.Observe(time.Second, Subject{Kind: Run, Name: fmt.Sprint("c", i)}, 0.2)
		}
		trust = append(trust, b.Trust("liar"))
	}
	if diff := cmp.Diff([]float64{0.5, 0.25, 0.125, 0}, trust); diff != "" {
		t.Error(diff)
	}
	if p := b.Prior(time.Second, Subject{Kind: Run, Name: "c5"}); p.Weight != 0 {
		t.Errorf("a donor without trust weighs %v", p.Weight)
	}
}

// An outdated item does not cost its donor trust.
func TestOldItemIsNotRefuted(t *testing.T) {
	b := NewBase()
	b.AddItems("a", 0, []Item{{Subject{Kind: Queue, Name: "z"}, 9, 100, 0}})
	for range 2 * minOwnToJudge {
		b.Observe(time.Minute, Subject{Kind: Queue, Name: "z"}, 0)
	}
	if b.Trust("a") != 1 {
		t.Errorf("trust %v", b.Trust("a"))
	}
}

// Schedulers that learn from each other in a ring never renew an old item, since only own observations are passed on.
func TestLearntItemsAreNotPassedOn(t *testing.T) {
	var books []*Base
	for range 3 {
		books = append(books, NewBase())
	}
	for range 5 {
		books[0].Observe(0, runSubject, 0.2)
	}
	last := math.Inf(1)
	for round := range 60 {
		now := time.Duration(round) * time.Minute
		for i, b := range books {
			b.AddItems("before", now, books[(i+2)%3].Own(now))
		}
		w := books[1].Prior(now, runSubject).Weight
		if w > last {
			t.Fatalf("round %d: the item weighs %v, more than the previous %v", round, w, last)
		}
		last = w
		if books[2].Prior(now, runSubject).Weight > 0 {
			t.Fatal("a learnt item was passed on")
		}
	}
	if last > 0.1 {
		t.Errorf("an hour later it weighs %v", last)
	}
}

// An age that would overflow the clock counts as maxAge. Once it overflowed into the future, and the item counted as new.
func TestAgeOverflowCountsAsOld(t *testing.T) {
	b := NewBase()
	b.AddItems("donor", time.Hour, []Item{{runSubject, 1, 100, math.MaxInt64}})
	if w := b.Prior(time.Hour, runSubject).Weight; w > 0.1 {
		t.Errorf("an item of age %v weighs %v", time.Duration(math.MaxInt64), w)
	}
}

// For any items at any time, a prior is finite and within the range of the items on its subject. Its weight is at most
// the maximum of all donors together, falls with time and own observations, and is 0 after fifty of these.
func TestPriorBounds(t *testing.T) {
	subjects := []Subject{runSubject, unhealthySubject, {Unhealthy, "s1", 2 * time.Hour}, {Queue, "z", 0}, {StartLatency, "z", 0}, {Faults, "s1", time.Hour}}
	value := rapid.OneOf(rapid.Float64(), rapid.Float64Range(0, 10), rapid.Just(math.Inf(1)), rapid.Just(math.NaN()))
	rapid.Check(t, func(t *rapid.T) {
		b, now := NewBase(), time.Hour
		heard := make(map[Subject][]float64)
		donors := rapid.IntRange(1, 5).Draw(t, "donors")
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "wait"))
			s := rapid.SampledFrom(subjects).Draw(t, "subject")
			if rapid.Bool().Draw(t, "own") {
				b.Observe(now, s, rapid.Float64Range(0, 10).Draw(t, "seen"))
				continue
			}
			w := Item{s, value.Draw(t, "value"), value.Draw(t, "count"), time.Duration(rapid.Int64().Draw(t, "age"))}
			b.AddItems(fmt.Sprint(rapid.IntRange(1, donors).Draw(t, "donor")), now, []Item{w})
			if w.Valid() {
				heard[s] = append(heard[s], w.Value)
			}
		}
		for _, s := range subjects {
			p := b.Prior(now, s)
			if p.Weight == 0 {
				continue
			}
			least, most := math.Inf(1), math.Inf(-1)
			for _, v := range heard[s] {
				least, most = min(least, v), max(most, v)
			}
			const slip = 1e-9
			if !(p.Value >= least-slip*math.Abs(least) && p.Value <= most+slip*math.Abs(most)) || p.Weight > float64(donors)*maxDonorCount || p.Weight < 0 {
				t.Fatalf("%v of %v: %+v", s, heard[s], p)
			}
			if later := b.Prior(now+time.Second, s); later.Weight > p.Weight {
				t.Fatalf("%v weighs %v, but a second later %v", s, p.Weight, later.Weight)
			}
			for range maxOwn {
				b.Observe(now, s, 1)
			}
			if p := b.Prior(now, s); p.Weight != 0 {
				t.Fatalf("%v weighs %v after %d own observations", s, p.Weight, maxOwn)
			}
		}
	})
}

func TestDonorItemLimit(t *testing.T) {
	b := NewBase()
	words := make([]Item, MaxItems+5)
	for i := range words {
		words[i] = Item{Subject{Kind: Run, Name: fmt.Sprint(i)}, 1, 1, 0}
	}
	if refused := b.AddItems("a", 0, words); refused != 5 || len(b.Subjects()) != MaxItems {
		t.Errorf("%d refused, %d kept", refused, len(b.Subjects()))
	}
}
