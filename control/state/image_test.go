package state

import (
	"encoding/binary"
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

func newFilledMachine(t *testing.T) *Machine {
	m := NewMachine()
	set(t, m, 0, document(5))
	patch(t, m, 5, `{"version":7,"upsert":{"routes":[`+route("a")+`]}}`)
	apply(t, m, &TakeTerm{Candidate: "a"})
	apply(t, m, &PutPlacement{Term: 1, View: view(1, 0, 1)})
	apply(t, m, &PutMembers{Term: 1, Edges: []wire.Edge{{ID: "e", Node: "n", Address: "a:1", Zone: "z", Region: "r", Ready: true}}})
	return m
}

func TestSnapshotContainsCompleteState(t *testing.T) {
	m := newFilledMachine(t)
	restored := NewMachine()
	require.NoError(t, restored.Restore(m.Snapshot()))
	require.Equal(t, m.Current(), restored.Current())
	require.Equal(t, m.Snapshot(), restored.Snapshot())
	require.Equal(t, OutcomeDuplicate, set(t, restored, 0, document(5)).Outcome)
	require.Equal(t, OutcomeApplied, patch(t, restored, 7, `{"version":8,"delete":{"routes":["a"]}}`).Outcome)
	require.Equal(t, uint64(2), apply(t, restored, &TakeTerm{}).Term)
}

func TestRestoreEmptySnapshot(t *testing.T) {
	m := newFilledMachine(t)
	require.NoError(t, m.Restore(NewMachine().Snapshot()))
	require.Equal(t, NewMachine().Current(), m.Current())
	require.Equal(t, OutcomeApplied, set(t, m, 0, document(5)).Outcome)
}

func TestRestoredStateDoesNotAliasSnapshot(t *testing.T) {
	m := newFilledMachine(t)
	snapshot := m.Snapshot()
	restored := NewMachine()
	require.NoError(t, restored.Restore(snapshot))
	clear(snapshot)
	require.Equal(t, m.Current(), restored.Current())
}

func TestDamagedSnapshotsChangeNoState(t *testing.T) {
	snapshot := newFilledMachine(t).Snapshot()
	m := NewMachine()
	set(t, m, 0, document(1))
	before, history := m.Current(), m.Snapshot()
	requireDamaged := func(damaged []byte, what string, at int) {
		require.ErrorIs(t, m.Restore(damaged), ErrDamaged, "%s at %d", what, at)
		require.Same(t, before, m.Current())
	}
	for i := range snapshot {
		requireDamaged(snapshot[:i], "truncated", i)
		flipped := append([]byte(nil), snapshot...)
		flipped[i] ^= 1 << (i % 8)
		requireDamaged(flipped, "bit flipped", i)
	}
	requireDamaged(append(append([]byte(nil), snapshot...), 0), "extra byte", len(snapshot))
	require.Equal(t, history, m.Snapshot())
}

func withChecksum(body []byte) []byte { return binary.BigEndian.AppendUint64(body, xxhash.Sum64(body)) }

func TestUnknownSnapshotFormatIsRejected(t *testing.T) {
	snapshot := newFilledMachine(t).Snapshot()
	body := snapshot[:len(snapshot)-checksumSize]
	binary.BigEndian.PutUint16(body[len(magic):], formatNumber+1)
	require.ErrorIs(t, NewMachine().Restore(withChecksum(body)), ErrFormat)
}

func TestInvalidSnapshotContentIsRejected(t *testing.T) {
	head := binary.BigEndian.AppendUint16([]byte(magic), formatNumber)
	require.ErrorIs(t, NewMachine().Restore(withChecksum(append(head, 0xc1))), ErrDamaged)
	snapshot := newFilledMachine(t).Snapshot()
	body := append([]byte(nil), snapshot[:len(snapshot)-checksumSize]...)
	require.ErrorIs(t, NewMachine().Restore(withChecksum(append(body, 0))), ErrDamaged)
}

func TestHistoryKeepsNewestEntries(t *testing.T) {
	m := NewMachine()
	add := func(from, to int) {
		for i := from; i < to; i++ {
			m.history.add(digestOf(KindSet, uint64(i), nil), uint64(i))
		}
	}
	add(0, historyLength+10)
	requireKnown := func(m *Machine, from, to int) {
		for _, i := range []int{from, from + 1, to - 1} {
			version, ok := m.history.find(digestOf(KindSet, uint64(i), nil))
			require.True(t, ok, i)
			require.Equal(t, uint64(i), version)
		}
		_, ok := m.history.find(digestOf(KindSet, uint64(from-1), nil))
		require.False(t, ok)
	}
	requireKnown(m, 10, historyLength+10)
	restored := NewMachine()
	require.NoError(t, restored.Restore(m.Snapshot()))
	require.Equal(t, m.Snapshot(), restored.Snapshot())
	m = restored
	add(historyLength+10, historyLength+20)
	requireKnown(m, 20, historyLength+20)
	require.GreaterOrEqual(t, historyLength, 4096)
}

// FuzzApply verifies that two machines return equal results for any input, and that a machine restored from a snapshot
// continues like the original.
func FuzzApply(f *testing.F) {
	for _, command := range []Command{&Set{Body: []byte(document(1))}, &Patch{Base: 1, Body: []byte(`{"version":2}`)}, &TakeTerm{}, &PutPlacement{Term: 1, View: view(1, 0)}, &Show{}} {
		encoded, err := Encode(command)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded, encoded)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		one, other := NewMachine(), NewMachine()
		require.Equal(t, one.Apply(first), other.Apply(first))
		restored := NewMachine()
		require.NoError(t, restored.Restore(one.Snapshot()))
		require.Equal(t, one.Apply(second), restored.Apply(second), fmt.Sprintf("%x", second))
		require.Equal(t, one.Snapshot(), restored.Snapshot())
	})
}

// duplicateOutcomesAfterRestore applies a number of changes to one machine and restores its snapshot into a second one.
// It returns the outcomes of repeating the newest change on the first and on the second machine.
func duplicateOutcomesAfterRestore(t *testing.T, changes int, dropsHistory bool) (outcomes [2]Outcome) {
	t.Helper()
	first := NewMachine()
	for base := range changes {
		require.Equal(t, OutcomeApplied, set(t, first, uint64(base), document(base+1)).Outcome)
	}
	second := NewMachine()
	second.mutations.dropsHistory = dropsHistory
	require.NoError(t, second.Restore(first.Snapshot()))
	for i, machine := range []*Machine{first, second} {
		outcomes[i] = set(t, machine, uint64(changes-1), document(changes)).Outcome
	}
	return outcomes
}

// TestDuplicateIsRecognizedAfterRestore repeats a change on a machine that has it only from a restored snapshot.
func TestDuplicateIsRecognizedAfterRestore(t *testing.T) {
	for _, changes := range []int{1, 100, historyLength + 100} {
		require.Equal(t, [2]Outcome{OutcomeDuplicate, OutcomeDuplicate}, duplicateOutcomesAfterRestore(t, changes, false))
	}
}

func TestRestoreWithoutHistoryIsDetected(t *testing.T) {
	require.Equal(t, [2]Outcome{OutcomeDuplicate, OutcomeUnsure}, duplicateOutcomesAfterRestore(t, 100, true))
}
