package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

// consequence is what an outcome leads to.
type consequence uint8

const (
	endsMessage         consequence = iota // no further attempt: the message is completed
	retriedSoon                            // another attempt, immediately or after minBackoff or duplicateDelay
	retriedAtOnce                          // another attempt in the same event
	retriedAfterFailure                    // another attempt in the same event, and the failure is reported to the queue
)

// consequences holds what each outcome of a message's first attempt leads to. The class of a message makes no difference
// by itself: only whether two attempts of it may be in flight at once, and whether an attempt needs a token.
var consequences = map[worker.Outcome]consequence{
	worker.Done: endsMessage, worker.Rejected: endsMessage,
	worker.Failed: retriedAfterFailure,
	worker.Broken: retriedAtOnce, worker.TimedOut: retriedAtOnce, worker.Cancelled: retriedAtOnce,
	worker.AtCapacity: retriedSoon, worker.NotRun: retriedSoon, worker.WrongWorker: retriedSoon, worker.Duplicate: retriedSoon,
	worker.Unreachable: retriedSoon, worker.NoConnection: retriedSoon,
}

// messageClasses returns one message of each class that may be handled differently.
func messageClasses() map[string]*wire.Message {
	ordered := messageTo("/p/", "1")
	ordered.Ordered, ordered.Key = true, "k"
	return map[string]*wire.Message{
		"not idempotent": messageTo("/p/", "1"), "idempotent": messageTo("/s/", "1"), "with a rate limit": messageTo("/l/", "1"), "ordered": ordered,
	}
}

func TestOutcomeConsequences(t *testing.T) {
	for outcome, want := range consequences {
		for class, m := range messageClasses() {
			t.Run(fmt.Sprintf("%d %s", outcome, class), func(t *testing.T) {
				h := newHarness(t)
				h.record(h.core.Accept(h.now, m, true))
				h.advance(2 * time.Second) // until there is a token
				first := h.takeDelivery()
				h.finishAttempt(first, outcome)
				if want == endsMessage {
					assert.NotEqual(t, wire.ReportFailed, h.takeReport().Kind)
					h.advance(time.Minute)
					h.requireNoDelivery()
					return
				}
				if want == retriedAfterFailure {
					assert.Equal(t, wire.Report{ID: m.ID, Kind: wire.ReportFailed, Failed: 1}, h.takeReport())
				}
				if want != retriedSoon && class != "with a rate limit" {
					require.NotEmpty(t, h.deliveries, "the next attempt is sent in the same event")
				}
				h.advance(3 * time.Second)
				require.NotEmpty(t, h.deliveries)
				assert.Equal(t, first.Delivery.RequestID, h.deliveries[0].Delivery.RequestID)
				assert.Empty(t, h.reports, "the message is neither completed nor released")
			})
		}
	}
	assert.Len(t, consequences, int(worker.Cancelled)+1, "each outcome is tested")
}

// At most one attempt of a message is in flight, whatever its service: the module hedges only if workers report free
// capacity, and these do not. The attempt after an unknown outcome is sent once the connection of the previous attempt
// is closed.
func TestOneAttemptInFlightPerMessage(t *testing.T) {
	for class, m := range messageClasses() {
		h := newHarness(t)
		h.record(h.core.Accept(h.now, m, true))
		for range 30 {
			h.advance(2 * time.Second)
			h.finishAttempt(h.takeDelivery(), worker.TimedOut)
			h.advance(50 * ms)
			if len(h.deliveries) > 0 { // the next attempt was sent immediately
				h.finishAttempt(h.takeDelivery(), worker.Broken)
			}
		}
		h.advance(2 * time.Second)
		h.takeDelivery()
		assert.Empty(t, h.cancels, class)
	}
}

// attemptsUntilPause returns how many attempts of a message follow each other without a pause if each ends with a reset.
func attemptsUntilPause(t *testing.T, m mutations) (attempts int) {
	h := newHarness(t)
	h.core.mutations = m
	h.accept("/p/", "1")
	for len(h.deliveries) > 0 && attempts < 100 {
		d := h.deliveries[0]
		h.deliveries = h.deliveries[1:]
		attempts++
		h.finishAttempt(d, worker.Broken)
	}
	return attempts
}

// A message that may have run is sent again immediately only once. The module must not retry it by itself, as it does
// after attempts that did not run.
func TestResetIsRetriedAtOnceOnlyOnce(t *testing.T) {
	assert.Equal(t, 2, attemptsUntilPause(t, mutations{}))
}

func TestMutationResetCountsAsNotRunIsDetected(t *testing.T) {
	assert.Greater(t, attemptsUntilPause(t, mutations{resetCountsAsNotRun: true}), 2)
}

// deliveriesAfterSuccess returns how often a message is sent if its store grants it again after its success. The first
// attempt ends with a reset, which leaves open whether the message ran.
func deliveriesAfterSuccess(t *testing.T, m mutations) int {
	h := newHarness(t)
	h.core.mutations = m
	h.accept("/p/", "1")
	h.finishAttempt(h.takeDelivery(), worker.Broken)
	h.finishAttempt(h.takeDelivery(), worker.Done)
	h.takeReport()
	h.record(h.core.Acknowledged(h.now, "0.1"))
	h.grant(grantWithMessage("1"))
	return len(h.deliveries)
}

func TestMessageIsNotSentAfterSuccess(t *testing.T) {
	assert.Zero(t, deliveriesAfterSuccess(t, mutations{}))
}

func TestMutationIgnoresCompletionsIsDetected(t *testing.T) {
	assert.Equal(t, 1, deliveriesAfterSuccess(t, mutations{ignoresCompletions: true}))
}

// The retry budget: a message that fails at each run is not sent more often than its route's retries allow, and
// failures that another edge counted are included.
func TestFailuresOfAllEdgesAreLimited(t *testing.T) {
	for class, m := range messageClasses() {
		for before := range 3 {
			h := newHarness(t)
			h.grant(&wire.Grant{ID: m.ID, HasMessage: true, Failed: uint16(before), Message: *m})
			runs := 0
			for range 20 {
				h.advance(3 * time.Second)
				for len(h.deliveries) > 0 {
					d := h.deliveries[0]
					h.deliveries = h.deliveries[1:]
					runs++
					h.finishAttempt(d, worker.Failed)
				}
			}
			assert.Equal(t, 3-before, runs, class)
			assert.Equal(t, wire.ReportDead, h.reports[len(h.reports)-1].Kind)
		}
	}
}
