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

// follow says what follows on an outcome.
type follow uint8

const (
	ends     follow = iota // nothing: the message has ended
	soon                   // another attempt, with the first pause at most
	atOnce                 // another attempt in the same event
	countsOn               // the same, and the failure is reported to the queue
)

// after is what each outcome leads to, for a message's first attempt. No class of messages makes a difference: whether a message may be
// out twice at the same time does (copies), and whether an attempt needs a token.
var after = map[worker.Outcome]follow{
	worker.Done: ends, worker.Rejected: ends,
	worker.Failed: countsOn,
	worker.Broken: atOnce, worker.TimedOut: atOnce, worker.Cancelled: atOnce,
	worker.AtCapacity: soon, worker.NotRun: soon, worker.WrongWorker: soon, worker.Duplicate: soon, worker.Unreachable: soon, worker.NoConnection: soon,
}

// classes are messages that differ in what may be done about them.
func classes() map[string]*wire.Message {
	ordered := messageTo("/p/", "1")
	ordered.Ordered, ordered.Key = true, "k"
	return map[string]*wire.Message{
		"not idempotent": messageTo("/p/", "1"), "idempotent": messageTo("/s/", "1"), "with a rate limit": messageTo("/l/", "1"), "ordered": ordered,
	}
}

func TestWhatFollowsOnAnOutcome(t *testing.T) {
	for outcome, want := range after {
		for class, m := range classes() {
			t.Run(fmt.Sprintf("%d %s", outcome, class), func(t *testing.T) {
				w := newWorld(t)
				w.apply(w.core.Accept(w.now, m, true))
				w.pass(2 * time.Second) // for a token
				first := w.sent()
				w.end(first, outcome)
				if want == ends {
					assert.NotEqual(t, wire.ReportFailed, w.reported().Kind)
					w.pass(time.Minute)
					w.sentNothing()
					return
				}
				if want == countsOn {
					assert.Equal(t, wire.Report{ID: m.ID, Kind: wire.ReportFailed, Failed: 1}, w.reported())
				}
				if want != soon && class != "with a rate limit" {
					require.NotEmpty(t, w.deliveries, "at once")
				}
				w.pass(3 * time.Second)
				require.NotEmpty(t, w.deliveries)
				assert.Equal(t, first.Delivery.RequestID, w.deliveries[0].Delivery.RequestID)
				assert.Empty(t, w.reports, "neither ended nor given back")
			})
		}
	}
	assert.Len(t, after, int(worker.Cancelled)+1, "each outcome has its line")
}

// One attempt of a message is in flight at a time, whatever its service: the module hedges only on capacity that workers report free, and
// they do not. What follows an unknown outcome is sent once the connection of the attempt before is closed.
func TestNoMessageIsInFlightTwice(t *testing.T) {
	for class, m := range classes() {
		w := newWorld(t)
		w.apply(w.core.Accept(w.now, m, true))
		for range 30 {
			w.pass(2 * time.Second)
			w.end(w.sent(), worker.TimedOut)
			w.pass(50 * ms)
			if len(w.deliveries) > 0 { // the next, at once
				w.end(w.sent(), worker.Broken)
			}
		}
		w.pass(2 * time.Second)
		w.sent()
		assert.Empty(t, w.cancels, class)
	}
}

// resets counts the attempts of a message, each of which ends in a reset at once, before any pause.
func resets(t *testing.T, m mutations) (attempts int) {
	w := newWorld(t)
	w.core.mutations = m
	w.accept("/p/", "1")
	for len(w.deliveries) > 0 && attempts < 100 {
		d := w.deliveries[0]
		w.deliveries = w.deliveries[1:]
		attempts++
		w.end(d, worker.Broken)
	}
	return attempts
}

// What may have run is sent again at once a single time. The module, which goes on by itself with what did not run, has no part in it.
func TestResetIsFollowedAtOnceASingleTime(t *testing.T) {
	assert.Equal(t, 2, resets(t, mutations{}))
}

func TestMutationThatTakesAResetForNotSentIsCaught(t *testing.T) {
	assert.Greater(t, resets(t, mutations{resetCountsAsNotRun: true}), 2)
}

// A reset leaves open whether the message ran; its success, known here, does not.
func runsAfterItsEnd(t *testing.T, m mutations) int {
	w := newWorld(t)
	w.core.mutations = m
	w.accept("/p/", "1")
	w.end(w.sent(), worker.Broken)
	w.end(w.sent(), worker.Done)
	w.reported()
	w.apply(w.core.Acknowledged(w.now, "0.1"))
	w.apply(w.core.Grant(w.now, grantWithMessage("1")))
	return len(w.deliveries)
}

func TestMessageIsNotSentAgainAfterASuccess(t *testing.T) {
	assert.Zero(t, runsAfterItsEnd(t, mutations{}))
}

func TestMutationThatForgetsCompletionsIsCaught(t *testing.T) {
	assert.Equal(t, 1, runsAfterItsEnd(t, mutations{forgetsCompleted: true}))
}

// BUDGET: a message that fails at each run is not sent once more than its route says, whoever counted the failures before.
func TestFailuresEndAMessageInTime(t *testing.T) {
	for class, m := range classes() {
		for before := range 3 {
			w := newWorld(t)
			w.apply(w.core.Grant(w.now, &wire.Grant{ID: m.ID, HasMessage: true, Failed: uint16(before), Message: *m}))
			runs := 0
			for range 20 {
				w.pass(3 * time.Second)
				for len(w.deliveries) > 0 {
					d := w.deliveries[0]
					w.deliveries = w.deliveries[1:]
					runs++
					w.end(d, worker.Failed)
				}
			}
			assert.Equal(t, 3-before, runs, class)
			assert.Equal(t, wire.ReportDead, w.reports[len(w.reports)-1].Kind)
		}
	}
}
