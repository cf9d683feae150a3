package lease

import "time"

// Timing is the duration of the lease and the interval of its renewal.
type Timing struct {
	Duration      time.Duration // how long a voter's grant lasts
	Margin        time.Duration // how much earlier the holder treats the lease as expired
	RenewInterval time.Duration // interval between renewals
}

// DefaultTiming is the timing specified in docs/system.md.
var DefaultTiming = Timing{Duration: defaultDuration, Margin: defaultDuration / 10, RenewInterval: defaultDuration / 4}

// defaultDuration is how long a voter grants the lease by default.
const defaultDuration = 1200 * time.Millisecond
