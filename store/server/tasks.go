package server

import "sync"

// tasks tracks the goroutines that a store starts for work whose caller must not wait for the store's lock.
type tasks struct {
	mu     sync.Mutex
	closed bool
	group  sync.WaitGroup
}

// start runs f in a goroutine of its own, unless wait was called.
func (t *tasks) start(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.group.Go(f)
	}
}

// wait prevents further starts and waits until all started goroutines have returned.
func (t *tasks) wait() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.group.Wait()
}
