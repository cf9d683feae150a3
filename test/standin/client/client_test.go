package client_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/test/standin/client"
	"ravendale/test/standin/history"
	"ravendale/test/standin/protocol"
)

// edge starts an HTTP server that stands in for an edge.
func edge(t *testing.T, handler http.HandlerFunc) client.Edge {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	return client.Edge{HTTP: address, Readiness: address}
}

func within(t *testing.T, limit time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	t.Cleanup(cancel)
	return ctx
}

func TestRun(t *testing.T) {
	var mutex sync.Mutex
	bodies := make(map[string]uint64)
	taking := edge(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		id := r.Header.Get(protocol.HeaderRequestID)
		mutex.Lock()
		bodies[id] = xxhash.Sum64(body)
		mutex.Unlock()
		w.Header().Set(protocol.HeaderMessageID, "m-"+id)
		w.WriteHeader(http.StatusAccepted)
	})
	record := history.NewRecorder()
	clients := client.New(client.NewBalancer([]client.Edge{taking}), record)
	clients.Run(within(t, 10*time.Second), client.Load{
		RatePerS: 400,
		Duration: 300 * time.Millisecond,
		Traffic: []client.Traffic{
			{Route: "plain", Host: "a.example", Target: "/plain/x", Weight: 3, BodyBytes: 100, DelayShare: 1, DelayMax: time.Second},
			{Route: "ordered", Host: "a.example", Target: "/ordered/x", Weight: 1, Keys: 2},
		},
	})
	h := record.History()
	require.NotEmpty(t, h.Sends)
	routes := make(map[string]int)
	for _, send := range h.Sends {
		assert.True(t, send.Accepted())
		assert.Equal(t, "m-"+send.RequestID, send.MessageID)
		assert.Equal(t, bodies[send.RequestID], send.Body)
		assert.Equal(t, taking.HTTP, send.Edge)
		assert.Equal(t, send.Route == "ordered", send.Key != "")
		routes[send.Route]++
	}
	assert.Len(t, bodies, len(h.Sends), "each attempt has its own id")
	assert.Greater(t, routes["plain"], routes["ordered"])
}

func TestRetries(t *testing.T) {
	load := client.Load{RatePerS: 1, Duration: time.Millisecond, Traffic: []client.Traffic{{Route: "plain", Host: "a.example", Target: "/"}}}

	refusing := edge(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	record := history.NewRecorder()
	client.New(client.NewBalancer([]client.Edge{refusing}), record).Run(within(t, 10*time.Second), load)
	assert.Len(t, record.History().Sends, 4)

	closing := edge(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	record = history.NewRecorder()
	client.New(client.NewBalancer([]client.Edge{closing}), record).Run(within(t, 10*time.Second), load)
	sends := record.History().Sends
	require.Len(t, sends, 1)
	assert.Zero(t, sends[0].Status)
	assert.NotEmpty(t, sends[0].Problem)
}

func TestReadBackRetries(t *testing.T) {
	var asked atomic.Int64
	telling := edge(t, func(w http.ResponseWriter, r *http.Request) {
		if asked.Add(1) == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		switch r.URL.Path {
		case "/v1/message/done":
			_, _ = fmt.Fprint(w, `{"state":"done","signature":"s1"}`)
		case "/v1/message/held":
			_, _ = fmt.Fprint(w, `{"state":"pending"}`)
		case "/v1/message-body/held":
			_, _ = fmt.Fprint(w, "bytes")
		case "/v1/message/dropped": // its body can't be read
			_, _ = fmt.Fprint(w, `{"state":"dead_letter"}`)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
	record := history.NewRecorder()
	clients := client.New(client.NewBalancer([]client.Edge{telling}), record)
	clients.ReadBack(within(t, 800*time.Millisecond), []history.Send{
		{RequestID: "r1", MessageID: "done"}, {RequestID: "r2", MessageID: "held"}, {RequestID: "r3", MessageID: "gone"},
		{RequestID: "r4", MessageID: "dropped"},
	})
	readings := make(map[string]history.Reading)
	for _, reading := range record.History().Readings {
		readings[reading.RequestID] = reading
	}
	require.Len(t, readings, 4)
	assert.Equal(t, "s1", readings["r1"].Signature)
	assert.Equal(t, xxhash.Sum64String("bytes"), readings["r2"].Body)
	assert.Equal(t, http.StatusNotFound, readings["r3"].StateStatus, "the answered status, not the interruption by the end of the context")
	assert.Equal(t, http.StatusOK, readings["r4"].StateStatus)
	assert.Equal(t, protocol.StateDead, readings["r4"].State)
	assert.Equal(t, http.StatusNotFound, readings["r4"].BodyStatus)
}

func TestBalancerSkipsUnreadyEdges(t *testing.T) {
	var ready atomic.Bool
	flapping := edge(t, func(w http.ResponseWriter, _ *http.Request) {
		if !ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	steady := edge(t, func(http.ResponseWriter, *http.Request) {})
	balancer := client.NewBalancer([]client.Edge{flapping, steady})
	ctx := within(t, 10*time.Second)

	assert.Equal(t, 1, balancer.Ready(ctx))
	for range 20 {
		assert.Equal(t, steady, balancer.Pick())
	}
	ready.Store(true)
	assert.Equal(t, 2, balancer.Ready(ctx))
	ready.Store(false)
	assert.Equal(t, 2, balancer.Ready(ctx), "one miss is not enough")
	assert.Equal(t, 1, balancer.Ready(ctx))
}
