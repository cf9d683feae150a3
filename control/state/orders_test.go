package state

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// changeSimulation simulates replicas that have each applied a prefix of one log, and records which configuration
// changes were applied.
type changeSimulation struct {
	random          *rand.Rand
	limit           int // maximum number of entries in a history
	faults          mutations
	log             [][]byte
	results         []string // by log index: the result of the first replica that applied the command
	replicas        []*Machine
	applied         []int // number of commands applied, by replica
	versionByChange map[string]uint64
	versions        []uint64 // versions of the configuration, oldest first
	sent            []Command
	violation       string
}

// simulateChanges submits new and repeated configuration changes to replicas that lag, restart and restore snapshots,
// all in random order. It returns a description of the first failed check, or "" if there was none.
func simulateChanges(seed uint64, faults mutations) string {
	s := &changeSimulation{
		random: rand.New(rand.NewPCG(seed, 11)), faults: faults, versionByChange: make(map[string]uint64), versions: []uint64{0},
	}
	s.limit = 1 + s.random.IntN(6)
	for range 3 {
		s.replicas, s.applied = append(s.replicas, s.newMachine()), append(s.applied, 0)
	}
	for range 60 {
		s.step()
		if s.violation != "" {
			return fmt.Sprintf("seed %d: %s", seed, s.violation)
		}
	}
	return ""
}

func (s *changeSimulation) newMachine() *Machine {
	m := NewMachine()
	m.history.limit, m.mutations = s.limit, s.faults
	return m
}

func (s *changeSimulation) fail(format string, arguments ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, arguments...)
	}
}

func (s *changeSimulation) step() {
	replica := s.random.IntN(len(s.replicas))
	switch s.random.IntN(8) {
	case 0: // the replica restarts from its own snapshot
		s.install(replica, replica)
	case 1: // the replica restores a snapshot of another one that has applied more
		if other := s.random.IntN(len(s.replicas)); s.applied[other] > s.applied[replica] {
			s.install(other, replica)
		}
	case 2: // all replicas restart
		for i := range s.replicas {
			s.install(i, i)
		}
	case 3: // the replica catches up with the log
		s.advance(replica, len(s.log))
	default:
		s.submit(replica)
	}
}

func (s *changeSimulation) install(from, to int) {
	snapshot, next := s.replicas[from].Snapshot(), s.newMachine()
	if err := next.Restore(snapshot); err != nil {
		s.fail("Restore failed: %v", err)
		return
	}
	s.replicas[to], s.applied[to] = next, s.applied[from]
}

func (s *changeSimulation) advance(replica, to int) {
	for ; s.applied[replica] < to; s.applied[replica]++ {
		at := s.applied[replica]
		result := string(s.replicas[replica].Apply(s.log[at]))
		if at == len(s.results) {
			s.results = append(s.results, result)
		} else if s.results[at] != result {
			s.fail("replicas returned different results for command %d: %q and %q", at, s.results[at], result)
		}
	}
}

// submit appends a configuration change to the log, applies it on a replica and checks the outcome.
func (s *changeSimulation) submit(replica int) {
	command := s.drawCommand()
	s.sent = append(s.sent, command)
	encoded, err := Encode(command)
	if err != nil {
		s.fail("%v", err)
		return
	}
	s.log = append(s.log, encoded)
	s.advance(replica, len(s.log))
	if s.violation != "" {
		return
	}
	result, err := DecodeResult([]byte(s.results[len(s.results)-1]))
	if err != nil {
		s.fail("%v", err)
		return
	}
	s.check(command, result)
}

// drawCommand returns a new change based on one of the two newest versions, or repeats an earlier one. Half of the new
// changes are Patches, with the same bodies as the Sets.
func (s *changeSimulation) drawCommand() Command {
	if len(s.sent) > 0 && s.random.IntN(3) == 0 {
		return s.sent[s.random.IntN(len(s.sent))]
	}
	current := s.current()
	base := s.versions[max(0, len(s.versions)-1-s.random.IntN(2))]
	version := int(current) + s.random.IntN(4)
	body := document(version)
	if s.random.IntN(2) == 0 {
		body = document(version, route(string(rune('a'+s.random.IntN(3)))))
	}
	if s.random.IntN(2) == 0 {
		return &Patch{Base: base, Body: []byte(body)}
	}
	return &Set{Base: base, Body: []byte(body)}
}

func (s *changeSimulation) current() uint64 { return s.versions[len(s.versions)-1] }

// identity returns what identifies a configuration change, its kind, base and body, and a name made of these.
func identity(command Command) (name string, kind Kind, base uint64, body []byte) {
	switch c := command.(type) {
	case *Set:
		kind, base, body = KindSet, c.Base, c.Body
	case *Patch:
		kind, base, body = KindPatch, c.Base, c.Body
	}
	return fmt.Sprintf("kind %d base %d body %s", kind, base, body), kind, base, body
}

func (s *changeSimulation) check(command Command, result *Result) {
	name, kind, base, body := identity(command)
	if version, ok := s.versionByChange[name]; ok {
		s.checkDuplicate(name, version, result)
		return
	}
	current := s.current()
	if base != current {
		if result.Outcome != OutcomeRefusedVersion && (result.Outcome != OutcomeUnsure || !s.mayBeDropped(base)) {
			s.fail("%s on version %d had outcome %v", name, current, result.Outcome)
		}
		return
	}
	version := versionIn(body)
	if version <= current || kind == KindPatch && current == 0 {
		if result.Outcome != OutcomeInvalid {
			s.fail("%s on version %d had outcome %v", name, current, result.Outcome)
		}
		return
	}
	if result.Outcome != OutcomeApplied || result.Version != version {
		s.fail("%s on version %d had outcome %v", name, current, result.Outcome)
		return
	}
	s.versionByChange[name] = version
	s.versions = append(s.versions, version)
}

// checkDuplicate checks the result of a change that was applied before: it must be acknowledged again, or if it is
// older than the history, the outcome may be OutcomeUnsure.
func (s *changeSimulation) checkDuplicate(name string, version uint64, result *Result) {
	newest := s.versions[max(1, len(s.versions)-s.limit):]
	switch {
	case result.Outcome == OutcomeDuplicate && result.Version == version:
	case result.Outcome == OutcomeUnsure && !slices.Contains(newest, version):
	default:
		s.fail("%s was applied as version %d, but its duplicate had outcome %v", name, version, result.Outcome)
	}
}

// mayBeDropped reports whether the history may have dropped a change with this base.
func (s *changeSimulation) mayBeDropped(base uint64) bool {
	return len(s.versions)-1 > s.limit && base < s.versions[len(s.versions)-s.limit]
}

// versionIn returns the version in a body that the test generated.
func versionIn(body []byte) uint64 {
	_, rest, _ := strings.Cut(string(body), `"version":`)
	number, _, _ := strings.Cut(rest, ",")
	version, _ := strconv.ParseUint(number, 10, 64) // 0 if the body has no version
	return version
}

// TestDuplicateChangesAreRecognized submits changes to replicas that lag, restart and restore snapshots, with histories
// of 1 to 6 entries.
func TestDuplicateChangesAreRecognized(t *testing.T) {
	for seed := range uint64(1000) {
		require.Empty(t, simulateChanges(seed, mutations{}))
	}
}

func TestSimulationDetectsDuplicateFaults(t *testing.T) {
	byVersion := func(_ Kind, _ uint64, body []byte) digest {
		version := versionIn(body)
		return digestOf(0, version, nil)
	}
	withoutKind := func(_ Kind, base uint64, body []byte) digest { return digestOf(0, base, body) }
	withoutBase := func(kind Kind, _ uint64, body []byte) digest { return digestOf(kind, 0, body) }
	for name, faults := range map[string]mutations{
		"digest of the version only":                  {digest: byVersion},
		"digest without the kind":                     {digest: withoutKind},
		"digest without the base":                     {digest: withoutBase},
		"snapshot without the history":                {dropsHistory: true},
		"duplicate older than the history is refused": {refusesDropped: true},
	} {
		t.Run(name, func(t *testing.T) {
			const maxSeeds = 50
			for seed := range uint64(maxSeeds) {
				if violation := simulateChanges(seed, faults); violation != "" {
					t.Log(violation)
					return
				}
			}
			require.Fail(t, "fault not detected", "in %d seeds", maxSeeds)
		})
	}
}

// TestDuplicateOlderThanHistoryIsNotRefused applies more changes than the history keeps, and repeats some of the oldest
// and newest ones.
func TestDuplicateOlderThanHistoryIsNotRefused(t *testing.T) {
	const dropped = 20
	m := NewMachine()
	setOn := func(base uint64) *Result { return set(t, m, base, document(int(base)+1)) }
	for base := range uint64(historyLength + dropped) {
		require.Equal(t, OutcomeApplied, setOn(base).Outcome)
	}
	for range 2 {
		for _, base := range []uint64{0, 1, dropped - 1} {
			require.Equal(t, OutcomeUnsure, setOn(base).Outcome, "change on base %d", base)
		}
		for _, base := range []uint64{dropped, dropped + 1, historyLength + dropped - 1} {
			require.Equal(t, OutcomeDuplicate, setOn(base).Outcome, "change on base %d", base)
		}
		conflicting := document(historyLength*2, route("other"))
		require.Equal(t, OutcomeUnsure, set(t, m, 3, conflicting).Outcome, "it can't be distinguished from a change that was applied")
		require.Equal(t, OutcomeRefusedVersion, set(t, m, dropped+1, conflicting).Outcome)
		require.Equal(t, uint64(historyLength+dropped), m.Current().Sequence)
		snapshot := m.Snapshot()
		m = NewMachine()
		require.NoError(t, m.Restore(snapshot))
	}
}

// TestChangesWithEqualBytesAreDuplicates submits the same change twice, as two operators might, and changes that differ
// only in kind or formatting.
func TestChangesWithEqualBytesAreDuplicates(t *testing.T) {
	m := NewMachine()
	set(t, m, 0, document(1))
	change := document(2)
	require.Equal(t, OutcomeApplied, set(t, m, 1, change).Outcome)
	require.Equal(t, OutcomeDuplicate, set(t, m, 1, change).Outcome, "the same change of another operator")
	require.Equal(t, OutcomeRefusedVersion, patch(t, m, 1, change).Outcome, "a Patch with the same body as the Set")
	require.Equal(t, OutcomeRefusedVersion, set(t, m, 1, strings.Replace(change, "1.50", "1.5", 1)).Outcome, "the same content in different bytes")
	require.Equal(t, uint64(2), m.Current().Sequence)
	require.NotEqual(t, digestOf(KindSet, binary.BigEndian.Uint64([]byte("abcdefgh")), nil), digestOf(KindSet, 0, []byte("abcdefgh")))
}
