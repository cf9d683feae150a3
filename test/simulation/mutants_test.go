package simulation

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMistakesAreCaught takes out one guard after the other: within so many seeds one must break a rule by it.
func TestMistakesAreCaught(t *testing.T) {
	for _, mistake := range []struct {
		name   string
		mutant mutant
		only   string // the kind of disruption that brings it about; empty: all kinds
		seeds  int
		rule   string // that the mistake breaks, as part of what is said
	}{
		{"a leader whose lease is over leads on", leadsOn, "core_cut leader", 60, "was acknowledged over"},
		{"an order is refused by what a process has applied", refusesByApplied, "", 40, "refused when it was sent again"},
		{"an order of unknown outcome is said to have none", unknownIsNever, "", 40, "applied more often than it was sent"},
		{"a holder uses its lease as long as voters grant it", noMargin, "core_cut leader", 60, "the leader lease is held by"},
		{"a disk says that it has what it has not written", unsyncedAck, "herd_kill all power taken", 60, ""},
		{"a store says that it has on disk what it has in memory", unsyncedRecord, "after_ack_wipe all power", 60, ""},
	} {
		t.Run(mistake.name, func(t *testing.T) {
			for seed := range uint64(mistake.seeds) {
				settings := settingsOf(seed + 1)
				settings.only = mistake.only
				if w := playIn(seed+1, settings, mistake.mutant); w.broken != "" {
					t.Logf("seed %d: %s", seed+1, w.broken[:min(300, len(w.broken))])
					require.Contains(t, w.broken, mistake.rule)
					return
				}
			}
			t.Errorf("no rule was broken in %d worlds", mistake.seeds)
		})
	}
}
