package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/control/lease"
	"ravendale/control/view"
)

// newDiskless returns a node without a disk that has received heartbeats at the given times.
func newDiskless(t *testing.T, heartbeats map[time.Duration][]heartbeat) *node {
	n, err := newNode(0, nodeConfig{
		Address: "self", Seeds: []string{"cut", "head", "tail", "new"}, Terms: lease.DefaultTiming, Machine: &registerMachine{},
		Random: func() uint64 { return 7 },
	}, nil, nil)
	require.NoError(t, err)
	for at, received := range heartbeats {
		for i := range received {
			n.Receive(at, received[i].Member, &received[i])
		}
	}
	return n
}

func heartbeatOf(id view.ID, address string, epoch uint64, missing ...view.ID) heartbeat {
	return heartbeat{Member: view.Member{ID: id, Address: address}, Epoch: epoch, Attached: true, Unresponsive: missing}
}

// TestSubmitTargets checks that a process without a disk, which reaches all members, prefers those that are not
// partitioned from the others.
func TestSubmitTargets(t *testing.T) {
	const now = 5 * time.Second
	n := newDiskless(t, map[time.Duration][]heartbeat{now: {
		heartbeatOf(1, "cut", 3, 2, 3, 4), heartbeatOf(2, "head", 4, 1), heartbeatOf(3, "tail", 4, 1), {Member: view.Member{ID: 4, Address: "new"}, Epoch: 4},
	}})
	require.Equal(t, []string{"head", "tail", "cut", "new"}, n.submitTargets(now), "the member that is not in the chain comes last")

	leading := heartbeatOf(3, "tail", 4, 1)
	leading.Leading = true
	n.Receive(now, leading.Member, &leading)
	require.Equal(t, []string{"tail", "head", "cut", "new"}, n.submitTargets(now))

	later := now + failureTimeout
	again := heartbeatOf(1, "cut", 3, 2, 3, 4)
	n.Receive(later, again.Member, &again)
	require.Equal(t, "cut", n.submitTargets(later)[0], "it is the only responsive member")
}
