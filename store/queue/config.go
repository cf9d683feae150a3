package queue

import (
	"log/slog"
	"time"
)

// Config of a Core. Durations of zero stand for the defaults.
type Config struct {
	Disk              string // own identity
	Zone              string
	Copies            int           // disks that hold a message before it is accepted, at least
	FinishedRetention time.Duration // how long finished messages are known, at least
	DiskBytes         int64         // of the journal at most
	MaxMessages       int           // in memory at most
	ClaimWindow       time.Duration // after a takeover nothing is granted for so long, unless all edges have claimed before
	RestartWindow     time.Duration // the same after a restart
	ReconnectTimeout  time.Duration // a disconnected edge keeps its leases for so long
	ClockSlack        time.Duration // by which the time of day may be wrong: messages are retained so much longer after a restart
	Log               *slog.Logger
}

// Defaults of Config, and other figures.
const (
	defaultClaimWindow      = 400 * time.Millisecond
	defaultRestartWindow    = 800 * time.Millisecond
	defaultReconnectTimeout = 400 * time.Millisecond
	defaultClockSlack       = 15 * time.Second

	maintenanceInterval = 2 * time.Second
	scrubInterval       = 4 * time.Second
	regrantInterval     = 4 * time.Second  // longer than an edge waits for the answer to a put
	maxAssigned         = 64               // messages that an edge is assigned at once
	otherZonePenalty    = 8                // assigned messages that an edge of the own zone may have more than others
	wipeDelay           = 20 * time.Second // a partition that others have is kept so long
	batchBytes          = 32 << 10         // of one batch that fills a member
	fetchBatch          = 256              // identifiers in one Fetch
	compactionBytes     = 512 << 10        // appended anew at once
	scrubCycle          = 4                // scrubs in which each partition is compared once
	// A primary assigns messages only if all members acknowledged something to it so recently: one that was frozen, and replaced
	// meanwhile, finds out first.
	confirmationTimeout = 300 * time.Millisecond
	// A disk that has synced nothing for so long is stalled.
	stallTimeout      = 500 * time.Millisecond
	refusePercent     = 85 // percent of the disk: new messages are refused
	compactionPercent = 50 // percent of the disk: old segments are compacted
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
