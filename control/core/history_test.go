package core

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// sizes of cores, and how many members of each may be lost.
var sizes = []struct{ members, lost int }{{3, 1}, {4, 1}, {5, 2}, {8, 2}}

func TestHistoriesOfTroubleKeepAllRules(t *testing.T) {
	const seeds = 60
	for _, size := range sizes {
		t.Run(fmt.Sprint(size.members), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				broken := play(seed, size.members, size.lost, sound)
				require.Empty(t, broken, "seed %d of %d members", seed, size.members)
			}
		})
	}
}

func TestMistakesAreCaught(t *testing.T) {
	const most = 400 // seeds until a mistake must have been seen
	for name, mistake := range map[string]mutant{
		"acknowledges before the sync": unsyncedAck, "decides views without a majority": minorityView,
		"leads without the margin": noMargin, "keeps the identity of a lost disk": keptIdentity,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(most) {
				size := sizes[seed%3]
				if broken := play(seed, size.members, size.lost, mistake); unsafe(broken) {
					t.Logf("seed %d: %s", seed, broken)
					return
				}
			}
			require.Fail(t, "not caught", "in %d histories", most)
		})
	}
}

// unsafe says whether what was broken is more than a pause in the service.
func unsafe(broken string) bool {
	for _, word := range []string{"applied", "answered", "hold the leader lease at once", "elsewhere"} {
		if strings.Contains(broken, word) && !strings.Contains(broken, "nothing was answered") {
			return true
		}
	}
	return false
}
