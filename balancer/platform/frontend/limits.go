package frontend

import "sync/atomic"

// ConnLimits is what all frontends of one scheduler have together, whichever loops they are on.
type ConnLimits struct {
	open, active atomic.Int64 // connections, and requests that wait for their answers
	ending       atomic.Int64 // of those connections, that were ended here and linger

	maxIdle   atomic.Int64 // above so many connections idle ones are closed
	maxOpen   atomic.Int64 // above so many, those that have brought no request yet
	maxActive atomic.Int64 // above so many requests in progress, others are refused
}

// Limit sets how many connections there may be from now on. Requests take a half of them at most; what is above
// maxOpen is for call-backs and for clients that have something to say.
func (r *ConnLimits) Limit(accepted int) {
	r.maxIdle.Store(int64(accepted / 2))
	r.maxOpen.Store(int64(accepted * 3 / 4))
	r.maxActive.Store(int64(accepted * 3 / 4))
}

// Open is how many connections there are.
func (r *ConnLimits) Open() int { return int(r.open.Load()) }
