package handover

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ravendale"
	"ravendale/balancer/platform"
	"ravendale/balancer/scheduler"
)

// The files in testdata/compat were written by version a08c060. During an upgrade, processes of two versions exchange
// messages, so their encoding must not change.

func yes() *bool { v := true; return &v }
func no() *bool  { return new(bool) }

var compatMemory = &ravendale.Snapshot{
	Detached: map[string]time.Duration{"worker-7": 7 * time.Second},
	Arrivals: 123.5,
	Peak:     12,
	Classes: map[string]ravendale.ClassSnapshot{
		"view": {Run: 11 * time.Millisecond, Dev: 3 * time.Millisecond, Longest: 900 * time.Millisecond, Arrivals: 41, Weight: 2.5},
	},
	Workers: map[string]ravendale.WorkerSnapshot{
		"worker-1": {StartedAt: 4 * time.Second, ListedStart: 3 * time.Second, Tokens: 1.25, FilledAt: 6 * time.Second, UnhealthyUntil: 8 * time.Second,
			RejectedAt: 9 * time.Second, Faults: 0.375, Limit: 17.5, Rejections: 3, Slots: 2},
	},
	Zones:     []ravendale.ZoneSnapshot{{Busy: 0.25, Queue: 1.5, StartLatency: 4 * time.Millisecond}},
	MeanValue: 1.75, JobsSeen: 1000, WarmThroughput: 33.25, WarmingOnTime: 0.875,
}

var compatTerms = &scheduler.Terms{
	Classes: []ravendale.Class{{Name: "view", Effect: ravendale.Keyed, Group: ravendale.GroupCell, Window: 40 * time.Second,
		LatencyTarget: 400 * time.Millisecond, Stretch: 1.75, Deadline: 2 * time.Second, Value: 3.5, LateValue: 0.5, Kind: 1, Priority: 2}},
	Attempts: 5,
}

var compatMessages = map[string]Message{
	"hello": {Hello: true},
	"state": {State: &State{List: json.RawMessage(`{"epoch":41,"workers":[{"id":"worker-1"}]}`), Discovery: "http://127.0.0.1:8500/v1",
		InFile: "http://127.0.0.1:8400/v1", Away: true, IDs: []string{"request-1", "request-2"}, Memory: compatMemory}},
	"state_empty":  {State: &State{List: json.RawMessage(`null`)}},
	"serving":      {Serving: true, Terms: compatTerms},
	"terms":        {Terms: compatTerms},
	"callback":     {Callback: []byte("{\"id\":\"request-1\"}\x00\xff")},
	"took":         {Took: "request-1"},
	"sent":         {Sent: "worker-1"},
	"ended":        {Ended: "worker-1"},
	"out":          {Detached: "worker-1"},
	"back":         {Attached: "worker-1"},
	"away":         {Away: yes()},
	"away_no_more": {Away: no()},
	"discovery":    {Discovery: "http://127.0.0.1:8500/v1"},
	"has":          {Has: "request-1"},
	"job": {Job: &Job{
		TransferredRequest: scheduler.TransferredRequest{ID: "request-1", Class: "view", AnswerBy: 90 * time.Second,
			Facts: scheduler.Facts{Class: 1, Tenant: 2, Key: 0x91f03b7c55d20a64, Left: 240 * time.Millisecond, Work: 12 * time.Millisecond,
				Slots: 2, Memory: 3, Retry: true},
			Attempts:  []ravendale.AttemptSnapshot{{Worker: "worker-1", Zone: 2, Cell: 5, SentAt: 17 * time.Second, InFlight: true, MayRun: true, Started: true}},
			Unreached: 1},
		Request: platform.Message{Method: "POST", Target: "/view?x=1", Key: "key-1", ContentType: "application/json", Body: []byte(`{"a":1}`)},
		Closes:  true,
	}},
	"job_least": {Job: &Job{TransferredRequest: scheduler.TransferredRequest{ID: "request-2"}}},
}

// recordingConn is a connection that records written data.
type recordingConn struct{ written []byte }

func (w *recordingConn) Write(b []byte) { w.written = append(w.written, b...) }
func (w *recordingConn) Ignore()        {}
func (w *recordingConn) Finish()        {}
func (w *recordingConn) Close()         {}
func (w *recordingConn) Unwritten() int { return 0 }
func (w *recordingConn) Peer() string   { return "" }

func TestGoldenMessagesReadAndWriteTheSame(t *testing.T) {
	for name, want := range compatMessages {
		t.Run(name, func(t *testing.T) {
			golden, err := os.ReadFile(filepath.Join("testdata", "compat", name+".json"))
			if err != nil {
				t.Fatal(err)
			}
			var got []Message
			w := &recordingConn{}
			l := Accept(w, func(_ *Link, m Message) { got = append(got, m) }, func(_ *Link, err error) { t.Error("closed:", err) })
			l.Data(golden)
			if diff := cmp.Diff([]Message{want}, got); diff != "" {
				t.Fatalf("the file reads as another message (-want +got):\n%s", diff)
			}
			l.Send(got[0])
			if !bytes.Equal(w.written, golden) {
				t.Errorf("the message is written as\n%s\nnot as\n%s", w.written, golden)
			}
		})
	}
}

func TestEachGoldenFileHasAValue(t *testing.T) {
	files, err := os.ReadDir(filepath.Join("testdata", "compat"))
	if err != nil || len(files) != len(compatMessages) {
		t.Errorf("%d files for %d values, %v", len(files), len(compatMessages), err)
	}
}
