package agent

import (
	"sync"

	"ravendale/balancer/fleet"
)

// stateWriter writes states in a goroutine of its own: whatever comes while one is written, the newest alone is next.
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

// save has a state written, and tells once it, or a later one, is on the disk or was not.
func (w *stateWriter) save(s fleet.State, done func(error)) {
	w.mu.Lock()
	w.next = &s
	w.callbacks = append(w.callbacks, done)
	w.mu.Unlock()
	w.rouse()
}

func (w *stateWriter) rouse() {
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

// end has the last state written; the channel is closed once that is done, and nothing more is written.
func (w *stateWriter) end() (done <-chan struct{}) {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	w.rouse()
	return w.done
}
