package simulation

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMutationsAreDetected runs worlds with one deliberate bug at a time. Within the given number of seeds one of them
// must violate a rule.
func TestMutationsAreDetected(t *testing.T) {
	for _, mistake := range []struct {
		name   string
		mutant mutant
		only   string // the fault that triggers the bug; empty: all faults
		seeds  int
		rule   string // part of the message of the rule that the bug violates
	}{
		{"a leader leads after its lease has expired", leadsAfterLeaseEnd, "core_cut leader", 60, "was acknowledged over"},
		{"an order is refused on the basis of local state", refusesByLocalState, "", 40, "refused when it was sent again"},
		{"an order of unknown outcome is reported as not applied", reportsUnknownAsNotApplied, "", 40, "applied more often than it was sent"},
		{"a lease holder uses its lease without a safety margin", noLeaseMargin, "core_cut leader", 60, "the leader lease is held by"},
		{"a disk confirms a write before it has written it", acksBeforeWrite, "herd_kill all power taken", 60, ""},
		{"a store confirms a record before it is on disk", acksUnsyncedRecord, "after_ack_wipe all power", 60, ""},
		{"an edge sends a message by a configuration older than the one it was accepted under", trustsOwnConfig, "edge_cut", 20, "no configuration since version"},
		{"an edge drops a message by a configuration older than the one it was accepted under", dropsByOwnConfig, "edge_cut", 20, "is dropped, but each configuration since"},
		{"a store takes a connection that an edge has closed for its newest", takesLastConnection, "node_freeze store", 40, "does not know that"},
	} {
		t.Run(mistake.name, func(t *testing.T) {
			for seed := range uint64(mistake.seeds) {
				settings := drawSettings(seed + 1)
				settings.only, settings.keepsService = mistake.only, mistake.mutant == dropsByOwnConfig
				if w := runWorldWith(seed+1, settings, mistake.mutant); w.violation != "" {
					t.Logf("seed %d: %s", seed+1, w.violation[:min(300, len(w.violation))])
					require.Contains(t, w.violation, mistake.rule)
					return
				}
			}
			t.Errorf("no rule was violated in %d worlds", mistake.seeds)
		})
	}
}
