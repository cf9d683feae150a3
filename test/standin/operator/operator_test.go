package operator_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/test/standin/history"
	"ravendale/test/standin/operator"
	"ravendale/test/standin/protocol"
)

// control starts a server that answers calls with the given statuses in turn, and with the last one from then on.
func control(t *testing.T, statuses ...int) (address string, calls *atomic.Int64) {
	t.Helper()
	calls = new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		call := int(calls.Add(1)) - 1
		w.WriteHeader(statuses[min(call, len(statuses)-1)])
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), calls
}

func within(t *testing.T, limit time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	t.Cleanup(cancel)
	return ctx
}

func TestRetryAtOtherAddress(t *testing.T) {
	unavailable, first := control(t, http.StatusServiceUnavailable)
	taking, second := control(t, http.StatusTooManyRequests, http.StatusOK)
	record := history.NewRecorder()
	o := operator.New([]string{unavailable, taking}, record)

	answer, err := o.Set(within(t, 5*time.Second), 0, protocol.Config{Version: 1})
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, answer.Status)
	assert.EqualValues(t, 2, first.Load())
	assert.EqualValues(t, 2, second.Load())
	orders := record.History().Orders
	require.Len(t, orders, 1)
	assert.True(t, orders[0].Acknowledged())
}

func TestClearRefusalIsFinal(t *testing.T) {
	for _, status := range []int{400, 409, 412, 413, 422} {
		address, calls := control(t, status)
		record := history.NewRecorder()
		answer, err := operator.New([]string{address}, record).Set(within(t, 5*time.Second), 3, protocol.Config{Version: 4})
		require.NoError(t, err)
		assert.Equal(t, status, answer.Status)
		assert.EqualValues(t, 1, calls.Load())
		assert.False(t, record.History().Orders[0].MayBeApplied())
	}
}

func TestOtherRefusalIsFinalAfterThreeAttempts(t *testing.T) {
	address, calls := control(t, http.StatusForbidden)
	answer := operator.New([]string{address}, history.NewRecorder()).StartRetire(within(t, 5*time.Second), "node", time.Second)
	assert.Equal(t, http.StatusForbidden, answer.Status)
	assert.EqualValues(t, 3, calls.Load())
}

func TestNoClearAnswerIsPossible(t *testing.T) {
	address, _ := control(t, http.StatusGatewayTimeout)
	record := history.NewRecorder()
	_, err := operator.New([]string{address}, record).Set(within(t, 150*time.Millisecond), 0, protocol.Config{Version: 1})
	require.NoError(t, err)
	assert.True(t, record.History().Orders[0].MayBeApplied())
	assert.False(t, record.History().Orders[0].Acknowledged())
}

func TestRedirects(t *testing.T) {
	var hops atomic.Int64
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config/show", func(w http.ResponseWriter, r *http.Request) {
		if hops.Add(1) < 3 {
			w.Header().Set("Location", "http://"+r.Host+"/v1/config/show")
			w.WriteHeader(http.StatusTemporaryRedirect)
			return
		}
		_ = json.NewEncoder(w).Encode(protocol.Config{Version: 9})
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	config, err := operator.New([]string{strings.TrimPrefix(server.URL, "http://")}, history.NewRecorder()).Show(within(t, 5*time.Second))
	require.NoError(t, err)
	assert.EqualValues(t, 9, config.Version)
	assert.EqualValues(t, 3, hops.Load())
}

func TestPatchRecordsResult(t *testing.T) {
	address, _ := control(t, http.StatusOK)
	record := history.NewRecorder()
	current := protocol.Config{Version: 5, Routes: []protocol.Route{{Name: "a"}, {Name: "b"}}, Services: []protocol.Service{{Name: "s"}}}
	patch := protocol.Patch{
		Version: 7,
		Upsert:  protocol.Upsert{Routes: []protocol.Route{{Name: "b", Priority: 2}, {Name: "c"}}},
		Delete:  protocol.Delete{Routes: []string{"a"}},
	}
	_, err := operator.New([]string{address}, record).Patch(within(t, 5*time.Second), current, patch)
	require.NoError(t, err)
	made := record.History().Orders[0]
	assert.EqualValues(t, 5, made.Base)
	assert.EqualValues(t, 7, made.Config.Version)
	assert.Equal(t, []protocol.Route{{Name: "b", Priority: 2}, {Name: "c"}}, made.Config.Routes)
	assert.Equal(t, current.Services, made.Config.Services)
}
