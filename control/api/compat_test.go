package api

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/control/core"
	"ravendale/control/status"
)

// exchange is one request of an operator with the expected answer, whose body is in the file of that name.
type exchange struct {
	name, method, path, base, body string

	status  int
	headers map[string]string
	prepare func(f *fixture) // changes the fixture before the request; nil: configuration version 5 is set
}

func leaderAt(host string, known bool) func(f *fixture) {
	return func(f *fixture) {
		f.server.options.Redirect = func() (string, bool) { return host, known }
		f.server.options.Status = func(context.Context) status.Status {
			return status.Status{Node: "control-1", Core: status.Core{Voters: []status.Voter{}, Chain: []string{}}, Config: status.Config{Version: 5, Sequence: 1}}
		}
	}
}

func withSubmitErrors(before, after error) func(f *fixture) {
	return func(f *fixture) { f.core.before, f.core.after = before, after }
}

func withRetireError(err error) func(f *fixture) { return func(f *fixture) { f.stores.err = err } }

func withoutConfiguration(f *fixture) { f.core.machine = newFixture(f.T).core.machine }

const (
	setPath    = "/v1/config/set"
	patchPath  = "/v1/config/patch"
	configPath = "/v1/config/show"
	statusPath = "/v1/status"
)

func exchanges() []exchange {
	post, get := http.MethodPost, http.MethodGet
	unavailable := fmt.Errorf("wrapped: %w", core.ErrUnavailable)
	retryAfter := map[string]string{"Retry-After": "1"}
	return []exchange{
		{name: "set-taken", method: post, path: setPath, base: "5", body: document(6), status: 200},
		{name: "set-repeated", method: post, path: setPath, base: "0", body: document(5), status: 200},
		{name: "set-other-version", method: post, path: setPath, base: "4", body: document(6), status: 412},
		{name: "set-invalid", method: post, path: setPath, base: "5", body: `{"version":6,"routes":[{}],"backends":[],"limits":{}}`, status: 400},
		{name: "set-version-not-above", method: post, path: setPath, base: "5", body: `{"version":5,"routes":[],"backends":[],"limits":{}}`, status: 400},
		{name: "set-without-base", method: post, path: setPath, body: document(6), status: 400},
		{name: "set-base-no-number", method: post, path: setPath, base: "x", body: document(6), status: 400},
		{name: "set-unavailable", method: post, path: setPath, base: "5", body: document(6), status: 503, headers: retryAfter, prepare: withSubmitErrors(unavailable, nil)},
		{name: "set-undecided", method: post, path: setPath, base: "5", body: document(6), status: 504, prepare: withSubmitErrors(nil, core.ErrUnknown)},
		{name: "patch-taken", method: post, path: patchPath, base: "5", body: `{"version":7,"upsert":{"backends":[{"name":"n"}]}}`, status: 200},
		{name: "patch-invalid", method: post, path: patchPath, base: "5", body: `{"version":1,"delete":{"routes":[1]}}`, status: 400},
		{name: "patch-without-document", method: post, path: patchPath, base: "0", body: `{"version":1}`, status: 400, prepare: withoutConfiguration},
		{name: "config-shown", method: get, path: configPath, status: 200},
		{name: "config-none", method: get, path: configPath, status: 404, prepare: withoutConfiguration},
		{name: "config-unavailable", method: get, path: configPath, status: 503, headers: retryAfter, prepare: withSubmitErrors(unavailable, nil)},
		{name: "retire-started", method: post, path: startPath, body: startBody, status: 200},
		{name: "retire-running", method: get, path: showPath, status: 200},
		{name: "retire-done", method: get, path: showPath, status: 200, prepare: func(f *fixture) { f.stores.states["store-1"] = RetireDone }},
		{name: "retire-without-deadline", method: post, path: startPath, body: "{}", status: 400},
		{name: "retire-unknown-node", method: post, path: startPath, body: startBody, status: 404, prepare: withRetireError(ErrUnknownNode)},
		{name: "retire-too-few", method: post, path: startPath, body: startBody, status: 409, prepare: withRetireError(ErrTooFew)},
		{name: "retire-unavailable", method: post, path: startPath, body: startBody, status: 503, headers: retryAfter, prepare: withRetireError(unavailable)},
		{name: "retire-undecided", method: post, path: startPath, body: startBody, status: 504, prepare: withRetireError(context.DeadlineExceeded)},
		{
			name: "retire-redirect", method: get, path: showPath + "?a=b", status: 307,
			headers: map[string]string{"Location": "http://10.0.0.2:8046" + showPath + "?a=b"}, prepare: leaderAt("10.0.0.2:8046", true),
		},
		{name: "retire-no-leader", method: post, path: startPath, body: startBody, status: 503, headers: retryAfter, prepare: leaderAt("", false)},
		{name: "status-of-follower", method: get, path: statusPath, status: 200, prepare: leaderAt("10.0.0.2:8046", true)},
		{name: "status-of-leader", method: get, path: statusPath, status: 200, prepare: leaderAt("", true)},
		{name: "status-none", method: get, path: statusPath, status: 404},
		{name: "path-unknown", method: get, path: "/v1/none", status: 404},
		{name: "method-not-allowed", method: get, path: setPath, status: 405},
	}
}

func (e *exchange) run(t *testing.T) (*http.Response, string) {
	f := newFixture(t)
	f.set(200, "0", document(5))
	f.stores.states["store-1"] = RetireRunning
	if e.prepare != nil {
		e.prepare(f)
	}
	return f.call(e.method, e.path, e.base, e.body)
}

func TestAnswerCompatibility(t *testing.T) {
	for _, e := range exchanges() {
		t.Run(e.name, func(t *testing.T) {
			golden, err := os.ReadFile(filepath.Join("testdata", "compat", e.name+".json"))
			require.NoError(t, err)
			response, content := e.run(t)
			require.Equal(t, e.status, response.StatusCode)
			require.Equal(t, "application/json", response.Header.Get("Content-Type"))
			for name, value := range e.headers {
				require.Equal(t, value, response.Header.Get(name), name)
			}
			require.Equal(t, string(golden), content)
		})
	}
}

func TestAllCompatFilesAreUsed(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "compat", "*.json"))
	require.NoError(t, err)
	require.Len(t, files, len(exchanges()))
}

func TestReadyzIsPlainText(t *testing.T) {
	response, err := newFixture(t).server.app.Test(httptest.NewRequest(http.MethodGet, "/v1/readyz", strings.NewReader("")), testWait)
	require.NoError(t, err)
	require.Equal(t, 200, response.StatusCode)
	require.Equal(t, "text/plain; charset=utf-8", response.Header.Get("Content-Type"))
}
