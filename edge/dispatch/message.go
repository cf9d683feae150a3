package dispatch

import (
	"strings"
	"time"

	"ravendale/cluster/wire"
)

// phase is the state of a message in the Core. In each phase but the last, Core.processDue is called at message.dueAt.
type phase uint8

const (
	phaseKeyOrder       phase = iota // waiting for the preceding messages of its key order
	phaseDeferred                    // waiting for its delay, or for a pause between attempts, to end
	phaseRateLimited                 // waiting for a token of its service's rate limit
	phaseQueued                      // in its service's waitQueue, until its module can take another message
	phaseSubmitted                   // submitted to its service's module as a job
	phaseAwaitingConfig              // waiting for a configuration that is not older than the one under which it was accepted; released when due
	phaseAwaitingLease               // waiting for its store to confirm its lease, which may have been revoked; released when due
	phaseReleasing                   // to be released when it is due, for another edge to deliver
	phaseReported                    // its last report is sent, and not yet acknowledged
)

// message is a message leased to this edge, and the state of its delivery.
type message struct {
	wire.Message
	phase           phase
	dueAt           time.Duration // when Core.processDue is called for it
	notBefore       time.Duration // the end of its delay: it must not run earlier
	startTarget     time.Duration // when it should start to run at the latest: notBefore plus its route's startTargetMs
	leasedAt        time.Duration // when its lease was last confirmed: it was claimed then, or granted or accepted
	arrivedAt       time.Duration // when it was put or granted; it was accepted before
	acceptedHere    bool          // this edge accepted it from a client
	configVersion   uint64        // of the configuration under which it was accepted; 0: not known
	expiresAt       time.Duration // the end of its retention, plus expiryMargin
	failedAttempts  uint16        // on all edges together
	backoffs        int           // calls of backOff for it; Core.retryNow resets it
	unknownOutcomes int           // attempts with an unknown outcome that were retried immediately
	granted         bool          // its store allows its delivery now: see isNextInOrder
	released        bool          // its last report releases it
	wasSubmitted    bool          // it was submitted to a module before
	size            int           // its part of messageTable.bytes
	heapIndex       int           // in messageTable.due; -1: not scheduled

	service *service // while rate limited, queued or submitted
	job     *job     // while submitted
}

// path returns the target without its query: routes are matched against it.
func (m *message) path() string {
	path, _, _ := strings.Cut(m.Target, "?")
	return path
}

// isNextInOrder reports whether the message does not have to wait for another message of its key order.
func (m *message) isNextInOrder() bool { return !m.Ordered || m.granted }
