package dispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/catalog"
	"ravendale/cluster/host"
	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

// fakeQueue acknowledges each report on a goroutine of its own, except for failures, unless hold is set.
type fakeQueue struct {
	manager *Manager

	mu      sync.Mutex
	reports []wire.Report
	waiting int
	hold    bool

	leasesValidFrom time.Duration
}

func (q *fakeQueue) Report(r wire.Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reports = append(q.reports, r)
	if q.hold || r.Kind == wire.ReportFailed {
		return
	}
	q.waiting++
	go func() {
		q.mu.Lock()
		q.waiting--
		q.mu.Unlock()
		q.manager.Acknowledged(r.ID)
	}()
}

func (q *fakeQueue) Pending() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}

func (q *fakeQueue) LeasesValidFrom() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.leasesValidFrom
}

func (q *fakeQueue) list() []wire.Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	return append([]wire.Report(nil), q.reports...)
}

func (q *fakeQueue) kinds() (kinds []wire.ReportKind) {
	for _, r := range q.list() {
		kinds = append(kinds, r.Kind)
	}
	return kinds
}

// startManager returns a manager with one service, whose only endpoint is served by the handler.
func startManager(t *testing.T, handler http.HandlerFunc) (*Manager, *fakeQueue) {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client := worker.NewClient()
	t.Cleanup(client.Close)
	mgr := NewManager(Config{
		Topology: Topology{Edge: "e1", Zone: "z1", Zones: []string{"z1"}}, Window: 5 * time.Second, Overshoot: 1.1,
		MaxBodyBytes: 1 << 20,
	}, client)
	t.Cleanup(mgr.Close)
	q := &fakeQueue{manager: mgr}
	mgr.SetQueue(q)
	mgr.SetEdges(edgesOf("e1"))
	mgr.ApplyConfig(catalog.NewIndex(&catalog.Config{
		Routes:   []catalog.Route{{Name: "r", Host: "a.example", PathPrefix: "/p/", Type: DeferredType, Service: "s", TimeoutMs: 2000, Retries: 3}},
		Services: []catalog.Service{{Name: "s", Endpoint: server.Listener.Addr().(*net.TCPAddr).String(), MaxConns: 20}},
	}))
	return mgr, q
}

func succeed(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Signature", "sig")
}

func TestManagerDeliversAndReports(t *testing.T) {
	mgr, q := startManager(t, succeed)
	assert.True(t, mgr.Accepts("s", 100))
	assert.False(t, mgr.Accepts("s", 2<<20), "the body exceeds MaxBodyBytes")
	assert.False(t, mgr.Accepts("other", 1))
	for _, id := range []string{"1", "2", "3"} {
		mgr.Accept(messageTo("/p/x", id), false)
	}
	mgr.Grant(&wire.Grant{ID: "0.4", HasMessage: true, Message: *messageTo("/p/x", "4")})
	mgr.ConfirmConfig(host.System.Now())
	require.Eventually(t, func() bool { return len(mgr.MessageIDs()) == 0 && len(q.kinds()) == 4 }, 3*time.Second, time.Millisecond)
	for _, r := range q.list() {
		assert.Equal(t, wire.ReportDone, r.Kind)
		assert.Equal(t, "sig", r.Signature)
	}
}

func TestManagerRetries(t *testing.T) {
	var mu sync.Mutex
	calls := 0
	mgr, q := startManager(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		calls++
		call := calls
		mu.Unlock()
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		switch call {
		case 1:
			w.WriteHeader(http.StatusInternalServerError)
		case 2:
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case 3:
			panic(http.ErrAbortHandler)
		default:
			succeed(w, r)
		}
	})
	mgr.Accept(messageTo("/p/x", "1"), false)
	require.Eventually(t, func() bool { return len(mgr.MessageIDs()) == 0 }, 5*time.Second, time.Millisecond)
	assert.Equal(t, []wire.ReportKind{wire.ReportFailed, wire.ReportDone}, q.kinds())
}

func TestStopWaitsForAttemptsInFlight(t *testing.T) {
	started, proceed := make(chan struct{}), make(chan struct{})
	mgr, q := startManager(t, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-proceed
		succeed(w, r)
	})
	mgr.Accept(messageTo("/p/x", "1"), false)
	<-started
	delayed := messageTo("/p/x", "2")
	delayed.DelayMs = 60000
	mgr.Accept(delayed, false)
	mgr.Stop()
	assert.False(t, mgr.Accepts("s", 1))
	require.Eventually(t, func() bool { return len(q.kinds()) == 1 }, 3*time.Second, time.Millisecond)
	short, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	assert.False(t, mgr.AwaitDrained(short))
	time.AfterFunc(50*time.Millisecond, func() { close(proceed) })
	assert.True(t, mgr.AwaitDrained(context.Background()))
	assert.Equal(t, []wire.ReportKind{wire.ReportReleased, wire.ReportDone}, q.kinds())
}

func TestAwaitDrainedWaitsForAcknowledgements(t *testing.T) {
	mgr, q := startManager(t, succeed)
	q.hold = true
	mgr.Accept(messageTo("/p/x", "1"), false)
	require.Eventually(t, func() bool { return len(q.kinds()) == 1 }, 3*time.Second, time.Millisecond)
	mgr.Stop()
	short, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	assert.False(t, mgr.AwaitDrained(short))
	go mgr.Acknowledged("0.1")
	assert.True(t, mgr.AwaitDrained(context.Background()))
}

func TestManagerConcurrentAccepts(t *testing.T) {
	mgr, q := startManager(t, succeed)
	const count = 500
	var wg sync.WaitGroup
	for part := range 5 {
		wg.Go(func() {
			for i := range count / 5 {
				mgr.Accept(messageTo("/p/x", strings.Repeat("x", part+1)+string(rune('a'+i/10))+string(rune('0'+i%10))), false)
			}
		})
	}
	wg.Wait()
	require.Eventually(t, func() bool { return len(mgr.MessageIDs()) == 0 && len(q.kinds()) == count }, 10*time.Second, time.Millisecond)
}
