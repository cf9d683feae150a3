package core

import (
	"fmt"
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
