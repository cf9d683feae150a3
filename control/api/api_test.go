package api

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/control/core"
	"ravendale/control/state"
)

// fakeCore is a core with the real state machine that may fail before or after it applies a command.
type fakeCore struct {
	machine *state.Machine
	before  error         // returned instead of applying a command
	after   error         // returned with the result of a command
	applied int           // number of applied commands
	hang    bool          // block until the context ends
	allowed time.Duration // time that the context of a blocked command left
}

func (c *fakeCore) Submit(ctx context.Context, command []byte) ([]byte, error) {
	if c.hang {
		c.allowed = math.MaxInt64
		if deadline, bounded := ctx.Deadline(); bounded {
			c.allowed = time.Until(deadline)
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if c.before != nil {
		return nil, c.before
	}
	c.applied++
	result := c.machine.Apply(command)
	return result, c.after
}

// fakeStores are machines that can be retired.
type fakeStores struct {
	states   map[string]string
	err      error
	deadline time.Duration
}

func (s *fakeStores) StartRetire(_ context.Context, node string, deadline time.Duration) error {
	if s.err != nil {
		return s.err
	}
	if _, ok := s.states[node]; !ok {
		return ErrUnknownNode
	}
	s.states[node], s.deadline = RetireRunning, deadline
	return nil
}

func (s *fakeStores) RetireState(_ context.Context, node string) (string, error) {
	if s.err != nil {
		return "", s.err
	}
	if state, ok := s.states[node]; ok {
		return state, nil
	}
	return "", ErrUnknownNode
}

type fixture struct {
	*testing.T
	core   *fakeCore
	stores *fakeStores
	server *Server
	logs   *bytes.Buffer
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{T: t, core: &fakeCore{machine: state.NewMachine()}, stores: &fakeStores{states: map[string]string{}}, logs: &bytes.Buffer{}}
	f.server = New(Options{Submitter: f.core, Retirer: f.stores, Log: slog.New(slog.NewTextHandler(f.logs, nil))})
	return f
}

const testWait = 5 * int(time.Second/time.Millisecond)

func (f *fixture) call(method, path, base, body string) (*http.Response, string) {
	f.Helper()
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if base != "" {
		request.Header.Set(baseHeader, base)
	}
	response, err := f.server.app.Test(request, testWait)
	require.NoError(f, err)
	content, err := io.ReadAll(response.Body)
	require.NoError(f, err)
	return response, string(content)
}

func (f *fixture) expect(status int, method, path, base, body string) string {
	f.Helper()
	response, content := f.call(method, path, base, body)
	require.Equal(f, status, response.StatusCode, content)
	if content != "OK" {
		require.Equal(f, "application/json", response.Header.Get("Content-Type"))
	}
	return content
}

func (f *fixture) set(status int, base, body string) string {
	f.Helper()
	return f.expect(status, http.MethodPost, "/v1/config/set", base, body)
}

func (f *fixture) patch(status int, base, body string) string {
	f.Helper()
	return f.expect(status, http.MethodPost, "/v1/config/patch", base, body)
}

func (f *fixture) show(status int) string {
	f.Helper()
	return f.expect(status, http.MethodGet, "/v1/config/show", "", "")
}

func document(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[],"backends":[{"name":"s","ratePerS":39.0}],"limits":{},"other":1.50}`, version)
}

func TestSetPatchAndShow(t *testing.T) {
	f := newFixture(t)
	f.show(404)
	require.JSONEq(t, `{"version":5}`, f.set(200, "0", document(5)))
	require.Equal(t, document(5), f.show(200), "the document as it was sent")
	require.JSONEq(t, `{"error":"another version is in place","version":5}`, f.set(412, "0", document(6)))
	require.JSONEq(t, `{"version":7}`, f.patch(200, "5", `{"version":7,"upsert":{"backends":[{"name":"n"}]}}`))
	require.JSONEq(t, `{"version":7,"routes":[],"backends":[{"name":"s","ratePerS":39.0},{"name":"n"}],"limits":{},"other":1.50}`, f.show(200))
	f.patch(412, "5", `{"version":7,"upsert":{"backends":[{"name":"m"}]}}`)
	require.Contains(t, f.set(400, "7", document(7)), "not above the current version 7")

	require.JSONEq(t, `{"version":5}`, f.set(200, "0", document(5)), "an order that was applied is acknowledged again")
	require.Contains(t, f.logs.String(), "outcome=duplicate")
	require.Contains(t, f.logs.String(), "another version is in place")
}

func TestFindingsHavePlaces(t *testing.T) {
	f := newFixture(t)
	content := f.set(400, "0", `{"version":1,"routes":[{}],"backends":[],"limits":{}}`)
	require.Contains(t, content, `"place":"routes[0].timeoutMs"`)
	require.Contains(t, f.set(400, "0", document(5)[:20]), `"place":"byte 20"`)
	f.patch(400, "0", `{"version":1,"delete":{"routes":[1]}}`)
	require.Zero(t, f.core.applied, "invalid orders are refused without submitting them")
	f.patch(400, "0", `{"version":1}`)
	require.Equal(t, 1, f.core.applied)
}

func TestBaseVersionIsRequired(t *testing.T) {
	f := newFixture(t)
	for _, base := range []string{"", "x", "-1", "1.0", "99999999999999999999"} {
		f.set(400, base, document(5))
		f.patch(400, base, `{"version":5}`)
	}
	require.Zero(t, f.core.applied)
}

func TestOnlyCertainFailureIsUnavailable(t *testing.T) {
	f := newFixture(t)
	f.core.before = fmt.Errorf("wrapped: %w", core.ErrUnavailable)
	response, _ := f.call(http.MethodPost, "/v1/config/set", "0", document(5))
	require.Equal(t, 503, response.StatusCode)
	require.Equal(t, retryAfterSeconds, response.Header.Get("Retry-After"))
	f.show(503)

	f.core.before, f.core.after = nil, core.ErrUnknown
	f.set(504, "0", document(5))
	f.core.after = nil
	f.set(200, "0", document(5))
	require.Equal(t, uint64(1), f.core.machine.Current().Sequence, "the first attempt had applied the order")
}

func TestAnswerTimeout(t *testing.T) {
	f := newFixture(t)
	f.core.hang = true
	f.set(504, "0", document(5))
	require.LessOrEqual(t, f.core.allowed, answerTimeout(len(document(5))))
	require.Less(t, answerTimeout(100<<10), time.Second)
	require.Equal(t, baseAnswerTimeout+2*time.Second, answerTimeout(2<<20))
	require.Equal(t, maxAnswerTimeout, answerTimeout(64<<20))
}

func TestRetireMachine(t *testing.T) {
	f := newFixture(t)
	f.stores.states["store-1"] = RetireDone
	start := func(status int, node, body string) {
		t.Helper()
		f.expect(status, http.MethodPost, "/v1/retire/"+node+"/start", "", body)
	}
	start(200, "store-1", `{"deadlineS":1.5}`)
	require.Equal(t, 1500*time.Millisecond, f.stores.deadline)
	require.JSONEq(t, `{"state":"running"}`, f.expect(200, http.MethodGet, "/v1/retire/store-1/show", "", ""))
	start(200, "store-1", `{"deadlineS":1e300}`)
	require.Equal(t, maxDeadline, f.stores.deadline)
	start(404, "store-2", `{"deadlineS":10}`)
	f.expect(404, http.MethodGet, "/v1/retire/store-2/show", "", "")
	for _, body := range []string{"", "{}", `{"deadlineS":0}`, `{"deadlineS":-1}`, `{"deadlineS":"10"}`, `{"deadlineS":null}`} {
		start(400, "store-1", body)
	}
	for err, status := range map[error]int{ErrTooFew: 409, core.ErrUnavailable: 503, context.DeadlineExceeded: 504, errors.New("other"): 504} {
		f.stores.err = err
		start(status, "store-1", `{"deadlineS":10}`)
	}
}

func TestUnknownPathsAndMethods(t *testing.T) {
	f := newFixture(t)
	f.expect(200, http.MethodGet, "/v1/readyz", "", "")
	f.expect(404, http.MethodGet, "/v1/none", "", "")
	f.expect(405, http.MethodGet, "/v1/config/set", "", "")
}

// recorder keeps the commands beyond the request, as a core does after its caller has timed out.
type recorder struct {
	mu       sync.Mutex
	commands [][]byte
}

func (r *recorder) Submit(_ context.Context, command []byte) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commands = append(r.commands, command)
	return nil, core.ErrUnknown
}

func TestCommandsRemainValidAfterRequest(t *testing.T) {
	submitter := &recorder{}
	server := New(Options{Submitter: submitter, Retirer: &fakeStores{}, Log: slog.New(slog.DiscardHandler)})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	for version := 1; version <= 20; version++ {
		body := io.Reader(strings.NewReader(document(version)))
		if version%2 == 0 {
			body = io.MultiReader(body) // hides the length, so that the body is sent in chunks
		}
		request, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String()+"/v1/config/set", body)
		require.NoError(t, err)
		request.Header.Set(baseHeader, "0")
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, 504, response.StatusCode)
	}
	http.DefaultClient.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	require.NoError(t, server.Shutdown(ctx))
	require.NoError(t, <-served)
	require.Len(t, submitter.commands, 20)
	for i, command := range submitter.commands {
		decoded, err := state.Decode(command)
		require.NoError(t, err)
		require.Equal(t, document(i+1), string(decoded.(*state.Set).Body))
	}
}

func TestTooLargeBodyIsRejectedWithoutReading(t *testing.T) {
	server := New(Options{Submitter: &recorder{}, Retirer: &fakeStores{}, Log: slog.New(slog.DiscardHandler)})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Shutdown(context.Background()) }()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /v1/config/set HTTP/1.1\r\nHost: h\r\nBase-Version: 0\r\nContent-Length: %d\r\n\r\n", maxBodyBytes+1)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, 413, response.StatusCode)
	require.NoError(t, response.Body.Close())
}
