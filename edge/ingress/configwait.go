package ingress

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"ravendale/cluster/catalog"
)

// maxConfigWait limits how long a request that arrives before the first configuration waits for it.
const maxConfigWait = 300 * time.Millisecond

// broadcast wakes all goroutines that wait for a change.
type broadcast struct {
	mu   sync.Mutex
	next chan struct{}
}

// wait returns a channel that is closed at the next change.
func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = make(chan struct{})
	}
	return b.next
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}

// ConfigChanged notifies the server that Config.Index or Config.Ready may return a new value.
func (s *Server) ConfigChanged() { s.changed.notify() }

// awaitIndex waits until this process is ready and returns the current configuration and the time waited. It returns a
// nil index if that takes too long. A short wait is better than a rejection: the client would only send the request
// again.
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
