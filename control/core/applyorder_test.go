package core_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// meeting has the members that apply one command wait for one another.
type meeting struct {
	mu      sync.Mutex
	missing int
	all     chan struct{} // closed once all have begun to apply it
}

// enter waits until all members have come, or patience ends.
func (m *meeting) enter() (met bool) {
	m.mu.Lock()
	if m.missing--; m.missing == 0 {
		close(m.all)
	}
	m.mu.Unlock()
	select {
	case <-m.all:
		return true
	case <-time.After(meetingPatience):
		return false
	}
}

const (
	meetingPatience = 5 * time.Second // longer than members wait for one another, and no verdict but of a failure
	slowCommand     = "slow"
)

// slowList is a list that takes its time for one command.
type slowList struct {
	list
	meeting *meeting
	met     chan bool
}

func (l *slowList) Apply(command []byte) []byte {
	if string(command) == slowCommand {
		l.met <- l.meeting.enter()
	}
	return l.list.Apply(command)
}

// The members of the chain apply what is committed at the same time: each passes on that it is committed before it applies it. A large
// configuration takes tens of milliseconds to apply, which a chain of five would else spend five times before it is acknowledged.
func TestMembersApplyACommandAtTheSameTime(t *testing.T) {
	const members = 3
	processes := plan(t, members)[:members]
	gathering := &meeting{missing: members, all: make(chan struct{})}
	met := make(chan bool, members)
	for _, p := range processes {
		p.machine = &slowList{meeting: gathering, met: met}
		p.start(t)
	}
	processes[0].submit(t, "first")
	require.NotEmpty(t, processes[0].submit(t, slowCommand))
	for range members {
		assert.True(t, <-met, "a member waits for another one to have applied it")
	}
}
