package queue

import (
	"log/slog"
	"time"
)

// Config is the configuration of a Core. A zero ClaimWindow, RestartWindow, ReconnectTimeout or ClockSlack selects its
// default.
type Config struct {
	Disk              string // identity of this store's disk
	Zone              string
	Copies            int           // minimum number of disks that must have a message before it is accepted
	FinishedRetention time.Duration // minimum time for which finished messages are kept
	DiskBytes         int64         // maximum size of the journal
	MaxMessages       int           // maximum number of messages in memory
	ClaimWindow       time.Duration // after a takeover nothing is granted for this long, unless all edges have claimed earlier
	RestartWindow     time.Duration // the same after a restart
	ReconnectTimeout  time.Duration // a disconnected edge keeps its leases for this long
	ClockSlack        time.Duration // maximum error of the time of day: after a restart messages are retained longer by this
	Log               *slog.Logger
}

// Defaults of Config, and fixed limits and intervals.
const (
	defaultClaimWindow      = 400 * time.Millisecond
	defaultRestartWindow    = 800 * time.Millisecond
	defaultReconnectTimeout = 400 * time.Millisecond
	defaultClockSlack       = 15 * time.Second

	maintenanceInterval = 2 * time.Second
	scrubInterval       = 4 * time.Second
	regrantInterval     = 4 * time.Second  // longer than an edge waits for the answer to a put
	maxListed           = 10_000           // maximum number of edges, gone ones included, whose listing is remembered
	maxAssigned         = 64               // maximum number of messages assigned to an edge at a time
	otherZonePenalty    = 8                // an edge in this store's zone may have this many more assigned messages than an edge elsewhere
	wipeDelay           = 20 * time.Second // a partition that this store is no longer a member of is kept for this long
	batchBytes          = 32 << 10         // size of a batch of records that brings a member up to date
	fetchBatch          = 256              // maximum number of message identifiers in one Fetch
	compactionBytes     = 512 << 10        // maximum size of the records that one compaction appends again
	scrubCycle          = 4                // number of scrubs in which each partition is compared once
	// A primary assigns messages only if all members have acknowledged an operation that began within this time. A
	// primary that was paused, and replaced in the meantime, thus notices it before it assigns anything.
	confirmationTimeout = 300 * time.Millisecond
	// A disk counts as stalled if nothing was synced for this long although appended records wait for it.
	stallTimeout      = 500 * time.Millisecond
	refusePercent     = 85 // percentage of DiskBytes in use from which new messages are refused
	compactionPercent = 50 // percentage of DiskBytes in use from which old segments are compacted
	// A message is assigned again this long after a refused drop: an edge repeats its report for each grant.
	refusedDropPause = time.Second
)

func (c Config) withDefaults() Config {
	if c.ClaimWindow <= 0 {
		c.ClaimWindow = defaultClaimWindow
	}
	if c.RestartWindow <= 0 {
		c.RestartWindow = defaultRestartWindow
	}
	if c.ReconnectTimeout <= 0 {
		c.ReconnectTimeout = defaultReconnectTimeout
	}
	if c.ClockSlack <= 0 {
		c.ClockSlack = defaultClockSlack
	}
	if c.Log == nil {
		c.Log = slog.Default()
	}
	return c
}
