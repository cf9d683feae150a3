package worker

import (
	"context"
	"sync"
)

// Call is a delivery in progress.
type Call struct {
	delivery *Delivery
	done     func(Result)
	cancel   context.CancelFunc

	mu        sync.Mutex
	conn      *connection
	cancelled bool
}

// Cancel aborts the delivery by closing its connection. The outcome is Cancelled, unless the delivery has ended already.
func (call *Call) Cancel() {
	call.mu.Lock()
	defer call.mu.Unlock()
	call.cancelled = true
	call.cancel()
	if call.conn != nil {
		_ = call.conn.socket.Close()
	}
}

// bind sets the connection that Cancel closes. It returns false if the call is already cancelled.
func (call *Call) bind(conn *connection) bool {
	call.mu.Lock()
	defer call.mu.Unlock()
	if call.cancelled {
		return false
	}
	call.conn = conn
	return true
}

// unbind removes the connection from the call and reports whether the call was cancelled.
func (call *Call) unbind() bool {
	call.mu.Lock()
	defer call.mu.Unlock()
	call.conn = nil
	return call.cancelled
}
