package node

import (
	"errors"
	"fmt"
	"syscall"
	"testing"

	"ravendale/balancer/scheduler"
)

// If the system has no Unix sockets, echoes are unsupported and must not be requested again; each scheduler of the large fleet
// used to request one at every pause. An echo that fails for lack of a descriptor must be requested again, as without it
// drains may be read late.
func TestUnsupportedEchoRequestedOnce(t *testing.T) {
	for err, want := range map[error]int{syscall.EAFNOSUPPORT: 1, errors.ErrUnsupported: 1, syscall.EMFILE: 3} {
		b, requested, reported := &oneBackend{}, 0, 0
		for range 3 {
			b.onGap(scheduler.NewLoop(scheduler.SystemClock()), func(func()) error { requested++; return fmt.Errorf("echo: %w", err) }, func(error) { reported++ })
		}
		if requested != want || reported != want || !b.mayBegin() {
			t.Errorf("%v: %d echoes requested, %d errors reported, want %d of each; may begin: %v", err, requested, reported, want, b.mayBegin())
		}
	}
}
