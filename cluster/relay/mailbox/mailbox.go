package mailbox

import (
	"context"
	"sync"
	"time"
)

// Limit is how many events may wait; more are dropped.
const Limit = 4096

// idle is how long the loop sleeps when nothing is due.
const idle = time.Hour

// Mailbox holds events that wait for their goroutine.
type Mailbox struct {
	wake chan struct{}

	mu     sync.Mutex
	queue  []func()
	posted func() // nil: none
}

// New returns an empty Mailbox.
func New() *Mailbox { return &Mailbox{wake: make(chan struct{}, 1)} }

// Post queues an event, and says whether there was room.
func (m *Mailbox) Post(event func()) bool {
	m.mu.Lock()
	if len(m.queue) >= Limit {
		m.mu.Unlock()
		return false
	}
	m.queue = append(m.queue, event)
	posted := m.posted
	m.mu.Unlock()
	if posted != nil {
		posted()
		return true
	}
	select {
	case m.wake <- struct{}{}:
	default:
	}
	return true
}

func (m *Mailbox) take() []func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	events := m.queue
	m.queue = nil
	return events
}

// OnPost has a function called after each Post, for those who call Handle themselves and not Run.
func (m *Mailbox) OnPost(posted func()) {
	m.mu.Lock()
	m.posted = posted
	m.mu.Unlock()
}

// Waiting says whether events wait.
func (m *Mailbox) Waiting() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.queue) > 0
}

// Handle handles the events that wait.
func (m *Mailbox) Handle() {
	for _, event := range m.take() {
		event()
	}
}

// Run handles events until the context ends. After each batch, and when its answer to the last call has passed, it calls tick,
// which says in how long it wants to be called again; zero or less stands for never.
func (m *Mailbox) Run(ctx context.Context, tick func() time.Duration) {
	timer := time.NewTimer(pause(tick()))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-m.wake:
		}
		m.Handle()
		timer.Reset(pause(tick()))
	}
}

func pause(requested time.Duration) time.Duration {
	if requested <= 0 {
		return idle
	}
	return requested
}
