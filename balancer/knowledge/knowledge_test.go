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
	saldo = Subject{Kind: Run, Name: "saldo"}
	sick  = Subject{Kind: Unhealthy, Name: "s1", Born: time.Hour}
	near  = cmpopts.EquateApprox(0.02, 0.001)
)

func TestPriors(t *testing.T) {
	const now = 100 * time.Hour
	word := func(s Subject, value, count float64, age time.Duration) Item { return Item{s, value, count, age} }
	for name, tc := range map[string]struct {
		said map[string][]Item
		own  int // observations of 0.2 s
		ask  Subject
		want Prior
	}{
		"nobody spoke":                     {nil, 0, saldo, Prior{}},
		"fresh":                            {map[string][]Item{"a": {word(saldo, 0.2, 20, 0)}}, 0, saldo, Prior{Value: 0.2, Weight: 20}},
		"many observations are no surer":   {map[string][]Item{"a": {word(saldo, 0.2, 1e6, 0)}}, 0, saldo, Prior{Value: 0.2, Weight: 30}},
		"half of it is left":               {map[string][]Item{"a": {word(saldo, 0.2, 20, 10*time.Minute)}}, 0, saldo, Prior{Value: 0.2, Weight: 10}},
		"a queue is gone in seconds":       {map[string][]Item{"a": {word(sick, 1, 1, 10*time.Second)}}, 0, sick, Prior{}},
		"another start of the server":      {map[string][]Item{"a": {word(Subject{Unhealthy, "s1", 2 * time.Hour}, 1, 20, 0)}}, 0, sick, Prior{}},
		"own observations replace it":      {map[string][]Item{"a": {word(saldo, 0.2, 20, 0)}}, 25, saldo, Prior{Value: 0.2, Weight: 10}},
		"after fifty it has no weight":     {map[string][]Item{"a": {word(saldo, 0.2, 20, 0)}}, 50, saldo, Prior{}},
		"two that agree":                   {map[string][]Item{"a": {word(saldo, 0.2, 20, 0)}, "b": {word(saldo, 0.3, 20, 0)}}, 0, saldo, Prior{Value: 0.25, Weight: 40}},
		"two that do not: the surer, less": {map[string][]Item{"a": {word(saldo, 0.2, 20, 0)}, "b": {word(saldo, 4, 10, 0)}}, 0, saldo, Prior{Value: 0.2, Weight: 15}},
		"the later word":                   {map[string][]Item{"a": {word(saldo, 9, 20, time.Second), word(saldo, 0.2, 10, 0)}}, 0, saldo, Prior{Value: 0.2, Weight: 10}},
		"no sense":                         {map[string][]Item{"a": {word(saldo, math.NaN(), 9, 0), word(saldo, -1, 9, 0), word(saldo, 1, -1, 0), word(saldo, 1, 1, -1)}}, 0, saldo, Prior{}},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBase()
			for from, words := range tc.said {
				b.Hear(from, now, words)
			}
			for range tc.own {
				b.See(now, saldo, 0.2)
			}
			got := b.Prior(now, tc.ask)
			got.SeenAt = 0
			if diff := cmp.Diff(tc.want, got, near); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A donor whose every run time is twenty times off is believed less with each class that is seen, and then not at all.
func TestADonorThatIsRefutedIsNotBelieved(t *testing.T) {
	b := NewBase()
	var words []Item
	for i := range 6 {
		words = append(words, Item{Subject{Kind: Run, Name: fmt.Sprint("c", i)}, 4, 100, 0})
	}
	b.Hear("liar", 0, words)
	var trust []float64
	for i := range 4 {
		for range judgedBy {
			b.See(time.Second, Subject{Kind: Run, Name: fmt.Sprint("c", i)}, 0.2)
		}
		trust = append(trust, b.Trust("liar"))
	}
	if diff := cmp.Diff([]float64{0.5, 0.25, 0.125, 0}, trust); diff != "" {
		t.Error(diff)
	}
	if p := b.Prior(time.Second, Subject{Kind: Run, Name: "c5"}); p.Weight != 0 {
		t.Errorf("a donor that is not believed weighs %v", p.Weight)
	}
}

// What is old does not refute who said it when it was new.
func TestAnOldItemRefutesNobody(t *testing.T) {
	b := NewBase()
	b.Hear("a", 0, []Item{{Subject{Kind: Queue, Name: "z"}, 9, 100, 0}})
	for range 2 * judgedBy {
		b.See(time.Minute, Subject{Kind: Queue, Name: "z"}, 0)
	}
	if b.Trust("a") != 1 {
		t.Errorf("trust %v", b.Trust("a"))
	}
}

// Learners that learn from one another, round and round, never make an old word new: only what one saw itself is passed on.
func TestRumoursDoNotComeBackAsNew(t *testing.T) {
	var books []*Base
	for range 3 {
		books = append(books, NewBase())
	}
	for range 5 {
		books[0].See(0, saldo, 0.2)
	}
	last := math.Inf(1)
	for round := range 60 {
		now := time.Duration(round) * time.Minute
		for i, b := range books {
			b.Hear("before", now, books[(i+2)%3].Own(now))
		}
		w := books[1].Prior(now, saldo).Weight
		if w > last {
			t.Fatalf("round %d: the word weighs %v, more than the %v before", round, w, last)
		}
		last = w
		if books[2].Prior(now, saldo).Weight > 0 {
			t.Fatal("a word went on by hearsay")
		}
	}
	if last > 0.1 {
		t.Errorf("an hour later it weighs %v", last)
	}
}

// An age that the clock can't hold counts as the oldest there is: it came round to the future once, and the word counted as new.
func TestAnAgeBeyondTheClockCountsAsOld(t *testing.T) {
	b := NewBase()
	b.Hear("donor", time.Hour, []Item{{saldo, 1, 100, math.MaxInt64}})
	if w := b.Prior(time.Hour, saldo).Weight; w > 0.1 {
		t.Errorf("a word of %v weighs %v", time.Duration(math.MaxInt64), w)
	}
}

// Whatever donors say, and when: a prior is finite, within what somebody said of that very subject, weighs no more than its
// donors together may, falls with time and own observations, and is nothing after fifty.
func TestPriorsOfAnyDonors(t *testing.T) {
	subjects := []Subject{saldo, sick, {Unhealthy, "s1", 2 * time.Hour}, {Queue, "z", 0}, {StartLatency, "z", 0}, {Faults, "s1", time.Hour}}
	value := rapid.OneOf(rapid.Float64(), rapid.Float64Range(0, 10), rapid.Just(math.Inf(1)), rapid.Just(math.NaN()))
	rapid.Check(t, func(t *rapid.T) {
		b, now := NewBase(), time.Hour
		heard := make(map[Subject][]float64)
		donors := rapid.IntRange(1, 5).Draw(t, "donors")
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "wait"))
			s := rapid.SampledFrom(subjects).Draw(t, "subject")
			if rapid.Bool().Draw(t, "own") {
				b.See(now, s, rapid.Float64Range(0, 10).Draw(t, "seen"))
				continue
			}
			w := Item{s, value.Draw(t, "value"), value.Draw(t, "count"), time.Duration(rapid.Int64().Draw(t, "age"))}
			b.Hear(fmt.Sprint(rapid.IntRange(1, donors).Draw(t, "donor")), now, []Item{w})
			if w.Sane() {
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
			if !(p.Value >= least-slip*math.Abs(least) && p.Value <= most+slip*math.Abs(most)) || p.Weight > float64(donors)*countMost || p.Weight < 0 {
				t.Fatalf("%v of %v: %+v", s, heard[s], p)
			}
			if later := b.Prior(now+time.Second, s); later.Weight > p.Weight {
				t.Fatalf("%v weighs %v, and a second later %v", s, p.Weight, later.Weight)
			}
			for range ownMost {
				b.See(now, s, 1)
			}
			if p := b.Prior(now, s); p.Weight != 0 {
				t.Fatalf("%v weighs %v after %d own observations", s, p.Weight, ownMost)
			}
		}
	})
}

func TestWhatIsKeptOfADonorIsBounded(t *testing.T) {
	b := NewBase()
	words := make([]Item, MaxItems+5)
	for i := range words {
		words[i] = Item{Subject{Kind: Run, Name: fmt.Sprint(i)}, 1, 1, 0}
	}
	if refused := b.Hear("a", 0, words); refused != 5 || len(b.Subjects()) != MaxItems {
		t.Errorf("%d refused, %d kept", refused, len(b.Subjects()))
	}
}
