package ingress

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ravendale/cluster/catalog"
)

// siteWithoutConfig returns a site that has no configuration until arrive is called.
func siteWithoutConfig(t *testing.T) (s *site, arrive func()) {
	s = newSite(t)
	var ready atomic.Bool
	index := s.index
	s.server.config.Ready = ready.Load
	s.server.config.Index = func() *catalog.Index { return index }
	return s, func() {
		ready.Store(true)
		s.server.ConfigChanged()
	}
}

func TestRequestWaitsForConfiguration(t *testing.T) {
	s, arrive := siteWithoutConfig(t)
	time.AfterFunc(100*time.Millisecond, arrive)
	began := time.Now()
	assert.Equal(t, http.StatusAccepted, s.ask(t, head+"Deadline-Ms: 10000\r\nContent-Length: 0\r\n\r\n").status)
	assert.GreaterOrEqual(t, time.Since(began), 100*time.Millisecond)
	assert.Less(t, time.Since(began), maxConfigWait, "the request is woken before its timeout")
	assert.LessOrEqual(t, s.queue.limits[0], maxDeadlinePutTime)
	assert.Equal(t, http.StatusAccepted, s.ask(t, head+"Content-Length: 0\r\n\r\n").status)
}

// The time that a request has waited for the configuration is subtracted from the time for its put.
func TestConfigurationWaitReducesPutTime(t *testing.T) {
	s, arrive := siteWithoutConfig(t)
	var polls atomic.Int32
	ready := s.server.config.Ready
	s.server.config.Ready = func() bool {
		if polls.Add(1) == 2 { // the request has arrived and is waiting
			time.AfterFunc(100*time.Millisecond, arrive)
		}
		return ready()
	}
	assert.Equal(t, http.StatusAccepted, s.ask(t, head+"Deadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n").status)
	assert.LessOrEqual(t, s.queue.limits[0], 320*time.Millisecond)
}

func TestRequestIsRejectedWithoutConfiguration(t *testing.T) {
	s, _ := siteWithoutConfig(t)
	for deadline, maxWait := range map[string]time.Duration{"100": 42 * time.Millisecond, "10000": maxConfigWait} {
		began := time.Now()
		s.server.ConfigChanged() // an unrelated change
		got := s.ask(t, head+"Deadline-Ms: "+deadline+"\r\nContent-Length: 0\r\n\r\n")
		assert.Equal(t, http.StatusServiceUnavailable, got.status)
		assert.GreaterOrEqual(t, time.Since(began), maxWait)
		assert.Less(t, time.Since(began), maxWait+250*time.Millisecond)
	}
	assert.Zero(t, s.queue.count())
}

// A put has time for attempts left even if the wait for the configuration has used up nearly all of it: giving up an
// attempt at once would mark its store as suspect and close the client's connection.
func TestPutHasTimeLeftAfterConfigurationWait(t *testing.T) {
	s, arrive := siteWithoutConfig(t)
	var polls atomic.Int32
	ready := s.server.config.Ready
	s.server.config.Ready = func() bool {
		if polls.Add(1) == 2 {
			time.AfterFunc(130*time.Millisecond, arrive)
		}
		return ready()
	}
	assert.Equal(t, http.StatusAccepted, s.ask(t, head+"Deadline-Ms: 400\r\nContent-Length: 0\r\n\r\n").status)
	assert.GreaterOrEqual(t, s.queue.limits[0], 42*time.Millisecond)
}
