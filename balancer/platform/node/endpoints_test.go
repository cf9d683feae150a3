package node

import (
	"errors"
	"fmt"
	"syscall"
	"testing"

	"ravendale/balancer/scheduler"
)

// Where the system has no Unix sockets there is no echo: each scheduler of the large fleet asked for one at every pause. One that
// fails for want of a descriptor is asked for again, for drains may be heard late without it.
func TestAnEchoThatTheSystemLacksIsRequestedOnce(t *testing.T) {
	for err, want := range map[error]int{syscall.EAFNOSUPPORT: 1, errors.ErrUnsupported: 1, syscall.EMFILE: 3} {
		b, requested, reported := &oneBackend{}, 0, 0
		for range 3 {
			b.gap(scheduler.NewLoop(scheduler.SystemClock()), func(func()) error { requested++; return fmt.Errorf("echo: %w", err) }, func(error) { reported++ })
		}
		if requested != want || reported != want || !b.mayBegin() {
			t.Errorf("%v: asked %d times, told %d times, want %d; may begin: %v", err, requested, reported, want, b.mayBegin())
		}
	}
}
