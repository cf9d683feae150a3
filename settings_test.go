package ravendale

import (
	"strings"
	"testing"
	"time"
)

func TestSettingsThatMakeNoSenseAreNamed(t *testing.T) {
	for want, spoil := range map[string]func(s *Settings){
		"Classes is empty":          func(s *Settings) { s.Classes = nil },
		"Classes[1]":                func(s *Settings) { s.Classes[1].LatencyTarget = -1 },
		"Dispatchers":               func(s *Settings) { s.Dispatchers = 0 },
		"Settings.Me":               func(s *Settings) { s.Me = 4 },
		"Settings.Zone":             func(s *Settings) { s.Zone = 2 },
		"MaxAttempts":               func(s *Settings) { s.MaxAttempts = 0 },
		"has a negative time":       func(s *Settings) { s.Tick = -1 },
		"Settings.SlowStartFrom is": func(s *Settings) { s.SlowStartFrom = 2 },
	} {
		s := testSettings()
		spoil(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one that names %q", err, want)
		}
	}
}

// Other settings are for the jobs that come from then on, whatever place their class has now. What was seen of a class
// stays with its name, but for the longest time seen where its deadline is another.
func TestRetuneIsForNewJobs(t *testing.T) {
	s := testSettings()
	b := newBench(t, s, ready("a", 0, 0), ready("b", 0, 0))
	b.arrive(1, 2, 25*time.Second)
	b.now += 100 * ms
	b.end(1, 0, OK)
	b.arrive(2, 0, 6*time.Second)
	run, longest := b.d.stats[2].run, b.d.stats[2].longest
	s.MaxAttempts = 1
	s.Classes = []Class{s.Classes[2], s.Classes[1]}
	if err := b.d.Retune(s); err != nil {
		t.Fatal(err)
	}
	if seen := b.d.stats[0]; run == 0 || seen.run != run || seen.longest != longest {
		t.Fatalf("of the class that moved %+v is known", seen)
	}
	b.end(2, 0, Error)
	b.one(Send) // safe, with attempts left, as it came
	b.arrive(3, 0, 25*time.Second)
	b.end(3, 0, Error)
	b.one(Fail)
	s.Classes[0].Deadline /= 5
	if err := b.d.Retune(s); err != nil || b.d.stats[0].longest != 0 || b.d.stats[0].run != run {
		t.Fatalf("error %v, known %+v", err, b.d.stats[0])
	}
	if s.MaxAttempts = 0; b.d.Retune(s) == nil {
		t.Fatal("no attempts are taken")
	}
}
