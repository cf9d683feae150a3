package operatorclient

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/control/api"
	"ravendale/control/core"
	"ravendale/control/state"
	"ravendale/control/status"
)

// system is a group of control processes that share a real state machine.
type system struct {
	t       *testing.T
	machine *state.Machine
	mu      sync.Mutex
	stores  map[string]string
	leads   string // admin address of the leader; empty: there is none
}

func newSystem(t *testing.T) *system {
	return &system{t: t, machine: state.NewMachine(), stores: map[string]string{}}
}

// control is one control process. Each call of Submit or StartRetire takes the next error of before, returned instead
// of applying the order, and the next error of after, returned once it has been applied.
type control struct {
	system  *system
	address string
	orders  atomic.Int32
	before  []error
	after   []error
}

func (c *control) Submit(_ context.Context, command []byte) ([]byte, error) {
	c.orders.Add(1)
	if err := pop(&c.before); err != nil {
		return nil, err
	}
	result := c.system.machine.Apply(command)
	return result, pop(&c.after)
}

func pop(list *[]error) error {
	if len(*list) == 0 {
		return nil
	}
	err := (*list)[0]
	*list = (*list)[1:]
	return err
}

func (c *control) StartRetire(_ context.Context, node string, _ time.Duration) error {
	c.orders.Add(1)
	if err := pop(&c.before); err != nil {
		return err
	}
	c.system.mu.Lock()
	defer c.system.mu.Unlock()
	if c.system.stores[node] == "" {
		return api.ErrUnknownNode
	}
	c.system.stores[node] = RetireRunning
	return pop(&c.after)
}

func (c *control) RetireState(_ context.Context, node string) (string, error) {
	c.system.mu.Lock()
	defer c.system.mu.Unlock()
	if state := c.system.stores[node]; state != "" {
		return state, nil
	}
	return "", api.ErrUnknownNode
}

func (c *control) redirect() (string, bool) {
	c.system.mu.Lock()
	defer c.system.mu.Unlock()
	if c.system.leads == c.address {
		return "", true
	}
	return c.system.leads, c.system.leads != ""
}

func (c *control) status(context.Context) status.Status {
	return status.Status{Node: c.address, Config: status.ConfigOf(c.system.machine.Current())}
}

func (s *system) start() *control {
	s.t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(s.t, err)
	c := &control{system: s, address: listener.Addr().String()}
	server := api.New(api.Options{
		Submitter: c, Retirer: c, Log: slog.New(slog.DiscardHandler), Redirect: c.redirect, Status: c.status,
	})
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener)
	}()
	s.t.Cleanup(func() {
		_ = server.Shutdown(context.Background())
		<-served
	})
	return c
}

// client returns a client of the addresses that records its pauses instead of waiting. After maxPauses of them its time
// is over.
func (s *system) client(maxPauses int, addresses ...string) (*Client, *[]time.Duration) {
	s.t.Helper()
	var pauses []time.Duration
	client, err := New(Options{Addresses: addresses, Sleep: func(_ context.Context, pause time.Duration) error {
		pauses = append(pauses, pause)
		if len(pauses) >= maxPauses {
			return context.DeadlineExceeded
		}
		return nil
	}})
	require.NoError(s.t, err)
	return client, &pauses
}

// closedAddress returns an address on which no process listens.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// abortingServer starts a server that reads a request and closes the connection without an answer.
func abortingServer(t *testing.T) string {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func document(version int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[],"backends":[{"name":"s"}],"limits":{}}`, version)
}

func failureOf(t *testing.T, err error) *Error {
	t.Helper()
	var failure *Error
	require.ErrorAs(t, err, &failure)
	return failure
}

func TestSetPatchAndShow(t *testing.T) {
	s := newSystem(t)
	client, pauses := s.client(1, s.start().address)
	version, err := client.Set(t.Context(), 0, document(5))
	require.NoError(t, err)
	require.Equal(t, uint64(5), version)
	version, err = client.Patch(t.Context(), 5, []byte(`{"version":7,"upsert":{"backends":[{"name":"n"}]}}`))
	require.NoError(t, err)
	require.Equal(t, uint64(7), version)
	shown, err := client.Show(t.Context())
	require.NoError(t, err)
	require.Equal(t, uint64(7), shown.Version)
	require.Contains(t, string(shown.Body), `{"name":"n"}`)
	require.Empty(t, *pauses)
}

func TestShowWithoutConfiguration(t *testing.T) {
	s := newSystem(t)
	client, _ := s.client(10, s.start().address)
	shown, err := client.Show(t.Context())
	require.NoError(t, err)
	require.Equal(t, &Document{}, shown)
}

func TestUndecidedOrderIsRetriedAtNextAddress(t *testing.T) {
	s := newSystem(t)
	first, second := s.start(), s.start()
	first.after = []error{core.ErrUnknown}
	client, pauses := s.client(10, first.address, second.address)
	version, err := client.Set(t.Context(), 0, document(5))
	require.NoError(t, err)
	require.Equal(t, uint64(5), version)
	require.EqualValues(t, 1, second.orders.Load())
	require.Equal(t, []time.Duration{firstPause}, *pauses)
	require.Equal(t, uint64(1), s.machine.Current().Sequence, "the order was applied once")
}

func TestUnreachableAddressesAreSkipped(t *testing.T) {
	s := newSystem(t)
	client, pauses := s.client(10, closedAddress(t), abortingServer(t), s.start().address)
	_, err := client.Set(t.Context(), 0, document(5))
	require.NoError(t, err)
	require.Equal(t, []time.Duration{firstPause, 2 * firstPause}, *pauses)
}

func TestUnavailableIsDistinguishedFromUndecided(t *testing.T) {
	s := newSystem(t)
	busy := s.start()
	busy.before = []error{core.ErrUnavailable, core.ErrUnavailable, core.ErrUnavailable}
	client, pauses := s.client(3, busy.address, closedAddress(t))
	_, err := client.Set(t.Context(), 0, document(5))
	failure := failureOf(t, err)
	require.Equal(t, KindUnavailable, failure.Kind)
	require.Equal(t, 3, failure.Attempts)
	require.Equal(t, time.Second, (*pauses)[0], "the pause that the answer requested")

	client, _ = s.client(3, abortingServer(t), closedAddress(t))
	_, err = client.Set(t.Context(), 0, document(5))
	require.Equal(t, KindUndecided, failureOf(t, err).Kind, "the first address may have applied the order")
	require.Contains(t, err.Error(), "without a clear answer")
}

func TestConflictAndInvalidOrdersAreNotRetried(t *testing.T) {
	s := newSystem(t)
	client, pauses := s.client(1, s.start().address)
	_, err := client.Set(t.Context(), 0, document(5))
	require.NoError(t, err)
	_, err = client.Set(t.Context(), 0, document(6))
	failure := failureOf(t, err)
	require.Equal(t, KindConflict, failure.Kind)
	require.Equal(t, uint64(5), failure.Version)
	_, err = client.Set(t.Context(), 5, []byte(`{"version":6,"routes":[{}],"backends":[],"limits":{}}`))
	failure = failureOf(t, err)
	require.Equal(t, KindInvalid, failure.Kind)
	require.NotEmpty(t, failure.Findings)
	require.Empty(t, *pauses)
}

func TestOtherClientErrorsAreFinalAtThirdAttempt(t *testing.T) {
	s := newSystem(t)
	s.stores["store-1"] = RetireDone
	c := s.start()
	s.leads = c.address
	client, pauses := s.client(10, c.address)
	require.Equal(t, KindNotFound, failureOf(t, client.StartRetire(t.Context(), "store-2", time.Second)).Kind)
	require.Len(t, *pauses, 2)
	require.EqualValues(t, 3, c.orders.Load())
}

func TestRetireFollowsRedirectToLeader(t *testing.T) {
	s := newSystem(t)
	s.stores["store-1"] = RetireDone
	other, leader := s.start(), s.start()
	s.leads = leader.address
	client, pauses := s.client(3, other.address)
	require.NoError(t, client.StartRetire(t.Context(), "store-1", 10*time.Second))
	require.EqualValues(t, 1, leader.orders.Load())
	state, err := client.RetireState(t.Context(), "store-1")
	require.NoError(t, err)
	require.Equal(t, RetireRunning, state)
	require.Empty(t, *pauses)

	s.leads = ""
	require.Equal(t, KindUnavailable, failureOf(t, client.StartRetire(t.Context(), "store-1", time.Second)).Kind)
}

func TestRedirectLoopEnds(t *testing.T) {
	var calls atomic.Int32
	server := httptest.NewServer(nil)
	defer server.Close()
	server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.Header().Set("Location", server.URL+"/again")
		w.WriteHeader(http.StatusTemporaryRedirect)
	})
	client, _ := newSystem(t).client(1, strings.TrimPrefix(server.URL, "http://"))
	require.Equal(t, KindUnavailable, failureOf(t, client.StartRetire(t.Context(), "n", time.Second)).Kind)
	require.EqualValues(t, 1+maxRedirects, calls.Load())
}

func TestStatusIsRequestedFromLeader(t *testing.T) {
	s := newSystem(t)
	other, leader := s.start(), s.start()
	client, _ := s.client(3, other.address)
	seen, err := client.Status(t.Context())
	require.NoError(t, err)
	require.Equal(t, other.address, seen.Node, "there is no leader")

	s.leads = leader.address
	seen, err = client.Status(t.Context())
	require.NoError(t, err)
	require.Equal(t, leader.address, seen.Node)
	require.True(t, seen.Core.Leading)

	s.leads = closedAddress(t)
	seen, err = client.Status(t.Context())
	require.NoError(t, err)
	require.Equal(t, other.address, seen.Node)
}

func TestMessageAndMessageBody(t *testing.T) {
	edge := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Host != "lode17.example":
			w.WriteHeader(http.StatusMisdirectedRequest)
		case r.URL.Path == "/v1/message/1.a":
			_, _ = io.WriteString(w, `{"state":"done","signature":"3e1b.07"}`)
		case r.URL.Path == "/v1/message/1.b":
			_, _ = io.WriteString(w, `{"state":"odd"}`)
		case r.URL.Path == "/v1/message-body/1.a":
			_, _ = w.Write([]byte{0, 1, 255})
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	defer edge.Close()
	client, _ := newSystem(t).client(5, strings.TrimPrefix(edge.URL, "http://"))
	message, err := client.Message(t.Context(), "lode17.example", "1.a")
	require.NoError(t, err)
	require.Equal(t, &Message{State: MessageDone, Signature: "3e1b.07"}, message)
	body, err := client.MessageBody(t.Context(), "lode17.example", "1.a")
	require.NoError(t, err)
	require.Equal(t, []byte{0, 1, 255}, body)
	_, err = client.Message(t.Context(), "lode17.example", "1.b")
	require.Equal(t, KindUndecided, failureOf(t, err).Kind)
	client, _ = newSystem(t).client(5, strings.TrimPrefix(edge.URL, "http://"))
	_, err = client.Message(t.Context(), "lode17.example", "none")
	require.Equal(t, KindNotFound, failureOf(t, err).Kind)
}

func TestNewChecksAddresses(t *testing.T) {
	_, err := New(Options{})
	require.ErrorIs(t, err, ErrNoAddress)
	_, err = New(Options{Addresses: []string{"10.0.0.1"}})
	require.ErrorContains(t, err, `"10.0.0.1"`)
}

func TestJudgeStatusAndError(t *testing.T) {
	for status, want := range map[int]verdict{
		200: verdictDone, 204: verdictDone, 307: verdictRetry, 400: verdictFinal, 404: verdictRetry, 408: verdictRetry, 409: verdictFinal,
		412: verdictFinal, 413: verdictFinal, 421: verdictRetry, 422: verdictFinal, 429: verdictRetry, 500: verdictUndecided, 502: verdictUndecided,
		503: verdictRetry, 504: verdictUndecided,
	} {
		require.Equal(t, want, judgeStatus(status, 1), status)
	}
	require.Equal(t, verdictFinal, judgeStatus(404, maxClientErrors))
	require.Equal(t, verdictRetry, judgeError(fmt.Errorf("wrapped: %w", &net.OpError{Op: "dial", Err: errors.New("refused")})))
	require.Equal(t, verdictUndecided, judgeError(&net.OpError{Op: "read", Err: errors.New("reset")}))
	require.Equal(t, verdictUndecided, judgeError(context.DeadlineExceeded))
}

func TestPausesAndTimeouts(t *testing.T) {
	require.Equal(t, firstPause, pauseAfter(1, 0))
	require.Equal(t, 8*firstPause, pauseAfter(4, 0))
	require.Equal(t, maxPause, pauseAfter(100, 0))
	require.Equal(t, time.Second, pauseAfter(1, time.Second))
	require.Equal(t, maxPause, pauseAfter(1, time.Hour))
	require.Equal(t, baseAttemptTimeout, attemptTimeout(0))
	require.Equal(t, baseAttemptTimeout+2*extraPerMiB, attemptTimeout(2<<20))
	require.Equal(t, maxAttemptTimeout, attemptTimeout(64<<20))
}
