package queue

import "time"

// schedule has the times, by the steady clock, at which the core has periodic work to do.
type schedule struct {
	wakeup        time.Duration // time for which Tick was requested from the host; never if it wasn't
	maintenance   time.Duration // time of the next maintenance
	scrub         time.Duration // time of the next scrub
	scrubPosition int           // index of the partition scrubbed last, among those that the store is the primary of
}

func newSchedule() schedule {
	return schedule{wakeup: never, maintenance: maintenanceInterval, scrub: scrubInterval}
}
