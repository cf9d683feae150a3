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

var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "fleettest")
	if err != nil {
		panic(err)
	}
	binaries = dir
	// The program under test is built here, unseen by go test's cache: reading its sources has a change of them run the tests again.
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
	if err := errorsOf(build("ravendale"), build("mutant", "-tags=mutant")); err == nil {
		code = m.Run()
	} else {
		fmt.Fprintln(os.Stderr, err)
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func errorsOf(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}

func build(name string, flags ...string) error {
	cmd := exec.Command("go", append(append([]string{"build", "-o", filepath.Join(binaries, name)}, flags...), "ravendale/cmd/ravendale")...)
	if text, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("%s: %w: %s", name, err, text)
	}
	return nil
}

// verdict is what the records and the clients' history are to show.
type verdict struct {
	below      bool     // acts under the floor: in builds without it alone
	straggled  []string // who was below a floor at its date, as "member end"
	faults     []string // kinds of findings that are somebody's fault, as "member kind"
	adopted    uint64   // by all members, in the end, as their records say
	restarted  []string // members whose clients may have lost requests: their processes were killed
	notAdopted []string // members that never come to that epoch
	gap        []string // members that could not write for a time, as their records say
}

func TestHardCases(t *testing.T) {
	for name, tc := range map[string]struct {
		o      Options
		script string
		want   verdict
	}{
		"a roll-out, and one after it": {Options{Members: 5, Alone: "stop"}, `
			start all
			await acts all
			load on
			roll-out 1 floor=1 via a
			await epoch 1 all
			roll-out 2 floor=2 settings={"ceilings":{"attempts-cap":3}} via e
			await epoch 2 all
			load off`, verdict{adopted: 2}},
		"cut in the middle: the half that is cut off is shut out, and brought up once it heals": {Options{Members: 5, Alone: "stop"}, `
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
			load off`, verdict{adopted: 1}},
		"cut in one direction: who is not answered is shut out": {Options{Members: 3, Alone: "stop"}, `
			start all
			await acts all
			cut c>a,b
			await shut c
			roll-out 1 floor=1 via a
			await epoch 1 a,b
			await c sees gone a,b                  # a link wants both directions
			heal
			await epoch 1 all
			await acts all`, verdict{adopted: 1}},
		"two roll-outs of one number on the two sides of a cut": {Options{Members: 5, Alone: "stop"}, `
			start all
			await acts all
			cut a,b,c|d,e
			roll-out 1 floor=1 settings={"ceilings":{"attempts-cap":2}} via d
			roll-out 1 floor=1 settings={"ceilings":{"attempts-cap":3}} via a
			await epoch 1 a,b,c
			heal
			await epoch 1 all
			roll-out 2 floor=2 via d
			await epoch 2 all`, verdict{adopted: 2}},
		"stopped across the date, and woken with requests in its sockets": {Options{Members: 3, Alone: "stop"}, `
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
			load off`, verdict{adopted: 1, straggled: []string{"c shut out"}}},
		"killed while it adopts, and started again": {Options{Members: 3, Alone: "stop"}, `
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
			await acts all`, verdict{adopted: 1, restarted: []string{"a", "b", "c"}}},
		"an upgrade by hand-over in the middle": {Options{Members: 3, Alone: "stop"}, `
			start all
			await acts all
			load on
			start b
			roll-out 1 floor=1 via a
			await epoch 1 all
			await acts all
			load off`, verdict{adopted: 1}},
		"a straggler that can't be brought up": {Options{Members: 3, Alone: "mark"}, `
			start all
			await acts all
			load on
			roll-out 1 floor=1 build=9 via a refused
			roll-out 2 floor=3 via a refused
			roll-out 3 floor=3 within=10ms via a refused
			hup c bad                              # its configuration can't take an epoch's settings
			roll-out 4 floor=4 settings={"ceilings":{"attempts-cap":3}} via a
			await epoch 4 a,b
			await shut c
			load off`, verdict{straggled: nil, adopted: 4, notAdopted: []string{"c"}}},
		"who is alone goes on, and its spans are marked": {Options{Members: 3, Alone: "mark"}, `
			start all
			await acts all
			load on
			cut c|a,b
			await marked c
			pass 300ms
			heal
			await acts all
			load off`, verdict{}},
		"a straggler that flaps": {Options{Members: 3, Alone: "stop"}, `
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
			await acts all`, verdict{adopted: 1, restarted: []string{"c"}}},
		"yesterday's disk": {Options{Members: 3, Alone: "stop", Trust: 20 * time.Second}, `
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
			await epoch 2 all`, verdict{adopted: 2, restarted: []string{"c"}, faults: []string{"c rolled back"}}},
		"an empty disk under an old name": {Options{Members: 3, Alone: "stop", Trust: 20 * time.Second}, `
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
			await epoch 2 all`, verdict{adopted: 2, restarted: []string{"c"}, faults: []string{"c rolled back"}}},
		"twice there: the older of two processes stands down": {Options{Members: 3, Alone: "stop"}, `
			start all
			await acts all
			stop c
			kill c
			start c
			await acts all
			roll-out 1 floor=1 via c
			await epoch 1 all`, verdict{adopted: 1, restarted: []string{"c"}}},
		"clocks that are off, and step back": {Options{Members: 3, Alone: "stop"}, `
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
			load off`, verdict{adopted: 1}},
		"bytes that change, come twice, or break off": {Options{Members: 3, Alone: "stop"}, `
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
			await a sees alive b,c`, verdict{adopted: 1}},
		"the whole fleet is killed and comes back in another order": {Options{Members: 5, Alone: "stop"}, `
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
			await epoch 1 all`, verdict{adopted: 1, restarted: []string{"a", "b", "c", "d", "e"}}},
		"a disk that is full: it goes on, without its vote": {Options{Members: 3, Alone: "stop"}, `
			start all
			await acts all
			load on
			full c
			roll-out 1 floor=1 via a
			await epoch 1 all
			pass 500ms
			free c
			await acts all                         # it votes again
			roll-out 2 floor=2 via c
			await epoch 2 all
			load off`, verdict{adopted: 2}},
		"shut out by the file's word: it ends": {Options{Members: 3, Alone: "mark", ShutOut: "exit"}, `
			start all
			await acts all
			hup c bad
			roll-out 4 floor=4 settings={"ceilings":{"attempts-cap":3}} via a
			await epoch 4 a,b
			await dead c`, verdict{adopted: 4, notAdopted: []string{"c"}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tc.o.Binary = filepath.Join(binaries, "ravendale")
			judge(t, tc.o, tc.script, tc.want)
		})
	}
}

// The checker is worth what it catches: the same faults, and a build that does not keep to the floor.
func TestAProcessBelowTheFloorIsCaught(t *testing.T) {
	t.Parallel()
	judge(t, Options{Binary: filepath.Join(binaries, "mutant"), Members: 3, Alone: "stop"}, `
		start all
		await acts all
		load on
		cut c|a,b
		roll-out 1 floor=1 via a
		await epoch 1 a,b
		pass 2500ms
		heal
		await epoch 1 c
		load off`, verdict{below: true, adopted: 1, straggled: []string{"c brought up"}})
}

func judge(t *testing.T, o Options, script string, want verdict) {
	t.Helper()
	o.Dir, o.Log = t.TempDir(), t.Logf
	b, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	if err := b.Run(script); err != nil {
		t.Error(err)
		logs(t, b)
		return
	}
	a, asked, err := b.Finish()
	if err != nil {
		t.Error(err)
		return
	}
	if len(a.Below) > 0 != want.below {
		t.Errorf("acts under the floor: %+v", a.Below)
	}
	var straggled, faults, gap []string
	for _, s := range a.Straggled {
		straggled = append(straggled, s.Member+" "+s.End)
	}
	for _, f := range a.Findings {
		if f.Kind == audit.Lost {
			gap = append(gap, f.Member)
		}
		if f.Kind.Fault() {
			faults = append(faults, f.Member+" "+string(f.Kind))
		}
	}
	if slices.Sort(straggled); !slices.Equal(straggled, want.straggled) {
		t.Errorf("stragglers %v, want %v: %+v", straggled, want.straggled, a.Straggled)
	}
	if slices.Sort(faults); !slices.Equal(slices.Compact(faults), want.faults) {
		t.Errorf("faults of records %v, want %v: %v", faults, want.faults, a.Findings)
	}
	if slices.Sort(gap); !slices.Equal(slices.Compact(gap), want.gap) {
		t.Errorf("gaps in the records of %v, want %v: %v", gap, want.gap, a.Findings)
	}
	for _, l := range a.Epochs {
		if l.Conflict {
			t.Errorf("two contents under one number: %+v", l)
		}
		if l.ID.Number == want.adopted && l.InForce > 0 && len(l.Adopted)+len(want.notAdopted) != o.Members {
			t.Errorf("epoch %v was adopted by %v", l.ID, l.Adopted)
		}
	}
	if want.adopted > 0 && !slices.ContainsFunc(a.Epochs, func(l audit.EpochHistory) bool { return l.ID.Number == want.adopted && l.InForce > 0 }) {
		t.Errorf("epoch %d was never in force: %+v", want.adopted, a.Epochs)
	}
	for _, x := range asked {
		if x.Wrong || x.Status != 200 && x.Status != 503 && (x.Status != 0 || !slices.Contains(want.restarted, x.Member)) {
			t.Errorf("a request of %s, sent %v after the begin, got %+v", x.Member, x.Sent.Sub(b.began).Round(time.Millisecond), x)
			break
		}
	}
	if strings.Contains(script, "load on") && len(asked) == 0 {
		t.Error("no client asked")
	}
	if t.Failed() {
		logs(t, b)
	}
}

func logs(t *testing.T, b *Bench) {
	files, _ := filepath.Glob(filepath.Join(b.o.Dir, "*", "log.*"))
	for _, f := range files {
		text, _ := os.ReadFile(f)
		t.Logf("%s:\n%s", f[len(b.o.Dir):], text)
	}
}
