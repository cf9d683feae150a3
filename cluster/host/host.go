package host

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"ravendale/cluster/relay/mailbox"
	"ravendale/cluster/rpc"
)

// Host is the machine as a part of a process sees it.
type Host interface {
	// Now is a steady time, which has no meaning but against another one.
	Now() time.Duration
	// Uint64 draws a random number.
	Uint64() uint64
	// Sleep pauses the task that calls it; the error is the context's if that ends first.
	Sleep(ctx context.Context, pause time.Duration) error
	// Serve runs a mailbox until the context ends; see mailbox.Mailbox.Run.
	Serve(ctx context.Context, box *mailbox.Mailbox, tick func() time.Duration)
	// Tasks makes an empty group of tasks.
	Tasks() Tasks
	// AfterFunc calls a function, on a goroutine of its own, after a while.
	AfterFunc(pause time.Duration, run func()) Timer
	// Signal makes a signal that nobody has given.
	Signal() Signal
	// Connect keeps a connection to an address; see rpc.NewLink.
	Connect(address string, options rpc.Options, up func(*rpc.Conn), down func(error)) Link
}

// Tasks are functions that run beside the one that starts them.
type Tasks interface {
	Go(task func())
	Wait()
}

// Link is a connection that is made again whenever it is lost; see rpc.Link.
type Link interface {
	Address() string
	Conn() *rpc.Conn
	Hurry()
	Close()
}

// Timer is what AfterFunc returns; see time.Timer.
type Timer interface {
	Reset(pause time.Duration) bool
	Stop() bool
}

// Signal wakes one task that waits for it. One that is given while nobody waits is kept; two are kept as one.
type Signal interface {
	Give()
	// Wait waits for so long at most, and says whether the signal was given.
	Wait(most time.Duration) bool
}

// System is the machine that the process runs on.
var System Host = system{}

// Or is the host given, or System in the place of none.
func Or(given Host) Host {
	if given == nil {
		return System
	}
	return given
}

var started = time.Now()

type system struct{}

// Now implements Host.
func (system) Now() time.Duration { return time.Since(started) }

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
func (system) Signal() Signal { return make(signal, 1) }

type signal chan struct{}

// Give implements Signal.
func (s signal) Give() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// Wait implements Signal.
func (s signal) Wait(most time.Duration) bool {
	select {
	case <-s:
		return true
	default:
	}
	if most <= 0 {
		return false
	}
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-s:
		return true
	case <-timer.C:
		return false
	}
}

// Connect implements Host.
func (system) Connect(address string, options rpc.Options, up func(*rpc.Conn), down func(error)) Link {
	return rpc.NewLink(address, options, up, down)
}
