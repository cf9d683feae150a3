package ingress

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"ravendale/cluster/catalog"
)

// maxConfigWait bounds the wait of a request that comes before there is a configuration.
const maxConfigWait = 300 * time.Millisecond

// broadcast wakes all who wait for a change.
type broadcast struct {
	mu   sync.Mutex
	next chan struct{}
}

// wait returns a channel that is closed at the next change.
func (s *broadcast) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

func (s *broadcast) raise() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}

// ConfigChanged is called when Config.Index or Config.Ready may return something new.
func (s *Server) ConfigChanged() { s.changed.raise() }

// awaitIndex returns the configuration in force, once this process is ready, or nil if that takes too long; and how long it
// waited. A request that comes just before is worth a short wait: rejected it would only come again.
func (s *Server) awaitIndex(header *fasthttp.RequestHeader) (*catalog.Index, time.Duration) {
	if index := s.readyIndex(); index != nil {
		return index, 0
	}
	began := time.Now()
	expired := time.NewTimer(configWait(header))
	defer expired.Stop()
	for {
		changed := s.changed.wait()
		if index := s.readyIndex(); index != nil {
			return index, time.Since(began)
		}
		select {
		case <-changed:
		case <-expired.C:
			return nil, time.Since(began)
		}
	}
}

func (s *Server) readyIndex() *catalog.Index {
	if !s.config.Ready() {
		return nil
	}
	return s.config.Index()
}

func configWait(header *fasthttp.RequestHeader) time.Duration {
	if deadline := deadlineOf(header); deadline > 0 {
		return min(deadlineFraction(deadline, putFraction), maxConfigWait)
	}
	return maxConfigWait
}
