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

// The files in testdata/compat were written by version a08c060. A process passes its state to its replacement as JSON of these
// types, so the names of their fields are the format.

var goldenSnapshot = ravendale.Snapshot{
	Detached: map[string]time.Duration{"worker-7": 7 * time.Second},
	Arrivals: 123.5,
	Peak:     12,
	Classes: map[string]ravendale.ClassSnapshot{
		"view": {Run: 11 * time.Millisecond, Dev: 3 * time.Millisecond, Longest: 900 * time.Millisecond, Arrivals: 41, Weight: 2.5},
		"pay":  {Run: 21 * time.Millisecond, Dev: 5 * time.Millisecond, Longest: 800 * time.Millisecond},
	},
	Workers: map[string]ravendale.WorkerSnapshot{
		"worker-1": {StartedAt: 4 * time.Second, ListedStart: 3 * time.Second, Tokens: 1.25, FilledAt: 6 * time.Second, UnhealthyUntil: 8 * time.Second,
			RejectedAt: 9 * time.Second, Faults: 0.375, Limit: 17.5, Rejections: 3, Slots: 2},
		"worker-2": {StartedAt: 1, ListedStart: 2, Tokens: 3, FilledAt: 4, UnhealthyUntil: 5, RejectedAt: 6, Faults: 7, Limit: 8, Slots: 9},
	},
	Zones:     []ravendale.ZoneSnapshot{{Busy: 0.25, Queue: 1.5, StartLatency: 4 * time.Millisecond}, {Busy: 0.5, Queue: 2.5, StartLatency: 5 * time.Millisecond}},
	MeanValue: 1.75, JobsSeen: 1000, WarmThroughput: 33.25, WarmingOnTime: 0.875,
}

var goldenAttempts = []ravendale.AttemptSnapshot{
	{Worker: "worker-1", Zone: 2, Cell: 5, SentAt: 17 * time.Second, InFlight: true, MayRun: true, Started: true},
	{Worker: "worker-2", Zone: -1, Cell: -1, SentAt: 18 * time.Second},
}

var goldenClasses = []ravendale.Class{
	{Name: "view", Effect: ravendale.Safe, Group: ravendale.GroupZone, Window: 40 * time.Second, LatencyTarget: 400 * time.Millisecond, Stretch: 1.75,
		Deadline: 2 * time.Second, Value: 3.5, LateValue: 0.5, Kind: 1, Priority: 2},
	{Name: "pay", Effect: ravendale.Keyed, Group: ravendale.GroupCell, Window: 1, LatencyTarget: 2, Stretch: 3, Deadline: 4, Value: 5, LateValue: 6, Kind: -1, Priority: 8},
	{Name: "move", Effect: ravendale.Unsafe, Group: ravendale.GroupAll, Kind: -1},
}

// checkGoldenJSON checks that a golden file decodes to value, and that value encodes to the content of the file.
func checkGoldenJSON[T any](t *testing.T, name string, value T) {
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
		t.Errorf("%s decodes to a different value (-want +got):\n%s", name, diff)
	}
	text, err := json.Marshal(got)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(append(text, '\n'), golden) {
		t.Errorf("%s is encoded as\n%s\nwant\n%s", name, text, golden)
	}
}

func TestSnapshotMatchesGoldenFile(t *testing.T) { checkGoldenJSON(t, "memory.json", goldenSnapshot) }

func TestAttemptsMatchGoldenFile(t *testing.T) {
	checkGoldenJSON(t, "attempts.json", goldenAttempts)
}

func TestClassesMatchGoldenFile(t *testing.T) {
	checkGoldenJSON(t, "classes.json", goldenClasses)
}
