package api

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/control/status"
)

// fixtureWithLeader returns a fixture whose Redirect returns host and known.
func fixtureWithLeader(t *testing.T, host string, known bool) *fixture {
	f := newFixture(t)
	f.server.options.Redirect = func() (string, bool) { return host, known }
	f.server.options.Status = func(context.Context) status.Status {
		return status.Status{Node: "n", Config: status.Config{Version: 3}}
	}
	return f
}

const (
	startPath = "/v1/retire/store-1/start"
	showPath  = "/v1/retire/store-1/show"
	startBody = `{"deadlineS":10}`
)

func TestRetireIsRedirectedToLeader(t *testing.T) {
	f := fixtureWithLeader(t, "10.0.0.2:8046", true)
	f.stores.states["store-1"] = RetireDone
	for path, method := range map[string]string{startPath: http.MethodPost, showPath: http.MethodGet, showPath + "?a=b": http.MethodGet} {
		response, _ := f.call(method, path, "", startBody)
		require.Equal(t, 307, response.StatusCode)
		require.Equal(t, "http://10.0.0.2:8046"+path, response.Header.Get("Location"))
	}
	require.Equal(t, RetireDone, f.stores.states["store-1"], "no retirement was started here")
	f.set(200, "0", document(5)) // any process accepts configurations
}

func TestRetireWithoutLeaderIsUnavailable(t *testing.T) {
	f := fixtureWithLeader(t, "", false)
	for path, method := range map[string]string{startPath: http.MethodPost, showPath: http.MethodGet} {
		response, _ := f.call(method, path, "", startBody)
		require.Equal(t, 503, response.StatusCode)
		require.Equal(t, retryAfterSeconds, response.Header.Get("Retry-After"))
	}
}

func TestLeaderAcceptsRetire(t *testing.T) {
	f := fixtureWithLeader(t, "", true)
	f.stores.states["store-1"] = RetireDone
	f.expect(200, http.MethodPost, startPath, "", startBody)
	require.JSONEq(t, `{"state":"running"}`, f.expect(200, http.MethodGet, showPath, "", ""))
}

func TestStatusIsAnsweredByAnyProcess(t *testing.T) {
	content := fixtureWithLeader(t, "10.0.0.2:8046", true).expect(200, http.MethodGet, "/v1/status", "", "")
	require.Contains(t, content, `"leaderAdmin":"10.0.0.2:8046","leading":false`)
	require.Contains(t, content, `"version":3`)
	require.NotContains(t, content, "members")
	require.Contains(t, fixtureWithLeader(t, "", true).expect(200, http.MethodGet, "/v1/status", "", ""), `"leading":true`)
	require.Contains(t, fixtureWithLeader(t, "", false).expect(200, http.MethodGet, "/v1/status", "", ""), `"leading":false`)
	newFixture(t).expect(404, http.MethodGet, "/v1/status", "", "")
}
