// Package core is the replicated core of the control plane: it orders commands for a state machine so that none that was acknowledged
// is lost, and grants one process at a time the leader lease.
package core

import (
	"context"
	"errors"
	"log/slog"

	"ravendale/control/view"
	"ravendale/rpc"
	"ravendale/settings"
)

// Errors of Submit.
var (
	ErrUnavailable = errors.New("core: unavailable, the command was not and will not be applied")
	ErrUnknown     = errors.New("core: the command may or may not be applied")
)

// Machine is the state that is kept alike at all members. Its methods are called one at a time, and must depend on nothing but
// what they are given.
type Machine interface {
	// Apply executes a committed command. The result goes to whoever submitted it.
	Apply(command []byte) (result []byte)
	// Snapshot is the whole state.
	Snapshot() []byte
	// Restore replaces the whole state by that of a snapshot.
	Restore(snapshot []byte) error
}

// Config of a core process.
type Config struct {
	Settings *settings.Settings
	Machine  Machine
	Mux      *rpc.Mux // Open registers the core's handlers here: call rpc.Listen on settings.ControlAddress(settings.IP) after Open, before Run
	Log      *slog.Logger
	// Lead is called on a goroutine of its own when this process gets the leader lease. Its context ends when the lease is lost;
	// before each act it asks lease.Valid. May be nil: then this process never seeks the lease.
	Lead func(ctx context.Context, lease *Lease)
	// Applied is called after commands were applied to the local machine, on the goroutine that did it: it must not wait. May be nil.
	Applied func()
}

// Lease is the leader lease while this process holds it.
type Lease struct{}

// Valid says whether the holder may act now.
func (l *Lease) Valid() bool { return false }

// Status is what an operator may want to know of the core.
type Status struct {
	ID        view.ID // of this process's disk; zero if it has none
	Epoch     uint64
	Voters    []view.Member
	Chain     []view.ID
	Attached  bool // this process follows the chain
	Durable   bool // the chain has enough disks to commit
	Last      uint64
	Committed uint64
	Leader    string // rpc address, empty if unknown
}

// Core is this process's part of the core.
type Core struct{ config Config }

// Open reads the disk and restores the machine. A process without a disk only forwards what is submitted.
func Open(config Config) (*Core, error) { return &Core{config: config}, nil }

// Run takes part in the core until ctx ends or the disk fails.
func (c *Core) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Submit has a command ordered, committed and applied, and returns what Machine.Apply returned for it. After ErrUnavailable
// it surely was not and never will be applied; after any other error it may be.
func (c *Core) Submit(ctx context.Context, command []byte) ([]byte, error) {
	return nil, ErrUnavailable
}

// Leader is the rpc address of the process that holds the leader lease, as far as this process knows.
func (c *Core) Leader() (address string, ok bool) { return "", false }

// Addresses are the rpc addresses of all processes of the core that this one knows.
func (c *Core) Addresses() []string { return nil }

// Status tells how this process sees the core.
func (c *Core) Status() Status { return Status{} }
