package platform_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/test/standin/history"
	"ravendale/test/standin/platform"
	"ravendale/test/standin/protocol"
)

func start(t *testing.T, options platform.Options) *platform.Platform {
	t.Helper()
	options.Address = "127.0.0.1:0"
	p, err := platform.Start(options)
	require.NoError(t, err)
	t.Cleanup(func() { _ = p.Close() })
	return p
}

func call(t *testing.T, p *platform.Platform, query string) (int, protocol.Page) {
	t.Helper()
	response, err := http.Get("http://" + p.Address() + "/instances" + query)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var page protocol.Page
	if response.StatusCode == http.StatusOK {
		require.NoError(t, json.NewDecoder(response.Body).Decode(&page))
	}
	return response.StatusCode, page
}

func instance(i int, zone string) protocol.Instance {
	return protocol.Instance{ID: fmt.Sprintf("i-%d", i), Service: "work", Address: "127.0.0.1:1", Zone: zone, Capacity: 2}
}

func TestPagesAndZones(t *testing.T) {
	p := start(t, platform.Options{PageSize: 2})
	for i := range 5 {
		p.AddListed(instance(i, []string{"east", "west"}[i%2]))
	}
	var seen []string
	query := ""
	for {
		status, page := call(t, p, query)
		require.Equal(t, http.StatusOK, status)
		for _, entry := range page.Instances {
			seen = append(seen, entry.ID)
		}
		if page.NextToken == nil {
			break
		}
		query = "?pageToken=" + *page.NextToken
	}
	assert.Equal(t, []string{"i-0", "i-1", "i-2", "i-3", "i-4"}, seen)

	_, page := call(t, p, "?zone=west")
	assert.Len(t, page.Instances, 2)
	assert.Nil(t, page.NextToken)

	status, _ := call(t, p, "?pageToken=nonsense")
	assert.Equal(t, http.StatusBadRequest, status)
}

func TestRateLimit(t *testing.T) {
	p := start(t, platform.Options{RatePerS: 2})
	var statuses []int
	for range 3 {
		status, _ := call(t, p, "")
		statuses = append(statuses, status)
	}
	assert.Equal(t, []int{200, 200, http.StatusTooManyRequests}, statuses)
	all, limited := p.Calls()
	assert.Equal(t, 3, all)
	assert.Equal(t, 1, limited)
}

func TestLagAndDrain(t *testing.T) {
	const lag = 100 * time.Millisecond
	record := history.NewRecorder()
	p := start(t, platform.Options{Lag: lag, Record: record})
	p.AddListed(instance(1, "east"))
	p.Add(instance(2, "east"), time.Minute)

	_, page := call(t, p, "")
	require.Len(t, page.Instances, 1, "a new worker is not shown yet")
	assert.Equal(t, protocol.InstanceReady, page.Instances[0].State)

	p.Drain("i-1")
	_, page = call(t, p, "")
	assert.Equal(t, protocol.InstanceReady, page.Instances[0].State, "nor that a worker drains")

	assert.Eventually(t, func() bool {
		_, page = call(t, p, "")
		return len(page.Instances) == 2 && page.Instances[0].State == protocol.InstanceDraining
	}, 2*time.Second, 10*time.Millisecond)
	assert.Positive(t, page.Instances[1].WarmupMs)

	p.Remove("i-1")
	assert.Eventually(t, func() bool {
		_, page = call(t, p, "")
		return len(page.Instances) == 1
	}, 2*time.Second, 10*time.Millisecond)

	drains := record.History().Drains
	require.Len(t, drains, 1, "only the first sign of leaving is recorded")
	assert.GreaterOrEqual(t, drains[0].Shown, lag)
}

func TestSetDown(t *testing.T) {
	p := start(t, platform.Options{})
	p.SetDown(true)
	status, _ := call(t, p, "")
	assert.Equal(t, http.StatusServiceUnavailable, status)
}
