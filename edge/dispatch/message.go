package dispatch

import (
	"strings"
	"time"

	"ravendale/cluster/wire"
)

type phase uint8

const (
	phaseKeyOrder    phase = iota // it waits for its turn in the order of its key
	phaseDeferred                 // until due
	phaseRateLimited              // for a token of its service's ceiling
	phaseQueued                   // until its service's module can be handed another
	phaseSubmitted                // its service's module has it
	phaseReleasing                // given back when it is due, for another edge to deliver
	phaseReported                 // its end is told to the queue, and not yet acknowledged
)

// message is one that the edge holds.
type message struct {
	wire.Message
	phase           phase
	dueAt           time.Duration // when it is to be looked at
	notBefore       time.Duration // it may not run earlier
	startTarget     time.Duration // its route's aim for that
	dropAfter       time.Duration // it is not dropped earlier for want of a route
	expiresAt       time.Duration // the end of its retention
	failedAttempts  uint16        // failedAttempts attempts
	backoffs        int           // tries that ran nothing
	unknownOutcomes int           // tries with an unknown outcome that were followed at once
	granted         bool
	released        bool // reported as given back
	submitted       bool
	size            int
	heapIndex       int // in the queue of those with a time; -1: not there

	service *service // while throttled or handed
	job     *job     // while handed
}

func (m *message) path() string {
	path, _, _ := strings.Cut(m.Target, "?")
	return path
}

func (m *message) isGranted() bool { return !m.Ordered || m.granted }
