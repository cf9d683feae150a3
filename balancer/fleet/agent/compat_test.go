package agent

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ravendale/balancer/audit"
	"ravendale/balancer/fleet"
)

// The files in testdata/compat were written by version a08c060.

func compatFile(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", "compat", name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestGoldenStateFileReadsAndWritesTheSame(t *testing.T) {
	golden := compatFile(t, "state")
	got, err := parseState(golden)
	if err != nil {
		t.Fatal(err)
	}
	want := fleet.State{
		Incarnation: 1_764_000_001, Accepted: fleet.ID{Number: 4, Digest: "aa"}, Adopted: fleet.ID{Number: 3, Digest: "bb"}, Promised: 5,
		Against: 6, Amnesiac: true, Floor: 2, Peers: map[string]fleet.PeerMemory{"b": {Inc: 7, Vote: 8}, "c": {Inc: 9}},
		Contents: [][]byte{[]byte(`{"number":4}`), []byte(`{"number":3}`)},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("the file reads as another value (-want +got):\n%s", diff)
	}
	path := filepath.Join(t.TempDir(), "state")
	if err := saveState(path, &got); err != nil {
		t.Fatal(err)
	}
	if b, err := os.ReadFile(path); err != nil || !bytes.Equal(b, golden) {
		t.Errorf("it is written as\n%s\nnot as\n%s (%v)", b, golden, err)
	}
}

func compatJSON[T any](t *testing.T, name string, value T) {
	t.Helper()
	golden := compatFile(t, name)
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

func TestGoldenStatusReadsAndWritesTheSame(t *testing.T) {
	head := audit.Head{Incarnation: 1_764_000_003, Seq: 99, Hash: "0123456789abcdef0123456789abcdef"}
	compatJSON(t, "status.json", Status{
		Error: "an error", Name: "a", Inc: 1_764_000_001, Build: "1", Acting: audit.ID{Number: 3, Digest: "bb"},
		Vote: audit.ID{Number: 4, Digest: "aa"}, Force: audit.ID{Number: 2, Digest: "cc"}, Amnesiac: true, Votes: true,
		Standing: fleet.Standing{Acts: true, Marked: true, Why: fleet.WhyAlone},
		Record:   audit.Figures{Written: 1, Lost: 2, Failures: 3, Bytes: 4},
		Head:     head, Refused: 5,
		Peers: map[string]PeerStatus{"b": {State: fleet.OneWay, Inc: 6, Acting: audit.ID{Number: 7, Digest: "dd"},
			Vote: audit.ID{Number: 8, Digest: "ee"}, HeardMs: 9, AnsweredMs: -1, Link: "down: nothing heard", SkewMs: 11, Bytes: 12, Dropped: 13}},
	})
	compatJSON(t, "status_least.json", Status{Name: "a"})
}

func TestGoldenRequestsReadAndWriteTheSame(t *testing.T) {
	compatJSON(t, "request_status.json", request{Verb: "status"})
	compatJSON(t, "request_roll_out.json", request{Verb: "roll-out", Content: json.RawMessage(`{"number":4,"floor":0,"within_ms":0}`)})
}
