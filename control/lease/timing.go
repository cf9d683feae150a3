package lease

import "time"

// Timing is how long a lease lasts, and when it is renewed.
type Timing struct {
	Duration      time.Duration // for which a voter grants it
	Margin        time.Duration // by which the holder stops earlier
	RenewInterval time.Duration // between renewals
}

// DefaultTiming is that of docs/system.md.
var DefaultTiming = Timing{Duration: defaultDuration, Margin: defaultDuration / 10, RenewInterval: defaultDuration / 4}

// defaultDuration is how long a voter grants the lease by default.
const defaultDuration = 1200 * time.Millisecond
