package frontend

import "sync/atomic"

// ConnLimits holds the connection counts and limits that all frontends of one scheduler share, on whatever loops they run.
type ConnLimits struct {
	open, active atomic.Int64 // number of connections, and of requests that wait for their answers
	ending       atomic.Int64 // how many of the connections were ended on this side and linger

	maxIdle   atomic.Int64 // number of connections above which idle ones are closed
	maxOpen   atomic.Int64 // number of connections above which those without a valid request so far are closed
	maxActive atomic.Int64 // number of requests in progress from which new ones are refused
}

// Limit sets the limits from the number of connections that may be accepted. Idle connections are closed above half of it, and
// maxOpen and maxActive are three quarters; the rest is for call-backs and for clients that send requests.
func (r *ConnLimits) Limit(accepted int) {
	r.maxIdle.Store(int64(accepted / 2))
	r.maxOpen.Store(int64(accepted * 3 / 4))
	r.maxActive.Store(int64(accepted * 3 / 4))
}

// Open returns the number of connections.
func (r *ConnLimits) Open() int { return int(r.open.Load()) }
