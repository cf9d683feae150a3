package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

func TestMessageWaitsForDelay(t *testing.T) {
	h := newHarness(t)
	m := messageTo("/p/", "1")
	m.DelayMs = 1500
	h.record(h.core.Accept(h.now, m, false))
	h.advance(1499 * ms)
	h.requireNoDelivery()
	h.advance(1 * ms)
	h.takeDelivery()
}

// The store measures the delay and the retention. Wall clocks, which may differ by any amount, affect neither.
func TestGrantWithMessageIsDue(t *testing.T) {
	for _, sent := range []int64{0, time.Now().UnixMilli(), time.Now().Add(time.Hour).UnixMilli()} {
		h := newHarness(t)
		m := messageTo("/p/", "1")
		m.DelayMs, m.SentUnixMs = 1500, sent
		h.grant(&wire.Grant{ID: m.ID, HasMessage: true, Message: *m})
		h.finishAttempt(h.takeDelivery(), worker.Done)
		assert.Equal(t, wire.ReportDone, h.takeReport().Kind)
	}
}

func TestOrderedMessageWaitsForGrant(t *testing.T) {
	h := newHarness(t)
	m := messageTo("/p/", "1")
	m.Ordered, m.Key = true, "k"
	h.record(h.core.Accept(h.now, m, false))
	h.advance(10 * time.Second)
	h.requireNoDelivery()
	grant := &wire.Grant{ID: m.ID}
	h.record(h.core.Grant(h.now, grant))
	d := h.takeDelivery()
	h.record(h.core.Grant(h.now, grant)) // repeated
	h.requireNoDelivery()
	h.finishAttempt(d, worker.Done)
	h.takeReport()
	h.record(h.core.Grant(h.now, grant)) // and after its completion
	h.requireNoDelivery()
	assert.Empty(t, h.reports)
}

func TestGrantedMessageWaitsForDelay(t *testing.T) {
	h := newHarness(t)
	m := messageTo("/p/", "1")
	m.Ordered, m.Key, m.DelayMs = true, "k", 1000
	h.record(h.core.Accept(h.now, m, true))
	h.advance(999 * ms)
	h.requireNoDelivery()
	h.advance(1 * ms)
	h.takeDelivery()
}

func TestGrantOfLeasedMessageIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.accept("/p/", "1")
	d := h.takeDelivery()
	h.grant(&wire.Grant{ID: "0.1", HasMessage: true, Message: *messageTo("/p/", "1")})
	h.requireNoDelivery()
	h.finishAttempt(d, worker.Done)
	assert.Equal(t, wire.ReportDone, h.takeReport().Kind)
}

func TestGrantOfUnknownMessageIsReleased(t *testing.T) {
	h := newHarness(t)
	h.record(h.core.Grant(h.now, &wire.Grant{ID: "0.7"}))
	assert.Equal(t, wire.Report{ID: "0.7", Kind: wire.ReportReleased}, h.takeReport())
}

func TestReleasedMessageMayBeGrantedAgain(t *testing.T) {
	h := newHarness(t)
	h.config.Services[2].RatePerS = 4
	h.record(h.core.SetEdges(h.now, edgesOf("other"))) // this edge has no share of any rate limit
	h.accept("/l/", "1")
	assert.Empty(t, h.reports, "a message that may be granted again at once is released after releaseDelay")
	h.advance(releaseDelay)
	assert.Equal(t, wire.ReportReleased, h.takeReport().Kind)
	h.record(h.core.SetEdges(h.now, edgesOf("e1")))
	h.grant(&wire.Grant{ID: "0.1", HasMessage: true, Message: *messageTo("/l/", "1")})
	h.record(h.core.Acknowledged(h.now, "0.1")) // the acknowledgement of the release must not remove the message
	h.advance(2 * time.Second)
	h.takeDelivery()
}

func TestMaxBodyBytes(t *testing.T) {
	h := newHarness(t)
	h.core.config.MaxBodyBytes = 2000
	m := messageTo("/p/", "1")
	m.Body = make([]byte, 1500)
	h.record(h.core.Accept(h.now, m, false))
	h.takeDelivery()
	other := messageTo("/p/", "2")
	other.Body = make([]byte, 1500)
	h.grant(&wire.Grant{ID: other.ID, HasMessage: true, Message: *other})
	h.advance(releaseDelay)
	assert.Equal(t, wire.ReportReleased, h.takeReport().Kind)
	h.requireNoDelivery()
}
