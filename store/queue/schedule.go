package queue

import "time"

// schedule is when the core has work of its own, by the steady clock.
type schedule struct {
	wakeup        time.Duration // the Tick that the host was asked for; never: none
	maintenance   time.Duration
	scrub         time.Duration
	scrubPosition int // among the partitions that the store is the primary of
}

func newSchedule() schedule {
	return schedule{wakeup: never, maintenance: maintenanceInterval, scrub: scrubInterval}
}
