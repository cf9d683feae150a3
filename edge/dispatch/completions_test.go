package dispatch

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

func grantWithMessage(id string) *wire.Grant {
	return &wire.Grant{ID: "0." + id, HasMessage: true, Message: *messageTo("/p/", id)}
}

// A store that took over before it heard of the end hands the message out anew.
func TestCompletedMessageIsNotRunAgain(t *testing.T) {
	for outcome, kind := range map[worker.Outcome]wire.ReportKind{worker.Done: wire.ReportDone, worker.Rejected: wire.ReportDead} {
		w := newWorld(t)
		w.accept("/p/", "1")
		w.end(w.sent(), outcome)
		first := w.reported()
		assert.Equal(t, kind, first.Kind)
		w.apply(w.core.Grant(w.now, grantWithMessage("1")))
		assert.Empty(t, w.reports, "the queue has its report, and repeats it")
		w.apply(w.core.Acknowledged(w.now, "0.1"))
		for _, grant := range []*wire.Grant{grantWithMessage("1"), {ID: "0.1"}} {
			w.apply(w.core.Grant(w.now, grant))
			w.sentNothing()
			assert.Equal(t, first, w.reported())
		}
		assert.True(t, w.core.Idle())
	}
}

// The answer to its put comes after the message was granted with its body and run.
func TestAcceptedMessageThatWasCompletedHereIsNotRunAgain(t *testing.T) {
	w := newWorld(t)
	w.apply(w.core.Grant(w.now, grantWithMessage("1")))
	w.end(w.sent(), worker.Done)
	first := w.reported()
	w.apply(w.core.Acknowledged(w.now, "0.1"))
	w.accept("/p/", "1")
	w.sentNothing()
	assert.Equal(t, first, w.reported())
}

// A store that does not know a message may have given it to another edge: the success of the run that was cut off is still reported.
func TestSuccessOfAReleasedMessageIsReported(t *testing.T) {
	w := newWorld(t)
	w.accept("/p/", "1")
	d := w.sent()
	w.apply(w.core.Unknown(w.now, "0.1"))
	w.end(d, worker.Done)
	assert.Equal(t, wire.ReportDone, w.reported().Kind)
	w.apply(w.core.Grant(w.now, grantWithMessage("1")))
	w.sentNothing()
	assert.Equal(t, wire.ReportDone, w.reported().Kind)
}

// The message was released, was granted again and runs once more when the first run turns out to have succeeded.
func TestLateSuccessEndsTheSecondStay(t *testing.T) {
	w := newWorld(t)
	w.accept("/p/", "1")
	first := w.sent()
	w.apply(w.core.Unknown(w.now, "0.1"))
	w.apply(w.core.Grant(w.now, grantWithMessage("1")))
	second := w.sent()
	w.cancels = nil
	w.end(first, worker.Done)
	assert.Equal(t, wire.ReportDone, w.reported().Kind)
	assert.Equal(t, []Cancel{{Job: second.Job, Attempt: second.Attempt}}, w.cancels)
	w.end(second, worker.Cancelled)
	w.apply(w.core.Acknowledged(w.now, "0.1"))
	assert.True(t, w.core.Idle())
	assert.Empty(t, w.reports)
}

func TestCompletionsAreBounded(t *testing.T) {
	var e completions
	for i := range 2 * maxCompletions {
		e.add(time.Second, wire.Report{ID: strconv.Itoa(i)})
	}
	assert.Len(t, e.reports, maxCompletions)
	_, known := e.find(time.Second, strconv.Itoa(maxCompletions))
	assert.True(t, known)
	_, known = e.find(time.Second+completionTTL, strconv.Itoa(maxCompletions))
	assert.False(t, known)
	assert.Empty(t, e.reports)
	assert.Empty(t, e.order)
}
