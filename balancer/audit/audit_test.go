package audit

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// testWriter is a member that writes a record, on a simulated clock.
type testWriter struct {
	*Log
	name        string
	clock       Clock
	now         *int64 // true time, in milliseconds
	clockOffset int64  // error of its wall clock
	startedAt   int64
	incarnation uint64
}

func openWriter(dir, name string, inc uint64, now *int64, off int64, o Options) *testWriter {
	w := &testWriter{name: name, now: now, clockOffset: off, startedAt: *now, incarnation: inc}
	o.Dir, o.Member, o.Incarnation, o.Sync = dir, name, inc, time.Microsecond
	o.Wall, o.Mono = func() int64 { return *now + w.clockOffset }, func() int64 { return *now - w.startedAt }
	var before Head
	w.Log, before = Open(o)
	w.add(Entry{Kind: Start, Before: &before, Trust: 1000})
	return w
}

func (w *testWriter) add(e Entry) {
	e.At = w.clock.Now(*w.now + w.clockOffset)
	w.Add(e)
}

// waitUntilDurable waits until the entry seq is on disk and returns the head.
func (w *testWriter) waitUntilDurable(t *testing.T, seq uint64) Head {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); w.Head().Seq < seq; {
		if time.Now().After(end) {
			t.Fatalf("%s: entry %d was not written to disk", w.name, seq)
		}
		time.Sleep(100 * time.Microsecond)
	}
	return w.Head()
}

func span(epoch *ID, since int64, taken int) Entry {
	return Entry{Kind: Span, Epoch: epoch, Since: since, Sent: taken, Classes: map[string]Count{"saldo": {Taken: taken, Served: taken}}}
}

// fleetRecord writes the records of three members: a and b adopt epoch 7 in time; c, whose clock is 5 s ahead and steps
// back 9 s, adopts it 400 ms after the floor's deadline.
func fleetRecord(t *testing.T, dir string, o Options, cActs bool) {
	now := int64(1_700_000_000_000)
	id := &ID{7, strings.Repeat("7", 64)}
	var all []*testWriter
	for i, name := range []string{"a", "b", "c"} {
		all = append(all, openWriter(dir, name, 3, &now, int64(i)*2500, o))
		now += 137 // their monotonic clocks start at different times
	}
	yes, no, begun := true, false, now
	a, c := all[0], all[2]
	witness := func() {
		for _, w := range all {
			w.waitUntilDurable(t, 1)
		}
		for _, w := range all {
			seen := make(map[string]Seen)
			for _, p := range all {
				if p != w {
					seen[p.name] = Seen{Head: p.Head(), OffMs: w.startedAt - p.startedAt, ErrMs: 2}
				}
			}
			w.add(Entry{Kind: Witness, Seen: seen})
		}
	}
	witness()
	for _, w := range all {
		w.add(Entry{Kind: Standing, Acts: &yes})
	}
	now += 1000
	for _, w := range all[:2] {
		w.add(Entry{Kind: InForce, Epoch: id})
		w.add(Entry{Kind: Adopted, Epoch: id, Floor: 7, Within: 2000, From: "a"})
	}
	for i := range 8 { // the deadline is 3000 ms after this
		if i == 3 {
			c.clockOffset -= 9000
			a.clockOffset += 7000 // the reference clock steps too
			witness()
		}
		since := *c.now - c.startedAt
		now += 400
		for _, w := range all[:2] {
			w.add(span(id, since, 5))
		}
		c.add(span(nil, since, 5))
	}
	if cActs {
		now += 600
		c.add(span(nil, *c.now-c.startedAt-50, 4))
	} else {
		c.add(Entry{Kind: Standing, Acts: &no, Why: "alone"})
	}
	now = begun + 1000 + 3000 + 400 + map[bool]int64{true: 600}[cActs]
	c.add(Entry{Kind: Adopted, Epoch: id, Floor: 7, Within: 2000, From: "b"})
	c.add(Entry{Kind: Standing, Acts: &yes})
	for _, w := range all {
		w.add(Entry{Kind: "of the next version", Command: "kept"})
		w.add(Entry{Kind: Stop})
		w.Close()
	}
}

func findingKinds(a *Audit, of string) (all []string) {
	for _, f := range a.Findings {
		if f.Member == of && f.Kind != Foreign {
			all = append(all, string(f.Kind))
		}
	}
	return all
}

func TestAuditOfThreeMembers(t *testing.T) {
	for _, acts := range []bool{false, true} {
		dir := t.TempDir()
		fleetRecord(t, dir, Options{}, acts)
		a, err := Read(dir)
		if err != nil {
			t.Fatal(err)
		}
		foreign := 0
		for _, f := range a.Findings {
			if f.Kind != Foreign {
				t.Errorf("invented: %v", f)
			}
			foreign++
		}
		if foreign != 3 {
			t.Errorf("%d of 3 entries of another version are reported: %v", foreign, a.Findings)
		}
		if len(a.Straggled) != 1 || a.Straggled[0].Member != "c" || len(a.Below) > 0 != acts || a.Broken() != acts {
			t.Errorf("acts %v: stragglers %+v, below %+v", acts, a.Straggled, a.Below)
		}
		if s := a.Straggled[0]; acts && (s.End != "brought up" || s.AfterMs < 500 || s.AfterMs > 1500) || !acts && s.End != "shut out" {
			t.Errorf("acts %v: %+v", acts, s)
		}
		under := a.EpochsAt(a.Epochs[0].InForce + 500)
		if under["a"].Number != 7 || under["c"].Number != 0 {
			t.Errorf("epochs of the members: %v", under)
		}
	}
}

// tamperCases are changes to a record, with the finding that each must cause.
var tamperCases = map[string]struct {
	do   func(t *testing.T, file string)
	want []FindingKind // at least one of them must be found
}{
	"removed line": {func(t *testing.T, file string) {
		editLines(t, file, func(l [][]byte) [][]byte { return slices.Delete(l, 5, 6) })
	}, []FindingKind{Missing}},
	"swapped lines": {func(t *testing.T, file string) {
		editLines(t, file, func(l [][]byte) [][]byte { l[5], l[6] = l[6], l[5]; return l })
	}, []FindingKind{Reordered, Missing}},
	"altered line": {func(t *testing.T, file string) {
		editLines(t, file, func(l [][]byte) [][]byte {
			l[6] = bytes.Replace(l[6], []byte(`"seq":`), []byte(`"peer":"x","seq":`), 1)
			return l
		})
	}, []FindingKind{Altered}},
	"line of noise": {func(t *testing.T, file string) {
		editLines(t, file, func(l [][]byte) [][]byte { return slices.Insert(l, 6, []byte("noise\n")) })
	}, []FindingKind{Altered}},
	"repeated line": {func(t *testing.T, file string) {
		editLines(t, file, func(l [][]byte) [][]byte { return slices.Insert(l, 6, bytes.Clone(l[5])) })
	}, []FindingKind{Reordered}},
	"record cut off before the head that peers received": {func(t *testing.T, file string) {
		editLines(t, file, func(l [][]byte) [][]byte { return l[:1] })
	}, []FindingKind{Missing}},
	"altered and chained anew": {func(t *testing.T, file string) {
		editLines(t, file, func(l [][]byte) [][]byte {
			prev := ""
			for i, line := range l {
				text := bytes.TrimSuffix(line[2*hashSize+1:], []byte("\n"))
				if i == 1 {
					text = bytes.Replace(text, []byte(`"kind"`), []byte(`"peer":"x","kind"`), 1)
				}
				prev = chain(prev, text)
				l[i] = append([]byte(prev+" "), append(text, '\n')...)
			}
			return l
		})
	}, []FindingKind{Altered}},
	"emptied file": {func(t *testing.T, file string) {
		if err := os.WriteFile(file, nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}, []FindingKind{Missing}},
}

func editLines(t *testing.T, file string, change func([][]byte) [][]byte) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	lines := bytes.SplitAfter(bytes.TrimSuffix(text, []byte("\n")), []byte("\n"))
	lines[len(lines)-1] = append(bytes.Clone(lines[len(lines)-1]), '\n')
	if err := os.WriteFile(file, bytes.Join(change(lines), nil), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestTamperingIsDetected(t *testing.T) {
	for name, tc := range tamperCases {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			fleetRecord(t, dir, Options{}, false)
			files, err := memberFiles(dir, "b")
			if err != nil || len(files) != 1 {
				t.Fatal(files, err)
			}
			tc.do(t, files[0].path)
			a, err := Read(dir)
			if err != nil {
				t.Fatal(err)
			}
			found := findingKinds(a, "b")
			if !slices.ContainsFunc(found, func(k string) bool { return slices.Contains(tc.want, FindingKind(k)) }) {
				t.Errorf("found %v, want one of %v: %v", found, tc.want, a.Findings)
			}
			if others := append(findingKinds(a, "a"), findingKinds(a, "c")...); len(others) > 0 {
				t.Errorf("invented: %v", a.Findings)
			}
		})
	}
}

// A crash may truncate the last line at any byte. That does not count as tampering, and the next process continues
// after the last complete line.
func TestTruncatedLastLineIsTorn(t *testing.T) {
	dir := t.TempDir()
	fleetRecord(t, dir, Options{}, false)
	files, _ := memberFiles(dir, "a")
	text, err := os.ReadFile(files[0].path)
	if err != nil {
		t.Fatal(err)
	}
	last := bytes.LastIndexByte(text[:len(text)-1], '\n') + 1
	for cut := last + 1; cut < len(text); cut += 7 {
		if err := os.WriteFile(files[0].path, text[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		r, err := readMember(dir, "a")
		if err != nil || len(r.findings) != 2 || r.findings[1].Kind != Torn {
			t.Fatalf("cut at %d of %d: %v, %v", cut, len(text), r.findings, err)
		}
	}
	now := int64(1_700_000_100_000)
	w := openWriter(dir, "a", 4, &now, 0, Options{})
	w.Close()
	if a, err := Read(dir); err != nil || slices.ContainsFunc(a.Findings, func(f Finding) bool { return f.Kind.Fault() }) {
		t.Error(a.Findings, err)
	}
}

// The hash chain is intact if a new process continues on a disk restored to an older state. The heads that peers
// received show that entries are missing.
func TestRolledBackDiskIsDetected(t *testing.T) {
	dir := t.TempDir()
	now := int64(1_700_000_000_000)
	a, b := openWriter(dir, "a", 1, &now, 0, Options{}), openWriter(dir, "b", 1, &now, 0, Options{})
	a.waitUntilDurable(t, 1)
	files, _ := memberFiles(dir, "a")
	old, err := os.ReadFile(files[0].path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 5 {
		a.add(Entry{Kind: Command, Command: fmt.Sprint(i)})
	}
	b.add(Entry{Kind: Witness, Seen: map[string]Seen{"a": {Head: a.waitUntilDurable(t, 6)}}})
	a.Close()
	b.Close()
	if err := os.WriteFile(files[0].path, old, 0o600); err != nil {
		t.Fatal(err)
	}
	openWriter(dir, "a", 2, &now, 0, Options{}).Close()
	read, err := Read(dir)
	if err != nil || !slices.Contains(findingKinds(read, "a"), string(RolledBack)) {
		t.Error(read.Findings, err)
	}
}

// brokenDisk is a file whose writes or fsyncs fail while the flags are set.
type brokenDisk struct {
	*os.File
	write, sync *atomic.Bool
}

func (d brokenDisk) Write(b []byte) (int, error) {
	if d.write.Load() {
		n, _ := d.File.Write(b[:len(b)/2])
		return n, errors.New("no space left on device")
	}
	return d.File.Write(b)
}

func (d brokenDisk) Sync() error {
	if d.sync.Load() {
		return errors.New("input/output error")
	}
	return d.File.Sync()
}

func TestFailingDiskIsNoFault(t *testing.T) {
	for _, tc := range []struct {
		what string
		came int // number of entries added while the disk failed
		gap  bool
	}{{"write", 3, false}, {"sync", 3, false}, {"write", 20, true}} {
		dir := t.TempDir()
		now := int64(1_700_000_000_000)
		var write, sync atomic.Bool
		o := Options{Retry: time.Microsecond, Queue: 8, Create: func(path string) (File, error) {
			f, err := os.Create(path)
			return brokenDisk{f, &write, &sync}, err
		}}
		w := openWriter(dir, "a", 1, &now, 0, o)
		w.waitUntilDurable(t, 1)
		write.Store(tc.what == "write")
		sync.Store(tc.what == "sync")
		for i := range tc.came {
			w.add(Entry{Kind: Command, Command: fmt.Sprint(i)})
		}
		for w.Figures().Failures == 0 {
			time.Sleep(100 * time.Microsecond)
		}
		write.Store(false)
		sync.Store(false)
		w.waitUntilDurable(t, 4)
		w.add(Entry{Kind: Command, Command: "after"})
		w.Close()
		a, err := Read(dir)
		if err != nil {
			t.Fatal(err)
		}
		var words []string
		for _, e := range a.Timeline {
			words = append(words, e.Kind+e.Command)
		}
		var want []string
		if tc.gap {
			want = []string{string(Lost)}
		}
		if diff := cmp.Diff(want, findingKinds(a, "a")); diff != "" {
			t.Errorf("%+v: %s %v", tc, diff, a.Findings)
		}
		if !tc.gap && cmp.Diff([]string{"start", "command0", "command1", "command2", "commandafter"}, words) != "" || words[len(words)-1] != "commandafter" {
			t.Errorf("%+v: %v", tc, words)
		}
	}
}

// The size limit holds: the oldest spans are replaced by sums with the same totals, and nothing counts as tampering.
func TestSizeLimitFoldsOldestSpans(t *testing.T) {
	dir := t.TempDir()
	now := int64(1_700_000_000_000)
	w := openWriter(dir, "a", 1, &now, 0, Options{Segment: 4 << 10, MaxBytes: 24 << 10})
	id := &ID{3, "abc"}
	for i := range 400 {
		w.add(span(id, 0, 2))
		w.waitUntilDurable(t, uint64(i+2))
	}
	w.add(Entry{Kind: Command, Command: "kept"})
	w.Close()
	a, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	taken := 0
	for _, e := range a.Timeline {
		taken += e.Classes["saldo"].Taken
	}
	if taken != 800 || w.Figures().Bytes > 24<<10 {
		t.Errorf("%d taken of 800, %d bytes", taken, w.Figures().Bytes)
	}
	for _, f := range a.Findings {
		if f.Kind != Folded {
			t.Errorf("invented: %v", f)
		}
	}
}

// The timeline does not depend on the order of the directories.
func TestTimelineIndependentOfDirectoryOrder(t *testing.T) {
	var dirs []string
	now := int64(1_700_000_000_000)
	for i, name := range []string{"a", "b", "c", "d"} {
		dir := filepath.Join(t.TempDir(), name)
		w := openWriter(dir, name, 1, &now, int64(i)*700, Options{})
		for j := range 5 {
			now += int64(i*j) % 3
			w.add(Entry{Kind: Command, Command: fmt.Sprint(j)})
		}
		w.Close()
		dirs = append(dirs, dir)
	}
	want, err := Read(dirs...)
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		got, err := Read(rapid.Permutation(dirs).Draw(t, "order")...)
		if diff := cmp.Diff(want.Timeline, got.Timeline) + cmp.Diff(want.Findings, got.Findings); err != nil || diff != "" {
			t.Error(err, diff)
		}
	})
}

// Arbitrary bytes result in findings, never in a panic.
func FuzzRecord(f *testing.F) {
	line, _, _ := appendLine(nil, "", &Entry{Kind: Segment, Name: "a", Incarnation: 1, Number: 1})
	f.Add(line)
	f.Add(append(line, "0123 {}\n"...))
	f.Fuzz(func(t *testing.T, text []byte) {
		r := &Record{Member: "a", hashes: make(map[Head]bool), ends: make(map[uint64]uint64), folds: make(map[uint64]uint64)}
		r.read(memberFile{"a.1.1.audit", 1, 1, 0}, text, true, true)
		a := &Audit{Members: []string{"a"}, records: map[string]*Record{"a": r}}
		a.checkWitnesses()
		a.align()
		a.evaluate()
	})
}
