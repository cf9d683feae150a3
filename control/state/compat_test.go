package state

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/wire"
)

func golden(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", "compat", name))
	require.NoError(t, err)
	return content
}

var (
	sampleEdges = []wire.Edge{
		{ID: "e1", Node: "edge-1", Address: "10.0.1.1:7200", Zone: "a", Region: "north", Ready: true},
		{ID: "e2", Node: "edge-2", Address: "10.0.1.2:7200", Zone: "b", Region: "south", Ready: true},
	}
	samplePlacement = wire.StoreView{
		Epoch: 1, Copies: 2,
		Stores: []wire.Store{
			{Disk: "d0", Node: "store-1", Address: "10.0.2.1:7200", Zone: "a", Region: "north", Retiring: true},
			{Disk: "d1", Node: "store-2", Address: "10.0.2.2:7200", Zone: "b", Region: "south", Retiring: true},
			{Disk: "d2", Node: "store-3", Address: "10.0.2.3:7200", Zone: "c", Region: "south", Retiring: true},
		},
		Partitions: []wire.Placement{{Replicas: []uint16{1}, Joining: []uint16{2}, Former: []uint16{0}, Covered: true, Unsure: true}},
	}
)

// sampleCommands returns one command of each kind, with the name used in its golden file, in the order in which
// TestSnapshotAndResultBytesAreStable applies them.
func sampleCommands() []struct {
	name    string
	command Command
} {
	return []struct {
		name    string
		command Command
	}{
		{"set", &Set{Base: 0, Body: []byte(`{"version":5,"routes":[],"backends":[{"name":"s"}],"limits":{},"other":1.50}`)}},
		{"patch", &Patch{Base: 5, Body: []byte(`{"version":4294967303,"upsert":{"backends":[{"name":"n"}]}}`)}},
		{"show", &Show{}},
		{"take-term", &TakeTerm{Candidate: "10.0.0.1:7200"}},
		{"put-placement", &PutPlacement{Term: 1, View: samplePlacement}},
		{"barrier", &Barrier{}},
		{"put-members", &PutMembers{Term: 1, Edges: sampleEdges}},
	}
}

func TestCommandEncodingIsStable(t *testing.T) {
	for _, sample := range sampleCommands() {
		t.Run(sample.name, func(t *testing.T) {
			stored := golden(t, "command-"+sample.name+".bin")
			decoded, err := Decode(stored)
			require.NoError(t, err)
			require.Equal(t, sample.command, decoded)
			encoded, err := Encode(decoded)
			require.NoError(t, err)
			require.Equal(t, stored, encoded)
		})
	}
}

func TestResultEncodingIsStable(t *testing.T) {
	stored := golden(t, "result.bin")
	result, err := DecodeResult(stored)
	require.NoError(t, err)
	require.Equal(t, &Result{
		Outcome: OutcomeUnsure, Version: 0x100000000, Sequence: 300, Term: 0x10000, Epoch: 129,
		Findings: []Finding{{Place: "routes[0]", Reason: "first"}, {Place: "byte 20", Reason: "second"}}, Document: []byte("document"),
	}, result)
	encoded, err := result.MarshalMsg(nil)
	require.NoError(t, err)
	require.Equal(t, stored, encoded)

	numbers := []Outcome{
		OutcomeApplied, OutcomeDuplicate, OutcomeRefusedVersion, OutcomeInvalid, OutcomeStaleTerm, OutcomeStaleEpoch, OutcomeMalformed, OutcomeUnsure,
	}
	for i, outcome := range numbers {
		require.Equal(t, Outcome(i+1), outcome)
	}
}

func TestHistoryEntryEncodingIsStable(t *testing.T) {
	stored := golden(t, "history-entry.bin")
	var decoded entry
	rest, err := decoded.UnmarshalMsg(stored)
	require.NoError(t, err)
	require.Empty(t, rest)
	require.Equal(t, entry{Digest: digestOf(KindPatch, 0x0102030405060708, []byte("body")), Version: 0x100000000}, decoded)
	encoded, err := decoded.MarshalMsg(nil)
	require.NoError(t, err)
	require.Equal(t, stored, encoded)

	var streamed entry
	require.NoError(t, msgp.Decode(bytes.NewReader(stored), &streamed))
	require.Equal(t, decoded, streamed)
}

// TestSnapshotAndResultBytesAreStable applies one command of each kind, compares the results and the snapshot with the
// golden files, and restores the stored snapshot into another machine, which must then have the same state.
func TestSnapshotAndResultBytesAreStable(t *testing.T) {
	first := NewMachine()
	require.Equal(t, golden(t, "image-empty.bin"), first.Snapshot())
	for _, sample := range sampleCommands() {
		result := first.Apply(golden(t, "command-"+sample.name+".bin"))
		require.Equal(t, golden(t, "result-of-"+sample.name+".bin"), result, sample.name)
	}
	stored := golden(t, "image.bin")
	require.Equal(t, stored, first.Snapshot())

	restored := NewMachine()
	require.NoError(t, restored.Restore(stored))
	require.Equal(t, stored, restored.Snapshot())
	edges := []wire.Edge{sampleEdges[0], sampleEdges[1]}
	edges[0].Ready, edges[1].Ready = false, false
	require.Equal(t, &Snapshot{
		Document: []byte(`{"version":4294967303,"routes":[],"backends":[{"name":"s"},{"name":"n"}],"limits":{},"other":1.50}`),
		Version:  4294967303, Sequence: 2, Placement: &samplePlacement, Term: 1, Leader: "10.0.0.1:7200", Edges: edges,
	}, restored.Current())
	for _, repeated := range []string{"set", "patch"} {
		result, err := DecodeResult(restored.Apply(golden(t, "command-"+repeated+".bin")))
		require.NoError(t, err)
		require.Equal(t, OutcomeDuplicate, result.Outcome, repeated)
	}
	require.NoError(t, restored.Restore(golden(t, "image-empty.bin")))
	require.Equal(t, &Snapshot{}, restored.Current())
}
