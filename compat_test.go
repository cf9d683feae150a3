package ravendale_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ravendale"
)

// The files in testdata/compat were written by version a08c060. What one process hands to the next is JSON of these types, so the
// names of their fields are its format.

var compatMemory = ravendale.Memory{
	Out:      map[string]time.Duration{"worker-7": 7 * time.Second},
	Arrivals: 123.5,
	Peak:     12,
	Classes: map[string]ravendale.RunMemory{
		"view": {Run: 11 * time.Millisecond, Dev: 3 * time.Millisecond, Longest: 900 * time.Millisecond, Came: 41, Weight: 2.5},
		"pay":  {Run: 21 * time.Millisecond, Dev: 5 * time.Millisecond, Longest: 800 * time.Millisecond},
	},
	Workers: map[string]ravendale.WorkerMemory{
		"worker-1": {StartedAt: 4 * time.Second, Told: 3 * time.Second, Tokens: 1.25, FilledAt: 6 * time.Second, SickTill: 8 * time.Second,
			TurnedAway: 9 * time.Second, Faults: 0.375, Limit: 17.5, Fulls: 3, Slots: 2},
		"worker-2": {StartedAt: 1, Told: 2, Tokens: 3, FilledAt: 4, SickTill: 5, TurnedAway: 6, Faults: 7, Limit: 8, Slots: 9},
	},
	Zones:     []ravendale.ZoneMemory{{Busy: 0.25, Queue: 1.5, Prompt: 4 * time.Millisecond}, {Busy: 0.5, Queue: 2.5, Prompt: 5 * time.Millisecond}},
	MeanWorth: 1.75, JobsSeen: 1000, Carried: 33.25, ColdPrompt: 0.875,
}

var compatAttempts = []ravendale.Attempted{
	{Worker: "worker-1", Zone: 2, Cell: 5, SentAt: 17 * time.Second, Out: true, MayRun: true, Started: true},
	{Worker: "worker-2", Zone: -1, Cell: -1, SentAt: 18 * time.Second},
}

var compatClasses = []ravendale.Class{
	{Name: "view", Effect: ravendale.Safe, Group: ravendale.GroupZone, Window: 40 * time.Second, Aim: 400 * time.Millisecond, Stretch: 1.75,
		Deadline: 2 * time.Second, Worth: 3.5, LateWorth: 0.5, Kind: 1, Priority: 2},
	{Name: "pay", Effect: ravendale.Keyed, Group: ravendale.GroupCell, Window: 1, Aim: 2, Stretch: 3, Deadline: 4, Worth: 5, LateWorth: 6, Kind: -1, Priority: 8},
	{Name: "move", Effect: ravendale.Unsafe, Group: ravendale.GroupAll, Kind: -1},
}

// compatJSON holds that a golden file reads as a value, and that the value is written as the file.
func compatJSON[T any](t *testing.T, name string, value T) {
	t.Helper()
	golden, err := os.ReadFile(filepath.Join("testdata", "compat", name))
	if err != nil {
		t.Fatal(err)
	}
	var got T
	if err := json.Unmarshal(golden, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(value, got); diff != "" {
		t.Errorf("%s reads as another value (-want +got):\n%s", name, diff)
	}
	text, err := json.Marshal(got)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(append(text, '\n'), golden) {
		t.Errorf("%s is written as\n%s\nnot as\n%s", name, text, golden)
	}
}

func TestGoldenMemoryReadsAndWritesTheSame(t *testing.T) { compatJSON(t, "memory.json", compatMemory) }

func TestGoldenAttemptsReadAndWriteTheSame(t *testing.T) {
	compatJSON(t, "attempts.json", compatAttempts)
}

func TestGoldenClassesReadAndWriteTheSame(t *testing.T) {
	compatJSON(t, "classes.json", compatClasses)
}
