package agent

import (
	"sync"

	"ravendale/balancer/fleet"
)

// stateWriter writes states in a goroutine of its own. Of the states saved during a write it writes only the newest.
type stateWriter struct {
	path      string
	mu        sync.Mutex
	next      *fleet.State
	callbacks []func(error)
	closing   bool
	wake      chan struct{}
	done      chan struct{}
}

func newStateWriter(path string) *stateWriter {
	w := &stateWriter{path: path, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// save queues a state to be written. It calls done with the result once this state or a later one was written, or
// failed to be.
func (w *stateWriter) save(s fleet.State, done func(error)) {
	w.mu.Lock()
	w.next = &s
	w.callbacks = append(w.callbacks, done)
	w.mu.Unlock()
	w.notify()
}

func (w *stateWriter) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *stateWriter) run() {
	defer close(w.done)
	for range w.wake {
		w.mu.Lock()
		s, callbacks, closing := w.next, w.callbacks, w.closing
		w.next, w.callbacks = nil, nil
		w.mu.Unlock()
		if s != nil {
			err := saveState(w.path, s)
			for _, f := range callbacks {
				f(err)
			}
		}
		if closing {
			return
		}
	}
}

// end stops the writer after the last queued state. The returned channel is closed once all writes have ended.
func (w *stateWriter) end() (done <-chan struct{}) {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	w.notify()
	return w.done
}
