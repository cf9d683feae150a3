package ingress

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"ravendale/cluster/catalog"
)

// signal wakes all who wait for a change.
type signal struct {
	mu   sync.Mutex
	next chan struct{}
}

// wait returns a channel that is closed at the next change.
func (s *signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

func (s *signal) raise() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}

// Changed says that Config.Index or Config.Ready may tell something new.
func (s *Server) Changed() { s.changed.raise() }

// awaitIndex returns the configuration that holds, once this process is ready, or nil if that takes too long; and how long it
// waited. A request that comes just before is worth a short wait: turned away it would only come again.
func (s *Server) awaitIndex(header *fasthttp.RequestHeader) (*catalog.Index, time.Duration) {
	if index := s.readyIndex(); index != nil {
		return index, 0
	}
	began := time.Now()
	expired := time.NewTimer(holdLimit(header))
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

func holdLimit(header *fasthttp.RequestHeader) time.Duration {
	if deadline := deadlineOf(header); deadline > 0 {
		return min(partOfDeadline(deadline, deadlinePart), longestHold)
	}
	return longestHold
}
