package dispatch

import (
	"strings"
	"time"

	"ravendale/cluster/wire"
)

// phase is where a message stands. What it waits for in a phase is due at message.dueAt.
type phase uint8

const (
	phaseKeyOrder    phase = iota // behind another message of its key order
	phaseDeferred                 // until due
	phaseRateLimited              // waiting for a token of its service's rate limit
	phaseQueued                   // until its service's module can be given another
	phaseSubmitted                // its service's module has it
	phaseReleasing                // released when it is due, for another edge to deliver
	phaseReported                 // its terminal report is sent, and not yet acknowledged
)

// message is one that is leased to the edge.
type message struct {
	wire.Message
	phase           phase
	dueAt           time.Duration // when processDue is called for it
	notBefore       time.Duration // it may not run earlier
	startTarget     time.Duration // when it should run at the latest: notBefore and its route's startTargetMs
	dropAfter       time.Duration // it is not dropped earlier for want of a route
	expiresAt       time.Duration // the end of its retention
	failedAttempts  uint16        // as counted by all edges
	backoffs        int           // attempts in a row that ran nothing
	unknownOutcomes int           // attempts with an unknown outcome that were retried at once
	granted         bool
	released        bool // the last report releases it
	submitted       bool
	size            int
	heapIndex       int // in messageTable.due; -1: not there

	service *service // while rate limited, queued or submitted
	job     *job     // while submitted
}

// path returns the target without its query, as routes match it.
func (m *message) path() string {
	path, _, _ := strings.Cut(m.Target, "?")
	return path
}

// isNextInOrder reports whether no other message of the key order has to be completed first.
func (m *message) isNextInOrder() bool { return !m.Ordered || m.granted }
