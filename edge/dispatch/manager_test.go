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
	"ravendale/cluster/wire"
	"ravendale/edge/worker"
)

// fakeQueue acknowledges reports at once, on another goroutine, unless it is paused.
type fakeQueue struct {
	manager *Manager

	mu      sync.Mutex
	reports []wire.Report
	waiting int
	hold    bool
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

// startManager has one service with a single endpoint, which the handler plays.
func startManager(t *testing.T, handler http.HandlerFunc) (*Manager, *fakeQueue) {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client := worker.NewClient()
	t.Cleanup(client.Close)
	p := NewManager(Config{
		Topology: Topology{Edge: "e1", Zone: "z1", Zones: []string{"z1"}}, Window: 5 * time.Second, Overshoot: 1.1,
		MaxBodyBytes: 1 << 20,
	}, client)
	t.Cleanup(p.Close)
	q := &fakeQueue{manager: p}
	p.Start(q)
	p.SetEdges(edgesOf("e1"))
	p.ApplyConfig(catalog.NewIndex(&catalog.Config{
		Routes:   []catalog.Route{{Name: "r", Host: "a.example", PathPrefix: "/p/", Type: DeferredType, Service: "s", TimeoutMs: 2000, Retries: 3}},
		Services: []catalog.Service{{Name: "s", Endpoint: server.Listener.Addr().(*net.TCPAddr).String(), MaxConns: 20}},
	}))
	return p, q
}

func succeed(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Signature", "sig")
}

func TestManagerDeliversAndReports(t *testing.T) {
	p, q := startManager(t, succeed)
	assert.True(t, p.Accepts("s", 100))
	assert.False(t, p.Accepts("s", 2<<20), "no room")
	assert.False(t, p.Accepts("other", 1))
	for _, id := range []string{"1", "2", "3"} {
		p.Accept(messageTo("/p/x", id), false)
	}
	p.Grant(&wire.Grant{ID: "0.4", HasMessage: true, Message: *messageTo("/p/x", "4")})
	require.Eventually(t, func() bool { return len(p.MessageIDs()) == 0 && len(q.kinds()) == 4 }, 3*time.Second, time.Millisecond)
	for _, r := range q.list() {
		assert.Equal(t, wire.ReportDone, r.Kind)
		assert.Equal(t, "sig", r.Signature)
	}
}

func TestManagerRetriesByItself(t *testing.T) {
	var mu sync.Mutex
	calls := 0
	p, q := startManager(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		calls++
		number := calls
		mu.Unlock()
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		switch number {
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
	p.Accept(messageTo("/p/x", "1"), false)
	require.Eventually(t, func() bool { return len(p.MessageIDs()) == 0 }, 5*time.Second, time.Millisecond)
	assert.Equal(t, []wire.ReportKind{wire.ReportFailed, wire.ReportDone}, q.kinds())
}

func TestPlannedStopEndsWhatIsUnderWay(t *testing.T) {
	began, hold := make(chan struct{}), make(chan struct{})
	p, q := startManager(t, func(w http.ResponseWriter, r *http.Request) {
		close(began)
		<-hold
		succeed(w, r)
	})
	p.Accept(messageTo("/p/x", "1"), false)
	<-began
	delayed := messageTo("/p/x", "2")
	delayed.DelayMs = 60000
	p.Accept(delayed, false)
	p.Stop()
	assert.False(t, p.Accepts("s", 1))
	require.Eventually(t, func() bool { return len(q.kinds()) == 1 }, 3*time.Second, time.Millisecond)
	short, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	assert.False(t, p.AwaitDrained(short))
	time.AfterFunc(50*time.Millisecond, func() { close(hold) })
	assert.True(t, p.AwaitDrained(context.Background()))
	assert.Equal(t, []wire.ReportKind{wire.ReportReleased, wire.ReportDone}, q.kinds())
}

func TestDrainWaitsForAcknowledgements(t *testing.T) {
	p, q := startManager(t, succeed)
	q.hold = true
	p.Accept(messageTo("/p/x", "1"), false)
	require.Eventually(t, func() bool { return len(q.kinds()) == 1 }, 3*time.Second, time.Millisecond)
	p.Stop()
	short, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	assert.False(t, p.AwaitDrained(short))
	go p.Acknowledged("0.1")
	assert.True(t, p.AwaitDrained(context.Background()))
}

func TestManagerUnderLoad(t *testing.T) {
	p, q := startManager(t, succeed)
	const count = 500
	var group sync.WaitGroup
	for part := range 5 {
		group.Go(func() {
			for i := range count / 5 {
				p.Accept(messageTo("/p/x", strings.Repeat("x", part+1)+string(rune('a'+i/10))+string(rune('0'+i%10))), false)
			}
		})
	}
	group.Wait()
	require.Eventually(t, func() bool { return len(p.MessageIDs()) == 0 && len(q.kinds()) == count }, 10*time.Second, time.Millisecond)
}
