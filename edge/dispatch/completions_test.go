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

// A store that became the primary before it received the report of the completion grants the message again.
func TestCompletedMessageIsNotRunAgain(t *testing.T) {
	for outcome, kind := range map[worker.Outcome]wire.ReportKind{worker.Done: wire.ReportDone, worker.Rejected: wire.ReportDead} {
		h := newHarness(t)
		h.accept("/p/", "1")
		h.finishAttempt(h.takeDelivery(), outcome)
		first := h.takeReport()
		assert.Equal(t, kind, first.Kind)
		h.grant(grantWithMessage("1"))
		assert.Empty(t, h.reports, "the queue has the report and repeats it by itself")
		h.record(h.core.Acknowledged(h.now, "0.1"))
		for _, grant := range []*wire.Grant{grantWithMessage("1"), {ID: "0.1"}} {
			h.record(h.core.Grant(h.now, grant))
			h.requireNoDelivery()
			assert.Equal(t, first, h.takeReport())
		}
		assert.True(t, h.core.Idle())
	}
}

// The reply to the put arrives after the message was granted with its body, and completed.
func TestAcceptAfterCompletionDoesNotRunAgain(t *testing.T) {
	h := newHarness(t)
	h.grant(grantWithMessage("1"))
	h.finishAttempt(h.takeDelivery(), worker.Done)
	first := h.takeReport()
	h.record(h.core.Acknowledged(h.now, "0.1"))
	h.accept("/p/", "1")
	h.requireNoDelivery()
	assert.Equal(t, first, h.takeReport())
}

// A store that does not have a message as pending may have granted it to another edge. The success of the attempt that
// was cancelled here is still reported.
func TestSuccessAfterUnknownIsReported(t *testing.T) {
	h := newHarness(t)
	h.accept("/p/", "1")
	d := h.takeDelivery()
	h.record(h.core.Unknown(h.now, "0.1"))
	h.finishAttempt(d, worker.Done)
	assert.Equal(t, wire.ReportDone, h.takeReport().Kind)
	h.grant(grantWithMessage("1"))
	h.requireNoDelivery()
	assert.Equal(t, wire.ReportDone, h.takeReport().Kind)
}

// The message was withdrawn and granted again. Its second attempt is in flight when the first one turns out to have
// succeeded.
func TestLateSuccessCancelsSecondAttempt(t *testing.T) {
	h := newHarness(t)
	h.accept("/p/", "1")
	first := h.takeDelivery()
	h.record(h.core.Unknown(h.now, "0.1"))
	h.grant(grantWithMessage("1"))
	second := h.takeDelivery()
	h.cancels = nil
	h.finishAttempt(first, worker.Done)
	assert.Equal(t, wire.ReportDone, h.takeReport().Kind)
	assert.Equal(t, []Cancel{{Job: second.Job, Attempt: second.Attempt}}, h.cancels)
	h.finishAttempt(second, worker.Cancelled)
	h.record(h.core.Acknowledged(h.now, "0.1"))
	assert.True(t, h.core.Idle())
	assert.Empty(t, h.reports)
}

func TestCompletionsAreBounded(t *testing.T) {
	var c completions
	for i := range 2 * maxCompletions {
		c.add(time.Second, wire.Report{ID: strconv.Itoa(i)})
	}
	assert.Len(t, c.reports, maxCompletions)
	_, known := c.find(time.Second, strconv.Itoa(maxCompletions))
	assert.True(t, known)
	_, known = c.find(time.Second+completionTTL, strconv.Itoa(maxCompletions))
	assert.False(t, known)
	assert.Empty(t, c.reports)
	assert.Empty(t, c.order)
}
