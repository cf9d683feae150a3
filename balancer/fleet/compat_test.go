package fleet

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ravendale/balancer/audit"
)

// The files in testdata/compat were written by version a08c060. Members of different versions exchange messages during
// a rolling upgrade, and each reads the state that the previous version wrote.

var compatMessage = Message{
	Kind: Ping, From: "a", Inc: 1_764_000_001, Nonce: 0xfedcba9876543210, Number: 17,
	Accepted: ID{Number: 4, Digest: "aa"}, Adopted: ID{Number: 3, Digest: "bb"}, Force: ID{Number: 2, Digest: "cc"},
	Against: 5, Floor: 1, Amnesiac: true, YouInc: 1_764_000_002, YouVote: 6, YouNonce: 0x0123456789abcdef,
	ID: ID{Number: 7, Digest: "dd"}, Content: []byte(`{"number":7}`),
	Stamp: audit.Stamp{Wall: 1_764_000_000_123, Tick: 9}, Mono: 5678, Wall: 1_764_000_000_456,
	Head: audit.Head{Incarnation: 1_764_000_003, Seq: 99, Hash: "0123456789abcdef0123456789abcdef"},
}

func compatMessages() map[string]Message {
	all := map[string]Message{"word_least": {Kind: Ping, From: "a"}}
	for _, kind := range []string{Ping, Pong, Stale, Leave, Want, Have, Busy} {
		w := compatMessage
		w.Kind = kind
		all["word_"+kind] = w
	}
	return all
}

var compatState = State{
	Incarnation: 1_764_000_001, Accepted: ID{Number: 4, Digest: "aa"}, Adopted: ID{Number: 3, Digest: "bb"}, Promised: 5, Against: 6,
	Amnesiac: true, Floor: 2, Peers: map[string]PeerMemory{"b": {Inc: 7, Vote: 8}, "c": {Inc: 9}},
	Contents: [][]byte{[]byte(`{"number":4}`), []byte(`{"number":3}`)},
}

func compatJSON[T any](t *testing.T, name string, value T) {
	t.Helper()
	golden, err := os.ReadFile(filepath.Join("testdata", "compat", name+".json"))
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

func TestGoldenMessagesReadAndWriteTheSame(t *testing.T) {
	for name, word := range compatMessages() {
		compatJSON(t, name, word)
	}
}

func TestGoldenStateReadsAndWritesTheSame(t *testing.T) {
	compatJSON(t, "state", compatState)
	compatJSON(t, "state_least", State{Incarnation: 1})
}

func TestGoldenEpochsReadAndWriteTheSame(t *testing.T) {
	for name, want := range map[string]Epoch{
		"epoch": {Number: 41, Floor: 40, Within: 1500 * time.Millisecond, Build: 2,
			Settings: json.RawMessage(`{"ceilings":{"attempts-cap":3}}`)},
		"epoch_least": {Number: 1},
	} {
		golden, err := os.ReadFile(filepath.Join("testdata", "compat", name+".json"))
		if err != nil {
			t.Fatal(err)
		}
		golden = bytes.TrimSuffix(golden, []byte("\n"))
		got, err := Unpack(golden)
		if err != nil {
			t.Fatal(err)
		}
		want.ID, want.Content = ID{Number: want.Number, Digest: compatDigests[name]}, golden
		if diff := cmp.Diff(&want, got); diff != "" {
			t.Errorf("%s reads as another value (-want +got):\n%s", name, diff)
		}
		again, err := Pack(*got)
		if err != nil || !bytes.Equal(again.Content, golden) || again.ID != got.ID {
			t.Errorf("%s is written as\n%s\nnot as\n%s (%v)", name, again.Content, golden, err)
		}
	}
}

// compatDigests are the digests of the golden epochs, by which members vote for them.
var compatDigests = map[string]string{
	"epoch":       "a41891218cd2241cb539c1c1788673971d9b8dc913954ecf120e3386a39e8e22",
	"epoch_least": "bf2363d05dbcd7836d5ce4171265767348e2fbf48ca0a22e60cbc871254d5925",
}
