package dispatch

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

// pause advances the clock by a pause of the process: what was due meanwhile happens at its end.
func (h *harness) pause(span time.Duration) {
	h.now += span
	h.core.RevokeLeases(h.now)
	h.record(h.core.Tick(h.now))
}

func (h *harness) acceptDelayed(id string, delay time.Duration) {
	m := messageTo("/p/", id)
	m.DelayMs = uint32(delay.Milliseconds())
	h.record(h.core.Accept(h.now, m, false))
}

// An edge that wakes from a freeze must not run what its stores may have assigned to other edges meanwhile.
func TestMessageIsNotSentOnLeaseFromBeforePause(t *testing.T) {
	h := newHarness(t)
	h.acceptDelayed("1", time.Second)
	h.acceptDelayed("2", time.Second)
	h.pause(3200 * ms)
	h.requireNoDelivery()
	h.record(h.core.ConfirmLeases(h.now, []string{"0.1"}, h.now-time.Second)) // an answer from before the pause
	h.requireNoDelivery()

	h.advance(20 * ms)
	h.record(h.core.ConfirmLeases(h.now, []string{"0.1"}, h.now))
	h.record(h.core.Unknown(h.now, "0.2"))
	assert.Equal(t, "1", h.takeDelivery().Delivery.RequestID)
	h.advance(time.Minute)
	require.Empty(t, h.reports)
}

func TestDetectsMessageSentOnLeaseFromBeforePause(t *testing.T) {
	h := newHarness(t)
	h.core.mutations.trustsRevokedLeases = true
	h.acceptDelayed("1", time.Second)
	h.pause(3200 * ms)
	require.Len(t, h.deliveries, 1)
}

// The check is made at the send: also for a message whose delay ends later, and for the next attempt of one that was
// attempted before the pause.
func TestLeaseIsCheckedAtEachSend(t *testing.T) {
	h := newHarness(t)
	h.acceptDelayed("later", 5*time.Second)
	h.accept("/p/", "retried")
	before := h.takeDelivery()
	h.pause(3200 * ms)
	h.finishAttempt(before, worker.Unreachable)
	h.advance(500 * ms)
	h.requireNoDelivery()
	h.record(h.core.ConfirmLeases(h.now, []string{"0.later", "0.retried"}, h.now))
	assert.Equal(t, "retried", h.takeDelivery().Delivery.RequestID)
	h.advance(5 * time.Second)
	assert.Equal(t, "later", h.takeDelivery().Delivery.RequestID)
}

func TestMessageWhoseLeaseIsNotConfirmedIsReleased(t *testing.T) {
	h := newHarness(t)
	h.acceptDelayed("1", time.Second)
	h.pause(3200 * ms)
	h.advance(maxLeaseWait)
	h.requireNoDelivery()
	assert.Equal(t, wire.ReportReleased, h.takeReport().Kind)
}

// A store that grants the message after the pause has confirmed the lease by that.
func TestGrantConfirmsLease(t *testing.T) {
	h := newHarness(t)
	h.acceptDelayed("1", time.Second)
	h.pause(3200 * ms)
	h.grant(&wire.Grant{ID: "0.1", HasMessage: true, Message: *messageTo("/p/", "1")})
	h.takeDelivery()
	h.acceptDelayed("2", 0)
	h.takeDelivery()
}

// The process may be paused after the decision to send, while a connection to the worker is being made.
func TestDeliveryIsRevokedByPauseBeforeItIsSent(t *testing.T) {
	mgr, q := startManager(t, func(http.ResponseWriter, *http.Request) {})
	started := make(chan *worker.Delivery, 1)
	mgr.workers = workersFunc(func(d *worker.Delivery) { started <- d })
	mgr.Accept(messageTo("/p/", "1"), false)
	d := <-started
	assert.False(t, d.Revoked())
	q.mu.Lock()
	q.leasesValidFrom = mgr.host.Now() + 1
	q.mu.Unlock()
	assert.True(t, d.Revoked())
}

// workersFunc is a Workers that passes each delivery on and never ends it.
type workersFunc func(d *worker.Delivery)

// Start implements Workers.
func (f workersFunc) Start(d *worker.Delivery, _ func(worker.Result)) Call {
	f(d)
	return ignoredCall{}
}

// SetLimits implements Workers.
func (workersFunc) SetLimits(map[string]worker.Share) {}

type ignoredCall struct{}

// Cancel implements Call.
func (ignoredCall) Cancel() {}
