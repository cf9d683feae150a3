package relay

import (
	"math/rand/v2"
	"time"
)

// Times of an Uplink.
const (
	joinTimeout       = 400 * time.Millisecond // connect and subscribe
	failureTimeout    = 1200 * time.Millisecond
	switchDelay       = 500 * time.Millisecond // before a parent that serves is left for a better one
	retryPause        = 150 * time.Millisecond // after all parents failed
	betterParentRetry = 10 * time.Second       // a better parent that failed is tried again
)

// Uplink decides which parent a process hangs on. It is pure: time and events go in, Target comes out.
type Uplink struct {
	random  *rand.Rand
	parents []string
	target  string
	at      int // of target in parents; -1 if it is not there
	joined  bool
	heard   time.Duration
	due     time.Duration // joined: look for a better parent, 0 never; else: give up, or with no target, start over
}

// NewUplink makes an Uplink without parents. The random source spreads the moves of many processes.
func NewUplink(random *rand.Rand) *Uplink { return &Uplink{random: random, at: -1} }

// Target is the address to be connected to; empty: none.
func (u *Uplink) Target() string { return u.target }

// Joined says whether the target took this process as its child.
func (u *Uplink) Joined() bool { return u.joined }

// SetParents gives the parents, the best first. One that serves is left only after a while, unless it is not listed any more.
func (u *Uplink) SetParents(now time.Duration, parents []string) {
	if equal(parents, u.parents) && u.target != "" {
		return
	}
	u.parents = parents
	u.at = position(parents, u.target)
	switch {
	case u.at < 0 || !u.joined:
		u.attempt(now, 0)
	case u.at == 0:
		u.due = 0
	default:
		u.due = now + u.spread(switchDelay)
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

func (u *Uplink) spread(around time.Duration) time.Duration {
	return around/2 + time.Duration(u.random.Int64N(int64(around)))
}

func (u *Uplink) attempt(now time.Duration, at int) {
	u.joined = false
	if at >= len(u.parents) {
		u.target, u.at = "", -1
		u.due = now + u.spread(retryPause)
		return
	}
	u.target, u.at = u.parents[at], at
	u.due = now + joinTimeout
}

// Accepted tells that the target took this process as its child.
func (u *Uplink) Accepted(now time.Duration, address string) {
	if address != u.target || u.joined {
		return
	}
	u.joined, u.heard, u.due = true, now, 0
	if u.at > 0 {
		u.due = now + u.spread(betterParentRetry)
	}
}

// Heard tells that the target said something.
func (u *Uplink) Heard(now time.Duration, address string) {
	if address == u.target {
		u.heard = now
	}
}

// Failed tells that the target can't be connected, refused, or that the connection ended.
func (u *Uplink) Failed(now time.Duration, address string) {
	if address != "" && address == u.target {
		u.fail(now)
	}
}

func (u *Uplink) fail(now time.Duration) { u.attempt(now, u.at+1) }

// Tick acts on what is due.
func (u *Uplink) Tick(now time.Duration) {
	switch {
	case u.joined && now-u.heard >= failureTimeout:
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

// Next is when Tick has something to do, if nothing happens before.
func (u *Uplink) Next() (time.Duration, bool) {
	if !u.joined {
		return u.due, u.target != "" || len(u.parents) > 0
	}
	if u.due > 0 {
		return min(u.due, u.heard+failureTimeout), true
	}
	return u.heard + failureTimeout, true
}
