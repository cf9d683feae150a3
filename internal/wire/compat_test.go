package wire

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ravendale"
)

// The files in testdata/compat were written for version a08c060. They hold each setting that is read, as the
// pairs of a line and as JSON.

var compatSettings = ravendale.Settings{
	Dispatchers: 3, Me: 1, Zones: 2, Zone: 1,
	Classes: []ravendale.Class{
		{Name: "view", Effect: ravendale.Safe, Group: ravendale.GroupAll, LatencyTarget: 400 * time.Millisecond, Stretch: 1.75, Deadline: 2 * time.Second,
			Window: 30 * time.Second, Value: 3.5, LateValue: 0.5, Kind: -1, Priority: 4},
		{Name: "pay", Effect: ravendale.Keyed, Group: ravendale.GroupCell, LatencyTarget: 500 * time.Millisecond, Stretch: 2.25, Deadline: 3 * time.Second,
			Window: 40 * time.Second, Value: 4.5, LateValue: 0.25, Kind: 1, Priority: 5},
		{Name: "move", Effect: ravendale.Unsafe, Group: ravendale.GroupZone, LatencyTarget: time.Millisecond, Deadline: 2 * time.Millisecond,
			Window: 3 * time.Millisecond, Value: 1, LateValue: 0.125, Kind: -1},
	},
	Tenants: []ravendale.Tenant{{Name: "acme", Share: 0.5, Quota: 250}, {Name: "other", Share: 0.25, Quota: 125}},
	Prices: ravendale.Prices{CrossZone: 0.01, Waste: 0.02, Connection: 0.03, Handshake: 0.04, Probe: 0.05, Peer: 0.06,
		LateFail: 0.07},
	ValuePerJob: true, OverShareValue: 0.375, MaxAttempts: 5, MayHedge: true, MayCancel: true, MayProbe: true, MayNotifyPeers: true, RetryAfter: true,
	MaxRetryAfter: 9 * time.Second, MustAsk: true, AskWithin: 8 * time.Second, LiveWeights: true, AnswerSlack: 7 * time.Millisecond,
	DrainTimeout: 6 * time.Second, SlowStartFrom: 0.2, SlowStartFor: 30 * time.Second, OverloadMultiple: 1.5, OverloadSpan: 4 * time.Second, TellsStart: true,
	Progress: 50 * time.Millisecond, ReportsIn: ravendale.ReportsInAnswers, Tick: 5 * time.Millisecond,
}

var compatNames = Names{Classes: []string{"view", "pay", "move"}, Tenants: []string{"acme", "other"}, Zones: []string{"east", "west"},
	Kinds: []string{"big", "small"}}

func TestCompatNestedSettings(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "compat", "settings.json"))
	if err != nil {
		t.Fatal(err)
	}
	s, names, pairs, err := ReadJSONSettings(text)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(compatSettings, s); diff != "" {
		t.Errorf("settings differ (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(compatNames, names); diff != "" {
		t.Errorf("names differ (-want +got):\n%s", diff)
	}
	if pairs["report.how"] != "inline" || pairs["limits-of-later.0.cap"] != "7" || pairs["limits-of-later.count"] != "1" {
		t.Errorf("wrong pairs: %v", pairs)
	}
}

func TestCompatSession(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "compat", "session.txt"))
	if err != nil {
		t.Fatal(err)
	}
	got, err := readAll(string(text))
	if err != nil {
		t.Fatal(err)
	}
	event := func(e ravendale.Event) Message { return Message{Kind: Event, Instance: "scheduler/3", Event: e} }
	probeSettings := compatSettings
	probeSettings.ReportsIn = ravendale.ReportsInProbes
	want := []Message{
		{Kind: Clock, Now: time.Millisecond, Frame: 1},
		{Kind: Start, Instance: "scheduler/3", Seed: 5, Settings: probeSettings},
		event(ravendale.Event{Kind: ravendale.WorkersListed, List: ravendale.Cached, Entries: []ravendale.Entry{
			{Worker: "worker_a", Zone: 0, Kind: 1, Cell: 7, State: ravendale.Ready, Weight: 1.5, StartedAt: 900 * time.Microsecond},
			{Worker: "worker_b", Zone: -1, Kind: -1, Cell: -1, State: ravendale.Draining, Weight: 1},
			{Worker: "worker_c", Zone: 1, Kind: 0, Cell: -1, State: ravendale.Removed, Weight: 1},
		}}),
		event(ravendale.Event{Kind: ravendale.JobArrived, Job: 4294967295, Class: 1, Tenant: 0, Key: 0x91f03b7c55d20a64, TimeLeft: 240 * time.Millisecond,
			Work: 12 * time.Millisecond, Slots: 2, Memory: 3, Retry: true}),
		event(ravendale.Event{Kind: ravendale.JobArrived, Job: 2, Class: -1, Tenant: -1, TimeLeft: time.Microsecond}),
		event(ravendale.Event{Kind: ravendale.StreamStarted, Class: -1, Tenant: -1, Job: 2, Attempt: 1, Worker: "worker_a"}),
		event(ravendale.Event{Kind: ravendale.JobStarted, Class: -1, Tenant: -1, Job: 2, Attempt: 1, Worker: "worker_a"}),
		event(ravendale.Event{Kind: ravendale.JobProgressed, Class: -1, Tenant: -1, Job: 2, Attempt: 1, Worker: "worker_a", Done: 0.5}),
	}
	for i, o := range []ravendale.Outcome{ravendale.OK, ravendale.Error, ravendale.Overloaded, ravendale.TimedOut, ravendale.ConnectFailed, ravendale.Reset,
		ravendale.Cancelled, ravendale.NotSent} {
		want = append(want, event(ravendale.Event{Kind: ravendale.AttemptEnded, Class: -1, Tenant: -1, Job: 2, Attempt: i, Worker: "worker_a", Outcome: o,
			Took: 5 * time.Microsecond, Closed: i == 0, Load: ravendale.Load{Given: true, InFlight: 7, FreeSlots: 0.4, Busy: 0.9}}))
	}
	want = append(want,
		event(ravendale.Event{Kind: ravendale.ProbeAnswered, Class: -1, Tenant: -1, Worker: "worker_a", Outcome: ravendale.TimedOut,
			Took: 7 * time.Microsecond}),
		event(ravendale.Event{Kind: ravendale.PeerMessage, Class: -1, Tenant: -1, From: 2, Data: []byte("hi\x07")}),
		event(ravendale.Event{Kind: ravendale.ClientLeft, Class: -1, Tenant: -1, Job: 9}),
		event(ravendale.Event{Kind: ravendale.TimerFired, Class: -1, Tenant: -1}),
		Message{Kind: Exit, Instance: "scheduler/3"},
		Message{Kind: Turn},
	)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("messages differ (-want +got):\n%s", diff)
	}
}

func TestCompatActions(t *testing.T) {
	golden, err := os.ReadFile(filepath.Join("testdata", "compat", "actions.txt"))
	if err != nil {
		t.Fatal(err)
	}
	b := AppendInstance(nil, "scheduler/3")
	for _, a := range []ravendale.Action{
		{Kind: ravendale.Send, Job: 4294967295, Worker: "worker_a"},
		{Kind: ravendale.Send, Job: 1, Worker: "worker_a", Wait: 1500 * time.Nanosecond, SendBefore: time.Second},
		{Kind: ravendale.Cancel, Job: 1, Attempt: 2},
		{Kind: ravendale.Refuse, Job: 1},
		{Kind: ravendale.Refuse, Job: 1, Wait: time.Second},
		{Kind: ravendale.Fail, Job: 1},
		{Kind: ravendale.SetTimer, Wait: 1001 * time.Nanosecond},
		{Kind: ravendale.Probe, Worker: "worker_b"},
		{Kind: ravendale.WatchList},
		{Kind: ravendale.NotifyPeers, To: -1},
		{Kind: ravendale.NotifyPeers, To: 2, Data: []byte("hi\x07")},
	} {
		b = AppendAction(b, &a)
	}
	if b = AppendEnd(b, 18446744073709551615); string(b) != string(golden) {
		t.Errorf("actions:\n%s\nwant:\n%s", b, golden)
	}
}
