package host

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"ravendale/cluster/relay/mailbox"
	"ravendale/cluster/rpc"
)

// Host provides time, randomness, concurrency and connections to the components of a process.
type Host interface {
	// Now returns a monotonic time. Only differences between two such times are meaningful.
	Now() time.Duration
	// Uint64 returns a random number.
	Uint64() uint64
	// Sleep pauses the calling task. It returns the context's error if the context ends first.
	Sleep(ctx context.Context, pause time.Duration) error
	// Serve runs a mailbox until the context ends; see mailbox.Mailbox.Run.
	Serve(ctx context.Context, box *mailbox.Mailbox, tick func() time.Duration)
	// Tasks returns an empty group of tasks.
	Tasks() Tasks
	// AfterFunc calls a function on its own goroutine after a pause.
	AfterFunc(pause time.Duration, run func()) Timer
	// Signal returns a Signal without a pending notification.
	Signal() Signal
	// Connect maintains a connection to an address; see rpc.NewLink.
	Connect(address string, options rpc.Options, onUp func(*rpc.Conn), onDown func(error)) Link
}

// Tasks is a group of functions that run concurrently; see sync.WaitGroup.
type Tasks interface {
	Go(task func())
	Wait()
}

// Link is a connection that is re-established whenever it is lost; see rpc.Link.
type Link interface {
	Address() string
	Conn() *rpc.Conn
	ReconnectNow()
	Close()
}

// Timer controls a call scheduled by AfterFunc; see time.Timer.
type Timer interface {
	Reset(pause time.Duration) bool
	Stop() bool
}

// Signal wakes one waiting task. A notification while no task waits is kept for the next Wait; several are kept as one.
type Signal interface {
	Notify()
	// Wait waits until Notify is called or the timeout has passed, and reports whether it was notified.
	Wait(timeout time.Duration) bool
}

// System is the machine that the process runs on.
var System Host = system{}

// OrSystem returns the given host, or System if it is nil.
func OrSystem(machine Host) Host {
	if machine == nil {
		return System
	}
	return machine
}

var processStart = time.Now()

type system struct{}

// Now implements Host.
func (system) Now() time.Duration { return time.Since(processStart) }

// Uint64 implements Host.
func (system) Uint64() uint64 { return rand.Uint64() }

// Sleep implements Host.
func (system) Sleep(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Serve implements Host.
func (system) Serve(ctx context.Context, box *mailbox.Mailbox, tick func() time.Duration) {
	box.Run(ctx, tick)
}

// Tasks implements Host.
func (system) Tasks() Tasks { return new(sync.WaitGroup) }

// AfterFunc implements Host.
func (system) AfterFunc(pause time.Duration, run func()) Timer { return time.AfterFunc(pause, run) }

// Signal implements Host.
func (system) Signal() Signal { return make(channelSignal, 1) }

type channelSignal chan struct{}

// Notify implements Signal.
func (s channelSignal) Notify() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// Wait implements Signal.
func (s channelSignal) Wait(timeout time.Duration) bool {
	select {
	case <-s:
		return true
	default:
	}
	if timeout <= 0 {
		return false
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-s:
		return true
	case <-timer.C:
		return false
	}
}

// Connect implements Host.
func (system) Connect(address string, options rpc.Options, onUp func(*rpc.Conn), onDown func(error)) Link {
	return rpc.NewLink(address, options, onUp, onDown)
}
