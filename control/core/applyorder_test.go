package core_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// applyBarrier makes the members that apply one command wait for one another.
type applyBarrier struct {
	mu         sync.Mutex
	remaining  int
	allStarted chan struct{} // closed once all members have begun to apply the command
}

// wait waits until all members have arrived, or until barrierTimeout. It reports whether all have.
func (m *applyBarrier) wait() (complete bool) {
	m.mu.Lock()
	if m.remaining--; m.remaining == 0 {
		close(m.allStarted)
	}
	m.mu.Unlock()
	select {
	case <-m.allStarted:
		return true
	case <-time.After(barrierTimeout):
		return false
	}
}

const (
	barrierTimeout = 5 * time.Second // longer than members wait for one another; expires only if the test fails
	slowCommand    = "slow"
)

// slowList is a listMachine that waits at a barrier when it applies slowCommand.
type slowList struct {
	listMachine
	barrier    *applyBarrier
	concurrent chan bool
}

func (l *slowList) Apply(command []byte) []byte {
	if string(command) == slowCommand {
		l.concurrent <- l.barrier.wait()
	}
	return l.listMachine.Apply(command)
}

// The members of the chain must apply a committed command at the same time: each passes on the commit before it applies
// the command. A large configuration takes tens of milliseconds to apply, which would otherwise delay the
// acknowledgement five times in a chain of five.
func TestMembersApplyConcurrently(t *testing.T) {
	const members = 3
	processes := newProcesses(t, members)[:members]
	barrier := &applyBarrier{remaining: members, allStarted: make(chan struct{})}
	concurrent := make(chan bool, members)
	for _, p := range processes {
		p.machine = &slowList{barrier: barrier, concurrent: concurrent}
		p.start(t)
	}
	processes[0].submit(t, "first")
	require.NotEmpty(t, processes[0].submit(t, slowCommand))
	for range members {
		assert.True(t, <-concurrent, "a member applies the command only after another has applied it")
	}
}
