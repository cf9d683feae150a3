package worker

import (
	"context"
	"sync"
)

// Call is a delivery under way.
type Call struct {
	delivery *Delivery
	done     func(Result)
	cancel   context.CancelFunc

	mu        sync.Mutex
	conn      *connection
	cancelled bool
}

// Cancel ends a delivery by closing its connection. Its outcome is Cancelled, unless it had another.
func (call *Call) Cancel() {
	call.mu.Lock()
	defer call.mu.Unlock()
	call.cancelled = true
	call.cancel()
	if call.conn != nil {
		_ = call.conn.socket.Close()
	}
}

// bind gives the call a connection to close when it is cancelled. It reports false if it was cancelled already.
func (call *Call) bind(conn *connection) bool {
	call.mu.Lock()
	defer call.mu.Unlock()
	if call.cancelled {
		return false
	}
	call.conn = conn
	return true
}

// unbind takes the connection from the call, and reports whether it was cancelled.
func (call *Call) unbind() bool {
	call.mu.Lock()
	defer call.mu.Unlock()
	call.conn = nil
	return call.cancelled
}
