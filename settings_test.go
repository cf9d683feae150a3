package ravendale

import (
	"strings"
	"testing"
	"time"
)

func TestValidateNamesInvalidSetting(t *testing.T) {
	for want, invalidate := range map[string]func(s *Settings){
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
		invalidate(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one that names %q", err, want)
		}
	}
}

// New settings apply to the jobs that arrive from then on, even if the index of their class changes. The statistics of a class stay
// with its name, except maxTimeLeft if its deadline changes.
func TestUpdatedSettingsApplyToNewJobs(t *testing.T) {
	s := testSettings()
	b := newTestBench(t, s, readyEntry("a", 0, 0), readyEntry("b", 0, 0))
	b.arrive(1, 2, 25*time.Second)
	b.now += 100 * ms
	b.endAttempt(1, 0, OK)
	b.arrive(2, 0, 6*time.Second)
	run, longest := b.d.stats[2].meanRun, b.d.stats[2].maxTimeLeft
	s.MaxAttempts = 1
	s.Classes = []Class{s.Classes[2], s.Classes[1]}
	if err := b.d.UpdateSettings(s); err != nil {
		t.Fatal(err)
	}
	if stats := b.d.stats[0]; run == 0 || stats.meanRun != run || stats.maxTimeLeft != longest {
		t.Fatalf("got statistics %+v for the class whose index changed, want those from before", stats)
	}
	b.endAttempt(2, 0, Error)
	b.requireOne(Send) // class and maximum number of attempts are those of its arrival
	b.arrive(3, 0, 25*time.Second)
	b.endAttempt(3, 0, Error)
	b.requireOne(Fail)
	s.Classes[0].Deadline /= 5
	if err := b.d.UpdateSettings(s); err != nil || b.d.stats[0].maxTimeLeft != 0 || b.d.stats[0].meanRun != run {
		t.Fatalf("after a change of the deadline: got error %v, statistics %+v, want maxTimeLeft 0 and the same meanRun", err, b.d.stats[0])
	}
	if s.MaxAttempts = 0; b.d.UpdateSettings(s) == nil {
		t.Fatal("settings with MaxAttempts 0 are accepted")
	}
}
