package wire

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"ravendale"
)

const startLine = "start salt=5 balancers=3 me=1 ceilings.attempts-cap=5 ceilings.may-duplicate=true " +
	"dcs=east,west host-types=big,small locality=west request-classes.count=2 " +
	"request-classes.0.name=view request-classes.0.effect=idempotent request-classes.0.aim-us=400000 " +
	"request-classes.1.name=pay request-classes.1.effect=deduplicated request-classes.1.group=cell " +
	"request-classes.1.window-us=40000000 specifics.class-kind=-1,1 specifics.class-stretch=1.75,2.0 " +
	"specifics.report-x0=free_slots projects.count=1 projects.0.name=acme projects.0.share=0.5 " +
	"discovery=ask report.how=inline worth-by=request future.key=whatever tick-us=5000\n"

// readAll returns all messages of a text, and the error that stopped the reader, or nil for io.EOF.
func readAll(text string) (all []Message, err error) {
	r := NewReader(strings.NewReader(text))
	for {
		var m Message
		if err := r.Next(&m); err != nil {
			if errors.Is(err, io.EOF) {
				return all, nil
			}
			return all, err
		}
		m.Event.Entries = append([]ravendale.Entry(nil), m.Event.Entries...)
		all = append(all, m)
	}
}

func batch(lines string) string {
	return "clock clock-us=1000 frame=1\nselect i=scheduler/3\n" + startLine + lines + "your_turn\n"
}

func TestReadSettings(t *testing.T) {
	all, err := readAll(batch(""))
	if err != nil {
		t.Fatal(err)
	}
	s := all[1].Settings
	if all[1].Seed != 5 || all[1].Instance != "scheduler/3" || all[0].Now != time.Millisecond {
		t.Errorf("seed, instance or clock are wrong: %+v", all[:2])
	}
	if s.Dispatchers != 3 || s.Me != 1 || s.MaxAttempts != 5 || !s.MayHedge || s.MayCancel || !s.MustAsk || !s.ValuePerJob {
		t.Errorf("limits are wrong: %+v", s)
	}
	if s.Zones != 2 || s.Zone != 1 || s.ReportsIn != ravendale.ReportsInAnswers || s.Tick != 5*time.Millisecond {
		t.Errorf("zones, reports or tick are wrong: %+v", s)
	}
	if len(s.Tenants) != 1 || s.Tenants[0].Share != 0.5 {
		t.Errorf("tenants are wrong: %+v", s.Tenants)
	}
	c := s.Classes[1]
	if c.Effect != ravendale.Keyed || c.Group != ravendale.GroupCell || c.Window != 40*time.Second || c.Kind != 1 || c.Stretch != 2 {
		t.Errorf("second class is wrong: %+v", c)
	}
	if s.Classes[0].Kind != -1 || s.Classes[0].LatencyTarget != 400*time.Millisecond {
		t.Errorf("first class is wrong: %+v", s.Classes[0])
	}
}

func TestReadEvents(t *testing.T) {
	all, err := readAll(batch("directory_update kind=2 epoch=41 members-list=2\n" +
		"m worker=worker_a az=east shape=small group=7 availability=1 heft=1.5 boot-time-us=900 new=1\n" +
		"m worker=worker_b az=nowhere availability=2\n" +
		"accept ticket=4294967295 class=pay project=acme subject=91f03b7c55d20a64 remaining-us=240000 " +
		"weight-hint-us=12000 cores-needed=2 mem=3 repeat=1\n" +
		"accept ticket=2 class=unheard project=0 remaining-us=1\n" +
		"progress ticket=2 trial=1 worker=worker_a what=1\n" +
		"progress ticket=2 trial=1 worker=worker_a what=2 level=0.5\n" +
		"resolved ticket=2 trial=1 worker=worker_a rc=F duration-us=5 settled=1 server-stats=eps:0.5,inflight:7,x0:0.4\n" +
		"health worker=worker_a rc=T duration-us=7\n" +
		"whisper origin-peer=2 blob=aGkgNw==\nclient_left ticket=9\nreminder ctx=w\nexit\n"))
	if err != nil {
		t.Fatal(err)
	}
	var events []ravendale.Event
	for _, m := range all {
		if m.Kind == Event {
			events = append(events, m.Event)
		}
	}
	if len(events) != 10 || all[len(all)-2].Kind != Exit {
		t.Fatalf("%d events, want 10 and an exit", len(events))
	}
	list := events[0]
	wantA := ravendale.Entry{Worker: "worker_a", Zone: 0, Kind: 1, Cell: 7, State: ravendale.Ready, Weight: 1.5,
		StartedAt: 900 * time.Microsecond}
	if list.List != ravendale.Cached || len(list.Entries) != 2 || list.Entries[0] != wantA {
		t.Errorf("list is wrong: %+v", list)
	}
	if b := list.Entries[1]; b.Zone != -1 || b.State != ravendale.Draining || b.Weight != 1 {
		t.Errorf("entry with absent values is wrong: %+v", b)
	}
	job := events[1]
	if job.Job != 1<<32-1 || job.Class != 1 || job.Tenant != 0 || job.Key != 0x91f03b7c55d20a64 ||
		job.Work != 12*time.Millisecond || job.Slots != 2 || job.Memory != 3 || !job.Retry {
		t.Errorf("job is wrong: %+v", job)
	}
	if events[2].Class != -1 || events[2].Tenant != -1 {
		t.Errorf("unknown class or tenant is not -1: %+v", events[2])
	}
	if events[3].Kind != ravendale.JobStarted || events[4].Kind != ravendale.JobProgressed || events[4].Done != 0.5 {
		t.Errorf("job start or progress is wrong: %+v", events[3:5])
	}
	end := events[5]
	wantLoad := ravendale.Load{Given: true, InFlight: 7, FreeSlots: 0.4, Busy: -1}
	if end.Outcome != ravendale.Overloaded || end.Attempt != 1 || !end.Closed || end.Load != wantLoad {
		t.Errorf("outcome is wrong: %+v", end)
	}
	if events[6].Outcome != ravendale.TimedOut || events[6].Load.Given {
		t.Errorf("probe is wrong: %+v", events[6])
	}
	if string(events[7].Data) != "hi 7" || events[7].From != 2 {
		t.Errorf("peer message is wrong: %+v", events[7])
	}
}

func TestMalformedInputErrorNamesLine(t *testing.T) {
	for name, tc := range map[string]struct{ text, want string }{
		"outside a batch":       {"accept ticket=1\n", "line 1:"},
		"no end of batch":       {"clock clock-us=1 frame=1\n", "line 2: the input ends inside a batch"},
		"incomplete line":       {"clock clock-us=1 frame=1", "line 1:"},
		"no clock":              {"clock frame=1\n", "line 1:"},
		"bad number":            {batch("accept ticket=x\n"), "line 4: ticket=x"},
		"number too large":      {batch("accept ticket=4294967296\n"), "line 4:"},
		"time too large":        {batch("accept ticket=1 remaining-us=9223372036854775807\n"), "line 4:"},
		"not a number":          {batch("accept ticket=1 cores-needed=NaN\n"), "line 4:"},
		"field without =":       {batch("accept ticket=1 class\n"), "line 4:"},
		"unknown message":       {batch("hello ticket=1\n"), "line 4:"},
		"no ticket":             {batch("resolved trial=0 rc=S\n"), "line 4:"},
		"unknown outcome":       {batch("resolved ticket=1 rc=Q\n"), "line 4:"},
		"unknown list kind":     {batch("directory_update kind=9\n"), "line 4:"},
		"entry missing":         {batch("directory_update kind=1 members-list=1\n"), "line 5:"},
		"entry without a name":  {batch("directory_update kind=1 members-list=1\nm az=east\n"), "line 5:"},
		"bad base64":            {batch("whisper origin-peer=1 blob=?\n"), "line 4:"},
		"unknown instance":      {"clock clock-us=1 frame=1\nselect i=scheduler/1\naccept ticket=1\n", "line 3:"},
		"no instance":           {"clock clock-us=1 frame=1\naccept ticket=1\n", "line 2:"},
		"select without a name": {"clock clock-us=1 frame=1\nselect\n", "line 2:"},
		"bad setting": {"clock clock-us=1 frame=1\nselect i=a\nstart salt=1 balancers=many\n",
			"line 3: setting balancers=many"},
		"bad effect": {"clock clock-us=1 frame=1\nselect i=a\nstart salt=1 request-classes.count=1 " +
			"request-classes.0.effect=maybe\n", "line 3:"},
		"count above limit": {"clock clock-us=1 frame=1\nselect i=a\nstart salt=1 request-classes.count=2000000000\n", "line 3:"},
	} {
		_, err := readAll(tc.text)
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: error %v, want one with %q", name, err, tc.want)
		}
	}
}

func TestReadLongLine(t *testing.T) {
	all, err := readAll(batch("accept ticket=1 class=view extra=" + strings.Repeat("x", 3<<20) + " remaining-us=7\n"))
	if err != nil {
		t.Fatal(err)
	}
	if got := all[2].Event.TimeLeft; got != 7*time.Microsecond {
		t.Errorf("remaining time after a 3 MiB field is %v, want 7µs", got)
	}
}

func TestAppendAction(t *testing.T) {
	for want, a := range map[string]ravendale.Action{
		"forward ticket=7 worker=worker_a\n":                        {Kind: ravendale.Send, Job: 7, Worker: "worker_a"},
		"forward ticket=7 worker=worker_a give-up-after-us=80000\n": {Kind: ravendale.Send, Job: 7, Worker: "worker_a", Wait: 80 * time.Millisecond},
		"abort_attempt ticket=7 trial=2\n":                          {Kind: ravendale.Cancel, Job: 7, Attempt: 2},
		"decline ticket=7\n":                                        {Kind: ravendale.Refuse, Job: 7},
		"decline ticket=7 retry-in-us=250000\n":                     {Kind: ravendale.Refuse, Job: 7, Wait: 250 * time.Millisecond},
		"end_failed ticket=7\n":                                     {Kind: ravendale.Fail, Job: 7},
		"notify_me wait-us=2 ctx=w\n":                               {Kind: ravendale.SetTimer, Wait: 1500},
		"health_check worker=worker_a\n":                            {Kind: ravendale.Probe, Worker: "worker_a"},
		"stream_changes on=1\n":                                     {Kind: ravendale.WatchList},
		"broadcast_to dest=all blob=aGkgNw==\n":                     {Kind: ravendale.NotifyPeers, To: -1, Data: []byte("hi 7")},
		"broadcast_to dest=4 blob=-\n":                              {Kind: ravendale.NotifyPeers, To: 4},
	} {
		if got := string(AppendAction(nil, &a)); got != want {
			t.Errorf("wrote %q, want %q", got, want)
		}
	}
}

func FuzzReader(f *testing.F) {
	f.Add(batch("accept ticket=1 class=view\n"))
	f.Add("clock clock-us=1 frame=1\nyour_turn\n")
	f.Fuzz(func(t *testing.T, text string) {
		all, err := readAll(text)
		if err == nil && len(all) > 0 && all[len(all)-1].Kind != Turn {
			t.Error("the input ended inside a batch without an error")
		}
	})
}
