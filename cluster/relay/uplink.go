package relay

import (
	"math/rand/v2"
	"time"
)

// Timing of an Uplink.
const (
	joinTimeout       = 400 * time.Millisecond  // to connect and subscribe
	failureTimeout    = 1200 * time.Millisecond // without a message from the parent
	switchDelay       = 500 * time.Millisecond  // average delay before a working parent is left for a better one
	retryPause        = 150 * time.Millisecond  // average pause after all parents failed
	betterParentRetry = 10 * time.Second        // average delay before a better parent that failed is tried again
)

// Uplink selects the parent that a process subscribes to. It does no I/O: its inputs are the time and events, its
// output is Target.
type Uplink struct {
	random       *rand.Rand
	parents      []string
	target       string
	index        int // of target in parents; -1 if it is not listed
	joined       bool
	lastReceived time.Duration
	due          time.Duration // joined: when to try a better parent (0: never); else: time-out, or when to start over
}

// NewUplink returns an Uplink without parents. The random source adds jitter, so that many processes do not switch at
// once.
func NewUplink(random *rand.Rand) *Uplink { return &Uplink{random: random, index: -1} }

// Target returns the address to connect to; empty means none.
func (u *Uplink) Target() string { return u.target }

// Joined reports whether the target has accepted this process as a child.
func (u *Uplink) Joined() bool { return u.joined }

// SetParents sets the parents in order of preference. A working parent is left for a better one only after switchDelay,
// but at once if it is no longer listed.
func (u *Uplink) SetParents(now time.Duration, parents []string) {
	if equal(parents, u.parents) && u.target != "" {
		return
	}
	u.parents = parents
	u.index = position(parents, u.target)
	switch {
	case u.index < 0 || !u.joined:
		u.attempt(now, 0)
	case u.index == 0:
		u.due = 0
	default:
		u.due = now + u.jitter(switchDelay)
	}
}

func equal(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func position(list []string, address string) int {
	for i := range list {
		if list[i] == address {
			return i
		}
	}
	return -1
}

func (u *Uplink) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(u.random.Int64N(int64(mean)))
}

func (u *Uplink) attempt(now time.Duration, index int) {
	u.joined = false
	if index >= len(u.parents) {
		u.target, u.index = "", -1
		u.due = now + u.jitter(retryPause)
		return
	}
	u.target, u.index = u.parents[index], index
	u.due = now + joinTimeout
}

// Accepted records that a parent has accepted this process as a child.
func (u *Uplink) Accepted(now time.Duration, address string) {
	if address != u.target || u.joined {
		return
	}
	u.joined, u.lastReceived, u.due = true, now, 0
	if u.index > 0 {
		u.due = now + u.jitter(betterParentRetry)
	}
}

// Received records that a message was received from a parent.
func (u *Uplink) Received(now time.Duration, address string) {
	if address == u.target {
		u.lastReceived = now
	}
}

// Failed records that a connect to a parent failed, that the parent refused this process, or that the connection ended.
func (u *Uplink) Failed(now time.Duration, address string) {
	if address != "" && address == u.target {
		u.fail(now)
	}
}

func (u *Uplink) fail(now time.Duration) { u.attempt(now, u.index+1) }

// Tick handles time-outs.
func (u *Uplink) Tick(now time.Duration) {
	switch {
	case u.joined && now-u.lastReceived >= failureTimeout:
		u.fail(now)
	case u.joined && u.due > 0 && now >= u.due:
		u.attempt(now, 0)
	case u.joined || now < u.due:
	case u.target != "":
		u.fail(now)
	case len(u.parents) > 0:
		u.attempt(now, 0)
	}
}

// Next returns when Tick is due if no event occurs before, and whether it is due at all.
func (u *Uplink) Next() (time.Duration, bool) {
	if !u.joined {
		return u.due, u.target != "" || len(u.parents) > 0
	}
	if u.due > 0 {
		return min(u.due, u.lastReceived+failureTimeout), true
	}
	return u.lastReceived + failureTimeout, true
}
