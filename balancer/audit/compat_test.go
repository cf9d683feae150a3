package audit

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The files in testdata/compat were written by version a08c060. Records are read for years, and each line has a hash,
// so their encoding must not change.

const (
	compatRecord = "a.00000000001764000001.000001.audit" // a segment with an entry of each kind
	compatFold   = "folded.00000000001764000001.000001.audit"
)

func compatFile(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", "compat", name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// compatEntries returns the entries of the golden record. Each field is set in at least one of them.
func compatEntries(member string) []Entry {
	yes, no := true, false
	epoch := &ID{Number: 4, Digest: "09a02fd4bfa39cb8a5dcbc0b1c4d2e7e"}
	at := func(n int64, e Entry) Entry {
		e.Seq, e.At, e.Wall, e.Mono = uint64(n), Stamp{Wall: 1_764_000_000_000 + n, Tick: uint32(n % 3)}, 1_764_000_000_500+n, 10*n
		return e
	}
	head := Head{Incarnation: 1_764_000_000, Seq: 12, Hash: "0123456789abcdef0123456789abcdef"}
	return []Entry{
		at(0, Entry{Kind: Segment, Name: member, Incarnation: 1_764_000_001, Number: 1, Prev: head.Hash}),
		at(1, Entry{Kind: Start, Before: &head, Build: "1", File: "f00d", Settings: "beef", Trust: 5000}),
		at(2, Entry{Kind: Proposed, Epoch: epoch}),
		at(3, Entry{Kind: Accepted, Epoch: epoch, Floor: 3}),
		at(4, Entry{Kind: InForce, Epoch: epoch, Floor: 3, Within: 1500}),
		at(5, Entry{Kind: Adopted, Epoch: epoch, Floor: 3, From: "b"}),
		at(6, Entry{Kind: Refused, Epoch: epoch, Peer: "b", Why: "a word of another"}),
		at(7, Entry{Kind: Standing, Acts: &no, Why: "below floor"}),
		at(8, Entry{Kind: Standing, Acts: &yes, Marked: true, Why: "alone"}),
		at(9, Entry{Kind: Member, Peer: "b", State: "half"}),
		at(10, Entry{Kind: Command, Command: "detach worker-1"}),
		at(11, Entry{Kind: List, List: 41}),
		at(12, Entry{Kind: Span, Epoch: epoch, Since: 7, Marked: true, Sent: 8, List: 41,
			Classes: map[string]Count{"pay": {Taken: 1, Served: 2, Refused: 3, Failed: 4}, "view": {Taken: 5}}}),
		at(13, Entry{Kind: Span, Epoch: epoch, Since: 8, Marked: true, Sent: 2, Classes: map[string]Count{"view": {Taken: 1, Served: 1}}}),
		at(14, Entry{Kind: Span, Since: 9, Sent: 1, Classes: map[string]Count{"view": {Failed: 1}}}),
		at(15, Entry{Kind: Gap, Lost: 3}),
		at(16, Entry{Kind: Witness, Seen: map[string]Seen{"b": {Head: head, OffMs: -5, ErrMs: 2}}}),
		at(17, Entry{Kind: Amnesiac, Why: "peers remember more"}),
		at(18, Entry{Kind: "of-a-later-version", Why: "kept"}),
		at(19, Entry{Kind: Stop, Why: "stopped"}),
	}
}

func TestGoldenRecordReadsAndWritesTheSame(t *testing.T) {
	golden := compatFile(t, compatRecord)
	lines := bytes.Split(bytes.TrimSuffix(golden, []byte("\n")), []byte("\n"))
	want := compatEntries("a")
	if len(lines) != len(want) {
		t.Fatalf("%d lines, not %d", len(lines), len(want))
	}
	var written []byte
	prev := peekPrev(lines[0])
	for i, line := range lines {
		e, hash, err := readLine(prev, line)
		if err != nil {
			t.Fatalf("line %d: %v", i+1, err)
		}
		if diff := cmp.Diff(&want[i], e); diff != "" {
			t.Errorf("line %d reads as another entry (-want +got):\n%s", i+1, diff)
		}
		if written, _, err = appendLine(written, prev, e); err != nil {
			t.Fatal(err)
		}
		prev = hash
	}
	if !bytes.Equal(written, golden) {
		t.Errorf("the record is written as\n%s\nnot as\n%s", written, golden)
	}
}

func TestGoldenFoldReadsAndWritesTheSame(t *testing.T) {
	golden := compatFile(t, compatFold)
	path := filepath.Join(t.TempDir(), compatFold)
	segment, prev := []byte(nil), compatEntries("folded")[0].Prev
	for _, e := range compatEntries("folded") {
		var err error
		if segment, prev, err = appendLine(segment, prev, &e); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(path, segment, 0o644); err != nil {
		t.Fatal(err)
	}
	if n := foldFile(path); n != int64(len(golden)) {
		t.Errorf("the fold has %d bytes, not %d", n, len(golden))
	}
	if folded, err := os.ReadFile(path); err != nil || !bytes.Equal(folded, golden) {
		t.Errorf("the record is folded to\n%s\nnot to\n%s (%v)", folded, golden, err)
	}
	lines := bytes.Split(bytes.TrimSuffix(golden, []byte("\n")), []byte("\n"))
	_, hash, err := readLine(peekPrev(lines[0]), lines[0])
	if err != nil {
		t.Fatal(err)
	}
	fold, _, err := readLine(hash, lines[1])
	if err != nil {
		t.Fatal(err)
	}
	want := compatEntries("folded")
	sum := want[13]
	sum.Since, sum.List, sum.Sent = 7, 41, 10
	sum.Classes = map[string]Count{"pay": {Taken: 1, Served: 2, Refused: 3, Failed: 4}, "view": {Taken: 6, Served: 1}}
	if fold.Kind != Fold || fold.Upto != 19 || len(fold.Kept) != 16 || fold.Before == nil || fold.Before.Seq != 19 || fold.Before.Hash != prev {
		t.Errorf("the fold reads as %+v", fold)
	}
	if diff := cmp.Diff([]Entry{sum, want[14]}, fold.Spans); diff != "" {
		t.Errorf("the sums read as others (-want +got):\n%s", diff)
	}
}

// Tools parse the output of `ravendale audit -json`.
func TestGoldenAuditIsPrintedTheSame(t *testing.T) {
	a, err := Read(filepath.Join("testdata", "compat"))
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	enc := json.NewEncoder(&text)
	enc.SetIndent("", "  ")
	if err := enc.Encode(a); err != nil {
		t.Fatal(err)
	}
	if golden := compatFile(t, "audit.json"); !bytes.Equal(text.Bytes(), golden) {
		t.Errorf("the audit is printed otherwise (-want +got):\n%s", cmp.Diff(string(golden), text.String()))
	}
	const straggler = `{"Member":"c","Epoch":{"number":4,"digest":"aa"},"End":"shut out","AfterMs":12,"From":"b"}`
	got, err := json.Marshal(Straggler{Member: "c", Epoch: ID{Number: 4, Digest: "aa"}, End: "shut out", AfterMs: 12, From: "b"})
	if err != nil || string(got) != straggler {
		t.Errorf("a straggler is printed as %s, %v", got, err)
	}
}
