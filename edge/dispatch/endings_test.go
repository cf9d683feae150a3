package dispatch

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

func wholeGrant(id string) *wire.Grant {
	return &wire.Grant{ID: "0." + id, Whole: true, Message: *messageTo("/p/", id)}
}

// A store that took over before it heard of the end hands the message out anew.
func TestMessageThatEndedHereIsNotRunAgain(t *testing.T) {
	for outcome, kind := range map[worker.Outcome]wire.ReportKind{worker.Done: wire.ReportDone, worker.Refused: wire.ReportDead} {
		w := newWorld(t)
		w.accept("/p/", "1")
		w.end(w.sent(), outcome)
		first := w.told()
		assert.Equal(t, kind, first.Kind)
		w.take(w.core.Grant(w.now, wholeGrant("1")))
		assert.Empty(t, w.reports, "the queue has its report, and repeats it")
		w.take(w.core.Acknowledged(w.now, "0.1"))
		for _, grant := range []*wire.Grant{wholeGrant("1"), {ID: "0.1"}} {
			w.take(w.core.Grant(w.now, grant))
			w.unsent()
			assert.Equal(t, first, w.told())
		}
		assert.True(t, w.core.Idle())
	}
}

// The answer to its put comes after the message was handed over whole and run.
func TestKeptMessageThatEndedHereIsNotRunAgain(t *testing.T) {
	w := newWorld(t)
	w.take(w.core.Grant(w.now, wholeGrant("1")))
	w.end(w.sent(), worker.Done)
	first := w.told()
	w.take(w.core.Acknowledged(w.now, "0.1"))
	w.accept("/p/", "1")
	w.unsent()
	assert.Equal(t, first, w.told())
}

// A store that does not know a message may have given it to another edge: the success of the run that was cut off is still told.
func TestSuccessOfAMessageThatWasLetGoIsTold(t *testing.T) {
	w := newWorld(t)
	w.accept("/p/", "1")
	d := w.sent()
	w.take(w.core.Unknown(w.now, "0.1"))
	w.end(d, worker.Done)
	assert.Equal(t, wire.ReportDone, w.told().Kind)
	w.take(w.core.Grant(w.now, wholeGrant("1")))
	w.unsent()
	assert.Equal(t, wire.ReportDone, w.told().Kind)
}

// The message was let go, came again and runs once more when the first run turns out to have succeeded.
func TestLateSuccessEndsTheSecondStay(t *testing.T) {
	w := newWorld(t)
	w.accept("/p/", "1")
	first := w.sent()
	w.take(w.core.Unknown(w.now, "0.1"))
	w.take(w.core.Grant(w.now, wholeGrant("1")))
	second := w.sent()
	w.cancels = nil
	w.end(first, worker.Done)
	assert.Equal(t, wire.ReportDone, w.told().Kind)
	assert.Equal(t, []Cancel{{Job: second.Job, Attempt: second.Attempt}}, w.cancels)
	w.end(second, worker.Cancelled)
	w.take(w.core.Acknowledged(w.now, "0.1"))
	assert.True(t, w.core.Idle())
	assert.Empty(t, w.reports)
}

func TestEndingsAreBounded(t *testing.T) {
	var e endings
	for i := range 2 * endingsKept {
		e.add(time.Second, wire.Report{ID: strconv.Itoa(i)})
	}
	assert.Len(t, e.reports, endingsKept)
	_, known := e.find(time.Second, strconv.Itoa(endingsKept))
	assert.True(t, known)
	_, known = e.find(time.Second+endingsFor, strconv.Itoa(endingsKept))
	assert.False(t, known)
	assert.Empty(t, e.reports)
	assert.Empty(t, e.order)
}
