package ingress

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ravendale/cluster/catalog"
)

// late is a site whose configuration comes after its first request.
func late(t *testing.T) (s *site, arrive func()) {
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

func TestRequestWaitsForTheConfiguration(t *testing.T) {
	s, arrive := late(t)
	time.AfterFunc(100*time.Millisecond, arrive)
	began := time.Now()
	assert.Equal(t, http.StatusAccepted, s.ask(t, head+"Deadline-Ms: 10000\r\nContent-Length: 0\r\n\r\n").status)
	assert.GreaterOrEqual(t, time.Since(began), 100*time.Millisecond)
	assert.Less(t, time.Since(began), maxConfigWait, "it is woken")
	assert.LessOrEqual(t, s.queue.limits[0], maxDeadlinePutTime)
	assert.Equal(t, http.StatusAccepted, s.ask(t, head+"Content-Length: 0\r\n\r\n").status)
}

// What a request waited is taken off the time for its put.
func TestTheWaitCounts(t *testing.T) {
	s, arrive := late(t)
	var polls atomic.Int32
	ready := s.server.config.Ready
	s.server.config.Ready = func() bool {
		if polls.Add(1) == 2 { // the request is there, and its wait is counted
			time.AfterFunc(100*time.Millisecond, arrive)
		}
		return ready()
	}
	assert.Equal(t, http.StatusAccepted, s.ask(t, head+"Deadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n").status)
	assert.LessOrEqual(t, s.queue.limits[0], 320*time.Millisecond)
}

func TestRequestIsRejectedWhenTheConfigurationDoesNotCome(t *testing.T) {
	s, _ := late(t)
	for deadline, most := range map[string]time.Duration{"100": 42 * time.Millisecond, "10000": maxConfigWait} {
		began := time.Now()
		s.server.ConfigChanged() // of something else
		got := s.ask(t, head+"Deadline-Ms: "+deadline+"\r\nContent-Length: 0\r\n\r\n")
		assert.Equal(t, http.StatusServiceUnavailable, got.status)
		assert.GreaterOrEqual(t, time.Since(began), most)
		assert.Less(t, time.Since(began), most+250*time.Millisecond)
	}
	assert.Zero(t, s.queue.count())
}

// A request whose time for attempts was nearly used up by the wait still has some: an attempt that is given up at once would have its store
// taken for one that does not answer, and its client cut off.
func TestAPutHasTimeLeftAfterTheWait(t *testing.T) {
	s, arrive := late(t)
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
