package fleettest

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"ravendale/balancer/audit"
)

var binaryDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "fleettest")
	if err != nil {
		panic(err)
	}
	binaryDir = dir
	// The program under test is built here, so go test's cache doesn't know its sources. Reading them makes a change to them
	// invalidate the cached test result.
	err = filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") {
			_, err = os.ReadFile(path)
		}
		return err
	})
	if err != nil {
		panic(err)
	}
	code := 1
	if err := firstError(build("ravendale"), build("mutant", "-tags=mutant")); err == nil {
		code = m.Run()
	} else {
		fmt.Fprintln(os.Stderr, err)
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func firstError(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}

func build(name string, flags ...string) error {
	cmd := exec.Command("go", append(append([]string{"build", "-o", filepath.Join(binaryDir, name)}, flags...), "ravendale/cmd/ravendale")...)
	if text, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("%s: %w: %s", name, err, text)
	}
	return nil
}

// expectation is what the members' records and the clients' requests must show after a script.
type expectation struct {
	actsBelowFloor bool     // some member acted below the floor; only a build that doesn't enforce the floor may
	stragglers     []string // members that were below a floor when it took effect, as "member end"
	faults         []string // findings that count as a member's fault, as "member kind"
	adopted        uint64   // number of the epoch that all members have adopted at the end, according to their records
	restarted      []string // members whose processes were killed, so that their clients may have lost requests
	notAdopted     []string // members that never adopt that epoch
	gaps           []string // members whose records report a gap because they couldn't write for a time
}

func TestFaultScripts(t *testing.T) {
	for name, tc := range map[string]struct {
		o      Options
		script string
		want   expectation
	}{
		"two roll-outs in sequence": {Options{Members: 5, Alone: "stop"}, `
			start all
			await acts all
			load on
			roll-out 1 floor=1 via a
			await epoch 1 all
			roll-out 2 floor=2 settings={"ceilings":{"attempts-cap":3}} via e
			await epoch 2 all
			load off`, expectation{adopted: 2}},
		"partitioned minority is shut out and catches up after the partition heals": {Options{Members: 5, Alone: "stop"}, `
			start all
			await acts all
			load on
			cut a,b,c|d,e
			await a sees gone d,e
			roll-out 1 floor=1 via a
			await epoch 1 a,b,c
			await shut d,e
			await acts a,b,c
			heal
			await epoch 1 all
			await acts all
			load off`, expectation{adopted: 1}},
		"member whose outgoing links are cut is shut out": {Options{Members: 3, Alone: "stop"}, `
			start all
			await acts all
			cut c>a,b
			await shut c
			roll-out 1 floor=1 via a
			await epoch 1 a,b
			await c sees gone a,b                  # a link needs both directions
			heal
			await epoch 1 all
			await acts all`, expectation{adopted: 1}},
		"conflicting roll-outs of one number on both sides of a partition": {Options{Members: 5, Alone: "stop"}, `
			start all
			await acts all
			cut a,b,c|d,e
			roll-out 1 floor=1 settings={"ceilings":{"attempts-cap":2}} via d
			roll-out 1 floor=1 settings={"ceilings":{"attempts-cap":3}} via a
			await epoch 1 a,b,c
			heal
			await epoch 1 all
			roll-out 2 floor=2 via d
			await epoch 2 all`, expectation{adopted: 2}},
		"member is stopped while the floor takes effect and continues with unread requests": {Options{Members: 3, Alone: "stop"}, `
			start all
			await acts all
			load on
			stop c
			roll-out 1 floor=1 via a
			await epoch 1 a,b
			pass 1500ms
			cont c
			await epoch 1 c
			await acts all
			load off`, expectation{adopted: 1, stragglers: []string{"c shut out"}}},
		"member is killed during adoption and restarted": {Options{Members: 3, Alone: "stop"}, `
			start all
			await acts all
			roll-out 1 floor=1 via a
			kill b
			await epoch 1 a,c
			start b
			await epoch 1 all
			kill a,b,c
			start all
			await epoch 1 all
			await acts all`, expectation{adopted: 1, restarted: []string{"a", "b", "c"}}},
		"upgrade by hand-over during a roll-out": {Options{Members: 3, Alone: "stop"}, `
			start all
			await acts all
			load on
			start b
			roll-out 1 floor=1 via a
			await epoch 1 all
			await acts all
			load off`, expectation{adopted: 1}},
		"straggler that can't apply the settings": {Options{Members: 3, Alone: "mark"}, `
			start all
			await acts all
			load on
			roll-out 1 floor=1 build=9 via a refused
			roll-out 2 floor=3 via a refused
			roll-out 3 floor=3 within=10ms via a refused
			hup c bad                              # its configuration can't be combined with an epoch's settings
			roll-out 4 floor=4 settings={"ceilings":{"attempts-cap":3}} via a
			await epoch 4 a,b
			await shut c
			load off`, expectation{stragglers: nil, adopted: 4, notAdopted: []string{"c"}}},
		"isolated member with alone=mark continues and marks its spans": {Options{Members: 3, Alone: "mark"}, `
			start all
			await acts all
			load on
			cut c|a,b
			await marked c
			pass 300ms
			heal
			await acts all
			load off`, expectation{}},
		"straggler is restarted repeatedly": {Options{Members: 3, Alone: "stop"}, `
			start all
			await acts all
			save c
			cut c|a,b
			roll-out 1 floor=1 via a
			await epoch 1 a,b
			kill c
			start c
			await shut c
			kill c
			start c
			heal
			await epoch 1 all
			await acts all`, expectation{adopted: 1, restarted: []string{"c"}}},
		"member restarts on an outdated copy of its disk": {Options{Members: 3, Alone: "stop", Trust: 20 * time.Second}, `
			start all
			await acts all
			save c
			roll-out 1 floor=1 via a
			await epoch 1 all
			await told c 1
			kill c
			start c old
			await epoch 1 c
			await acts all
			roll-out 2 floor=2 via c
			await epoch 2 all`, expectation{adopted: 2, restarted: []string{"c"}, faults: []string{"c rolled back"}}},
		"member restarts on an empty disk": {Options{Members: 3, Alone: "stop", Trust: 20 * time.Second}, `
			start all
			await acts all
			roll-out 1 floor=1 via a
			await epoch 1 all
			await told c 1
			kill c
			start c empty
			await epoch 1 c
			await acts all
			roll-out 2 floor=2 via c
			await epoch 2 all`, expectation{adopted: 2, restarted: []string{"c"}, faults: []string{"c rolled back"}}},
		"stopped member is killed and restarted": {Options{Members: 3, Alone: "stop"}, `
			start all
			await acts all
			stop c
			kill c
			start c
			await acts all
			roll-out 1 floor=1 via c
			await epoch 1 all`, expectation{adopted: 1, restarted: []string{"c"}}},
		"clock offsets and a backward clock step": {Options{Members: 3, Alone: "stop"}, `
			clock b 5000
			start all
			await acts all
			load on
			pass 700ms
			clock b -4000
			clock c 60000
			roll-out 1 floor=1 via a
			await epoch 1 all
			pass 700ms
			await acts all
			load off`, expectation{adopted: 1}},
		"corrupted, duplicated, reset and delayed links": {Options{Members: 3, Alone: "stop"}, `
			start all
			await acts all
			corrupt a>b
			pass 300ms
			heal
			duplicate b>c
			pass 300ms
			heal
			reset c>a
			pass 300ms
			heal
			delay a>b,c 20ms
			roll-out 1 floor=1 via b
			await epoch 1 all
			heal
			await acts all
			await a sees alive b,c`, expectation{adopted: 1}},
		"whole fleet is killed and restarted in another order": {Options{Members: 5, Alone: "stop"}, `
			start all
			await acts all
			roll-out 1 floor=1 via c
			await epoch 1 all
			kill all
			start e
			start c
			await shut c,e
			start a
			await acts a,c,e
			start b,d
			await acts all
			await epoch 1 all`, expectation{adopted: 1, restarted: []string{"a", "b", "c", "d", "e"}}},
		"member with a full disk continues without its vote": {Options{Members: 3, Alone: "stop"}, `
			start all
			await acts all
			load on
			full c
			roll-out 1 floor=1 via a
			await epoch 1 all
			pass 500ms
			free c
			await acts all                         # acts requires that it votes again
			roll-out 2 floor=2 via c
			await epoch 2 all
			load off`, expectation{adopted: 2}},
		"member with shut-out=exit exits when it is shut out": {Options{Members: 3, Alone: "mark", ShutOut: "exit"}, `
			start all
			await acts all
			hup c bad
			roll-out 4 floor=4 settings={"ceilings":{"attempts-cap":3}} via a
			await epoch 4 a,b
			await dead c`, expectation{adopted: 4, notAdopted: []string{"c"}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tc.o.Binary = filepath.Join(binaryDir, "ravendale")
			checkScript(t, tc.o, tc.script, tc.want)
		})
	}
}

// Checks that the audit detects a violation: the build under test doesn't enforce the floor, so a partitioned member keeps
// acting below it.
func TestAuditDetectsMemberBelowFloor(t *testing.T) {
	t.Parallel()
	checkScript(t, Options{Binary: filepath.Join(binaryDir, "mutant"), Members: 3, Alone: "stop"}, `
		start all
		await acts all
		load on
		cut c|a,b
		roll-out 1 floor=1 via a
		await epoch 1 a,b
		pass 2500ms
		heal
		await epoch 1 c
		load off`, expectation{actsBelowFloor: true, adopted: 1, stragglers: []string{"c brought up"}})
}

func checkScript(t *testing.T, o Options, script string, want expectation) {
	t.Helper()
	o.Dir, o.Log = t.TempDir(), t.Logf
	b, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	if err := b.Run(script); err != nil {
		t.Error(err)
		logOutput(t, b)
		return
	}
	report, requests, err := b.Finish()
	if err != nil {
		t.Error(err)
		return
	}
	if len(report.Below) > 0 != want.actsBelowFloor {
		t.Errorf("members that acted below the floor: %+v", report.Below)
	}
	var stragglers, faults, gaps []string
	for _, s := range report.Straggled {
		stragglers = append(stragglers, s.Member+" "+s.End)
	}
	for _, f := range report.Findings {
		if f.Kind == audit.Lost {
			gaps = append(gaps, f.Member)
		}
		if f.Kind.Fault() {
			faults = append(faults, f.Member+" "+string(f.Kind))
		}
	}
	if slices.Sort(stragglers); !slices.Equal(stragglers, want.stragglers) {
		t.Errorf("stragglers are %v, want %v: %+v", stragglers, want.stragglers, report.Straggled)
	}
	if slices.Sort(faults); !slices.Equal(slices.Compact(faults), want.faults) {
		t.Errorf("faults found in the records are %v, want %v: %v", faults, want.faults, report.Findings)
	}
	if slices.Sort(gaps); !slices.Equal(slices.Compact(gaps), want.gaps) {
		t.Errorf("members with gaps in their records are %v, want %v: %v", gaps, want.gaps, report.Findings)
	}
	for _, l := range report.Epochs {
		if l.Conflict {
			t.Errorf("epoch number has two conflicting contents: %+v", l)
		}
		if l.ID.Number == want.adopted && l.InForce > 0 && len(l.Adopted)+len(want.notAdopted) != o.Members {
			t.Errorf("epoch %v was adopted by %v", l.ID, l.Adopted)
		}
	}
	if want.adopted > 0 && !slices.ContainsFunc(report.Epochs, func(l audit.EpochHistory) bool { return l.ID.Number == want.adopted && l.InForce > 0 }) {
		t.Errorf("epoch %d was never in force: %+v", want.adopted, report.Epochs)
	}
	for _, request := range requests {
		if request.Wrong || request.Status != 200 && request.Status != 503 && (request.Status != 0 || !slices.Contains(want.restarted, request.Member)) {
			t.Errorf("request to %s, sent %v after the start of the bench, got %+v", request.Member, request.Sent.Sub(b.startedAt).Round(time.Millisecond), request)
			break
		}
	}
	if strings.Contains(script, "load on") && len(requests) == 0 {
		t.Error("load was on, but no client sent a request")
	}
	if t.Failed() {
		logOutput(t, b)
	}
}

func logOutput(t *testing.T, b *Bench) {
	files, _ := filepath.Glob(filepath.Join(b.options.Dir, "*", "log.*"))
	for _, f := range files {
		text, _ := os.ReadFile(f)
		t.Logf("%s:\n%s", f[len(b.options.Dir):], text)
	}
}
