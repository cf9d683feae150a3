package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

func TestDelayIsKept(t *testing.T) {
	w := newWorld(t)
	m := messageTo("/p/", "1")
	m.DelayMs = 1500
	w.apply(w.core.Accept(w.now, m, false))
	w.pass(1499 * ms)
	w.sentNothing()
	w.pass(1 * ms)
	w.sent()
}

// The store has kept the delay, and it keeps the end: the time of day, which may be off by any amount, moves neither.
func TestGrantWithItsMessageIsDue(t *testing.T) {
	for _, sent := range []int64{0, time.Now().UnixMilli(), time.Now().Add(time.Hour).UnixMilli()} {
		w := newWorld(t)
		m := messageTo("/p/", "1")
		m.DelayMs, m.SentUnixMs = 1500, sent
		w.apply(w.core.Grant(w.now, &wire.Grant{ID: m.ID, HasMessage: true, Message: *m}))
		w.end(w.sent(), worker.Done)
		assert.Equal(t, wire.ReportDone, w.reported().Kind)
	}
}

func TestOrderedMessageWaitsForItsGrant(t *testing.T) {
	w := newWorld(t)
	m := messageTo("/p/", "1")
	m.Ordered, m.Key = true, "k"
	w.apply(w.core.Accept(w.now, m, false))
	w.pass(10 * time.Second)
	w.sentNothing()
	grant := &wire.Grant{ID: m.ID}
	w.apply(w.core.Grant(w.now, grant))
	d := w.sent()
	w.apply(w.core.Grant(w.now, grant)) // repeated
	w.sentNothing()
	w.end(d, worker.Done)
	w.reported()
	w.apply(w.core.Grant(w.now, grant)) // and after its end
	w.sentNothing()
	assert.Empty(t, w.reports)
}

func TestGrantBeforeTheDelayIsOver(t *testing.T) {
	w := newWorld(t)
	m := messageTo("/p/", "1")
	m.Ordered, m.Key, m.DelayMs = true, "k", 1000
	w.apply(w.core.Accept(w.now, m, true))
	w.pass(999 * ms)
	w.sentNothing()
	w.pass(1 * ms)
	w.sent()
}

func TestGrantOfALeasedMessageChangesNothing(t *testing.T) {
	w := newWorld(t)
	w.accept("/p/", "1")
	d := w.sent()
	w.apply(w.core.Grant(w.now, &wire.Grant{ID: "0.1", HasMessage: true, Message: *messageTo("/p/", "1")}))
	w.sentNothing()
	w.end(d, worker.Done)
	assert.Equal(t, wire.ReportDone, w.reported().Kind)
}

func TestGrantOfAnUnknownMessageIsReleased(t *testing.T) {
	w := newWorld(t)
	w.apply(w.core.Grant(w.now, &wire.Grant{ID: "0.7"}))
	assert.Equal(t, wire.Report{ID: "0.7", Kind: wire.ReportReleased}, w.reported())
}

func TestReleasedMessageMayBeGrantedAgain(t *testing.T) {
	w := newWorld(t)
	w.config.Services[2].RatePerS = 4
	w.apply(w.core.SetEdges(w.now, edgesOf("other"))) // this edge has no share of any rate limit
	w.accept("/l/", "1")
	assert.Empty(t, w.reports, "it may come again at once: not too fast")
	w.pass(releaseDelay)
	assert.Equal(t, wire.ReportReleased, w.reported().Kind)
	w.apply(w.core.SetEdges(w.now, edgesOf("e1")))
	w.apply(w.core.Grant(w.now, &wire.Grant{ID: "0.1", HasMessage: true, Message: *messageTo("/l/", "1")}))
	w.apply(w.core.Acknowledged(w.now, "0.1")) // of the release: too late to matter
	w.pass(2 * time.Second)
	w.sent()
}

func TestLeasedBodiesAreBounded(t *testing.T) {
	w := newWorld(t)
	w.core.config.MaxBodyBytes = 2000
	m := messageTo("/p/", "1")
	m.Body = make([]byte, 1500)
	w.apply(w.core.Accept(w.now, m, false))
	w.sent()
	other := messageTo("/p/", "2")
	other.Body = make([]byte, 1500)
	w.apply(w.core.Grant(w.now, &wire.Grant{ID: other.ID, HasMessage: true, Message: *other}))
	w.pass(releaseDelay)
	assert.Equal(t, wire.ReportReleased, w.reported().Kind)
	w.sentNothing()
}
