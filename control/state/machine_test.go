package state

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

func document(version int, routes ...string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"backends":[{"name":"s","weird":1.50}],"limits":{}}`, version, strings.Join(routes, ","))
}

func route(name string) string {
	return fmt.Sprintf(`{"name":%q,"host":"h","pathPrefix":"/%s/","backend":"s","timeoutMs":100}`, name, name)
}

func apply(t *testing.T, m *Machine, command Command) *Result {
	t.Helper()
	encoded, err := Encode(command)
	require.NoError(t, err)
	result, err := DecodeResult(m.Apply(encoded))
	require.NoError(t, err)
	return result
}

func set(t *testing.T, m *Machine, base uint64, body string) *Result {
	t.Helper()
	return apply(t, m, &Set{Base: base, Body: []byte(body)})
}

func patch(t *testing.T, m *Machine, base uint64, body string) *Result {
	t.Helper()
	return apply(t, m, &Patch{Base: base, Body: []byte(body)})
}

func TestSetIsCompareAndSet(t *testing.T) {
	m := NewMachine()
	require.Equal(t, OutcomeRefusedVersion, set(t, m, 1, document(5)).Outcome, "the base of the first change is 0")
	taken := set(t, m, 0, document(5))
	require.Equal(t, OutcomeApplied, taken.Outcome)
	require.Equal(t, uint64(5), taken.Version)
	require.Equal(t, uint64(1), taken.Sequence)

	refused := set(t, m, 0, document(6))
	require.Equal(t, OutcomeRefusedVersion, refused.Outcome)
	require.Equal(t, uint64(5), refused.Version)
	require.Equal(t, OutcomeRefusedVersion, set(t, m, 4, document(6)).Outcome)
	require.Equal(t, OutcomeRefusedVersion, set(t, m, 6, document(7)).Outcome)
	require.Equal(t, OutcomeApplied, set(t, m, 5, document(9)).Outcome)
	require.Equal(t, document(9), string(m.Current().Document))
	require.Equal(t, uint64(2), m.Current().Sequence)
}

func TestOnlyOneChangePerBaseIsApplied(t *testing.T) {
	m := NewMachine()
	set(t, m, 0, document(1))
	require.Equal(t, OutcomeApplied, set(t, m, 1, document(2, route("a"))).Outcome)
	require.Equal(t, OutcomeRefusedVersion, set(t, m, 1, document(2, route("b"))).Outcome, "same version, different body")
	require.Equal(t, document(2, route("a")), string(m.Current().Document))
}

func TestDuplicateChangeIsAcknowledged(t *testing.T) {
	m := NewMachine()
	set(t, m, 0, document(1))
	change := `{"version":3,"upsert":{"routes":[` + route("a") + `]}}`
	require.Equal(t, OutcomeApplied, patch(t, m, 1, change).Outcome)
	again := patch(t, m, 1, change)
	require.Equal(t, OutcomeDuplicate, again.Outcome, "although its base is not current and its version is not higher")
	require.Equal(t, uint64(3), again.Version)
	set(t, m, 3, document(4))

	before := m.Current()
	require.Equal(t, uint64(1), set(t, m, 0, document(1)).Version)
	require.Equal(t, OutcomeDuplicate, patch(t, m, 1, change).Outcome, "also after later versions")
	require.Same(t, before, m.Current(), "a duplicate does not change the state")

	require.Equal(t, OutcomeRefusedVersion, patch(t, m, 0, change).Outcome, "a different base makes a different change")
	require.Equal(t, OutcomeRefusedVersion, set(t, m, 1, change).Outcome, "a different kind makes a different change")
	require.Equal(t, OutcomeRefusedVersion, patch(t, m, 1, change+" ").Outcome, "bodies are compared byte by byte")
}

func TestRefusedChangeIsNotADuplicate(t *testing.T) {
	m := NewMachine()
	set(t, m, 0, document(1))
	require.Equal(t, OutcomeInvalid, set(t, m, 1, document(1, route("x"))).Outcome)
	require.Equal(t, OutcomeInvalid, set(t, m, 1, document(1, route("x"))).Outcome)
	require.Equal(t, OutcomeRefusedVersion, set(t, m, 2, document(3)).Outcome)
	set(t, m, 1, document(2))
	require.Equal(t, OutcomeApplied, set(t, m, 2, document(3)).Outcome, "a refused change can be applied once its base is current")
}

func TestInvalidChangesAreRejected(t *testing.T) {
	m := NewMachine()
	require.Equal(t, OutcomeInvalid, patch(t, m, 0, `{"version":1}`).Outcome, "there is no configuration to patch")
	set(t, m, 0, document(5))
	before := m.Current()
	for _, body := range []string{"", "{", document(5), document(4), document(6) + "x", strings.Replace(document(6, route("r")), `"backend":"s"`, `"backend":"n"`, 1)} {
		result := set(t, m, 5, body)
		require.Equal(t, OutcomeInvalid, result.Outcome, body)
		require.NotEmpty(t, result.Findings)
		require.Equal(t, uint64(5), result.Version)
	}
	for _, body := range []string{"", `{"version":5}`, `{"version":6,"delete":{"routes":1}}`, `{"version":6,"upsert":{"routes":[{}]}}`} {
		require.Equal(t, OutcomeInvalid, patch(t, m, 5, body).Outcome, body)
	}
	require.Same(t, before, m.Current())
}

func TestShowReturnsDocument(t *testing.T) {
	m := NewMachine()
	empty := apply(t, m, &Show{})
	require.Equal(t, OutcomeApplied, empty.Outcome)
	require.Empty(t, empty.Document)
	require.Zero(t, empty.Version)
	set(t, m, 0, document(5))
	patch(t, m, 5, `{"version":7,"upsert":{"routes":[`+route("a")+`]}}`)
	shown := apply(t, m, &Show{})
	require.JSONEq(t, document(7, route("a")), string(shown.Document))
	require.Contains(t, string(shown.Document), "1.50")
	require.Equal(t, uint64(7), shown.Version)
}

func TestTakeTermIncrementsTerm(t *testing.T) {
	m := NewMachine()
	require.Equal(t, uint64(1), apply(t, m, &TakeTerm{Candidate: "a"}).Term)
	require.Equal(t, uint64(2), apply(t, m, &TakeTerm{Candidate: "a"}).Term)
	require.Equal(t, uint64(3), apply(t, m, &TakeTerm{Candidate: "b"}).Term)
	require.Equal(t, "b", m.Current().Leader)
	require.Equal(t, uint64(3), apply(t, m, &Barrier{}).Term)
}

func view(epoch uint64, replicas ...uint16) wire.StoreView {
	return wire.StoreView{Epoch: epoch, Copies: 2, Stores: []wire.Store{{Disk: "a"}, {Disk: "b"}}, Partitions: []wire.Placement{{Replicas: replicas}}}
}

func TestPutPlacementRequiresCurrentTermAndNextEpoch(t *testing.T) {
	m := NewMachine()
	require.Equal(t, OutcomeStaleTerm, apply(t, m, &PutPlacement{Term: 0, View: view(1)}).Outcome, "there is no leader yet")
	apply(t, m, &TakeTerm{Candidate: "a"})
	require.Equal(t, OutcomeStaleEpoch, apply(t, m, &PutPlacement{Term: 1, View: view(2)}).Outcome)
	require.Equal(t, OutcomeApplied, apply(t, m, &PutPlacement{Term: 1, View: view(1, 0)}).Outcome)
	require.Equal(t, OutcomeDuplicate, apply(t, m, &PutPlacement{Term: 1, View: view(1, 0)}).Outcome)
	require.Equal(t, OutcomeStaleEpoch, apply(t, m, &PutPlacement{Term: 1, View: view(1, 1)}).Outcome)
	require.Equal(t, OutcomeApplied, apply(t, m, &PutPlacement{Term: 1, View: view(2, 0, 1)}).Outcome)

	apply(t, m, &TakeTerm{Candidate: "b"})
	late := apply(t, m, &PutPlacement{Term: 1, View: view(3)})
	require.Equal(t, OutcomeStaleTerm, late.Outcome)
	require.Equal(t, uint64(2), late.Term)
	require.Equal(t, OutcomeStaleTerm, apply(t, m, &PutPlacement{Term: 3, View: view(3)}).Outcome, "a term that was never taken")
	require.Equal(t, OutcomeApplied, apply(t, m, &PutPlacement{Term: 2, View: view(3, 1)}).Outcome)
	require.Equal(t, []uint16{1}, m.Current().Placement.Partitions[0].Replicas)
	require.Equal(t, uint64(3), m.Current().Epoch())
}

func TestPutMembersRequiresCurrentTerm(t *testing.T) {
	m := NewMachine()
	edges := []wire.Edge{{ID: "a", Ready: true}, {ID: "b"}}
	require.Equal(t, OutcomeStaleTerm, apply(t, m, &PutMembers{Edges: edges}).Outcome, "there is no leader yet")
	apply(t, m, &TakeTerm{Candidate: "a"})
	require.Equal(t, OutcomeApplied, apply(t, m, &PutMembers{Term: 1, Edges: edges}).Outcome)
	require.Equal(t, []wire.Edge{{ID: "a"}, {ID: "b"}}, m.Current().Edges, "no scheduler is saved as ready")
	apply(t, m, &TakeTerm{Candidate: "b"})
	require.Equal(t, OutcomeStaleTerm, apply(t, m, &PutMembers{Term: 1}).Outcome)
	require.Len(t, m.Current().Edges, 2)
	require.Equal(t, OutcomeApplied, apply(t, m, &PutMembers{Term: 2}).Outcome)
	require.Empty(t, m.Current().Edges)
}

func TestPutPlacementRejectsInvalidStoreIndices(t *testing.T) {
	m := NewMachine()
	apply(t, m, &TakeTerm{})
	require.Equal(t, OutcomeInvalid, apply(t, m, &PutPlacement{Term: 1, View: view(1, 2)}).Outcome)
	require.Equal(t, OutcomeInvalid, apply(t, m, &PutPlacement{Term: 1, View: view(1, 1, 1)}).Outcome)
	require.Nil(t, m.Current().Placement)
}

func TestMalformedCommandsChangeNothing(t *testing.T) {
	m := NewMachine()
	set(t, m, 0, document(5))
	before := m.Current()
	complete, err := Encode(&Set{Base: 5, Body: []byte(document(6))})
	require.NoError(t, err)
	for name, encoded := range map[string][]byte{"empty": nil, "unknown kind": {200}, "truncated": complete[:len(complete)-1], "extra byte": append(complete, 0), "all zero": make([]byte, 9)} {
		result, err := DecodeResult(m.Apply(encoded))
		require.NoError(t, err)
		require.Equal(t, OutcomeMalformed, result.Outcome, name)
		require.Equal(t, uint64(5), result.Version)
	}
	require.Same(t, before, m.Current())
}

func TestStateDoesNotAliasCommand(t *testing.T) {
	m := NewMachine()
	encoded, err := Encode(&Set{Body: []byte(document(5))})
	require.NoError(t, err)
	m.Apply(encoded)
	clear(encoded)
	require.Equal(t, document(5), string(m.Current().Document))
	require.Equal(t, OutcomeApplied, patch(t, m, 5, `{"version":6}`).Outcome)
	require.Equal(t, document(6), string(m.Current().Document), "the parsed configuration does not alias the command either")
}

func TestCurrentIsSafeDuringApply(t *testing.T) {
	m := NewMachine()
	var readers sync.WaitGroup
	done := make(chan struct{})
	for range 2 {
		readers.Go(func() {
			for last := uint64(0); ; {
				now := m.Current()
				require.GreaterOrEqual(t, now.Version, last)
				last = now.Version
				select {
				case <-done:
					return
				default:
				}
			}
		})
	}
	for version := range 100 {
		set(t, m, uint64(version), document(version+1))
	}
	close(done)
	readers.Wait()
	require.Equal(t, uint64(100), m.Current().Sequence)
}
