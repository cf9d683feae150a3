package mailbox

import (
	"context"
	"sync"
	"time"
)

// Limit is the maximum number of queued events; Post drops further ones.
const Limit = 4096

// idlePause is how long Run sleeps if no tick is due.
const idlePause = time.Hour

// Mailbox is a bounded queue of events for one goroutine.
type Mailbox struct {
	wake chan struct{}

	mu     sync.Mutex
	queue  []func()
	onPost func() // called after each Post instead of waking Run; may be nil
}

// New returns an empty Mailbox.
func New() *Mailbox { return &Mailbox{wake: make(chan struct{}, 1)} }

// Post queues an event. It reports false if the queue was full and the event was dropped.
func (m *Mailbox) Post(event func()) bool {
	m.mu.Lock()
	if len(m.queue) >= Limit {
		m.mu.Unlock()
		return false
	}
	m.queue = append(m.queue, event)
	onPost := m.onPost
	m.mu.Unlock()
	if onPost != nil {
		onPost()
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

// OnPost sets a function that is called after each Post, for callers that use Handle instead of Run.
func (m *Mailbox) OnPost(onPost func()) {
	m.mu.Lock()
	m.onPost = onPost
	m.mu.Unlock()
}

// Waiting reports whether events are queued.
func (m *Mailbox) Waiting() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.queue) > 0
}

// Handle handles the queued events. Events posted meanwhile stay queued.
func (m *Mailbox) Handle() {
	for _, event := range m.take() {
		event()
	}
}

// Run handles events until the context ends. It calls tick at the start, after each batch of events, and when the
// duration that tick returned last has passed; zero or less means that no further call is due.
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
		return idlePause
	}
	return requested
}
