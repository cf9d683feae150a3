package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/control/lease"
	"ravendale/control/view"
)

// diskless is a node without a disk that has heard beats at given times.
func diskless(t *testing.T, beats map[time.Duration][]beat) *node {
	n, err := newNode(0, nodeConfig{
		Address: "self", Seeds: []string{"cut", "head", "tail", "new"}, Terms: lease.DefaultTiming, Machine: &register{},
		Random: func() uint64 { return 7 },
	}, nil, nil)
	require.NoError(t, err)
	for at, heard := range beats {
		for i := range heard {
			n.Receive(at, heard[i].Member, &heard[i])
		}
	}
	return n
}

func beatOf(id view.ID, address string, epoch uint64, missing ...view.ID) beat {
	return beat{Member: view.Member{ID: id, Address: address}, Epoch: epoch, Attached: true, Missing: missing}
}

// TestCommandsAreNotGivenToAMemberThatIsCutOff has a process without a disk reach all, of which one is cut off from the others.
func TestCommandsAreNotGivenToAMemberThatIsCutOff(t *testing.T) {
	const now = 5 * time.Second
	n := diskless(t, map[time.Duration][]beat{now: {
		beatOf(1, "cut", 3, 2, 3, 4), beatOf(2, "head", 4, 1), beatOf(3, "tail", 4, 1), {Member: view.Member{ID: 4, Address: "new"}, Epoch: 4},
	}})
	require.Equal(t, []string{"head", "tail", "cut", "new"}, n.takers(now), "the one that is not in the chain comes last")

	leading := beatOf(3, "tail", 4, 1)
	leading.Leading = true
	n.Receive(now, leading.Member, &leading)
	require.Equal(t, []string{"tail", "head", "cut", "new"}, n.takers(now))

	later := now + silentAfter
	again := beatOf(1, "cut", 3, 2, 3, 4)
	n.Receive(later, again.Member, &again)
	require.Equal(t, "cut", n.takers(later)[0], "only it is heard now")
}
