package queue

import (
	"errors"

	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/wire"
)

// Remote is a connection to an edge or another store.
type Remote interface {
	// Notify sends a notification. It fails if the connection is closed; the core may ignore that, since RemoteDown or
	// PeerDown follows.
	Notify(method wire.Method, message msgp.Marshaler) error
}

// AcceptedRemote is a Remote that the other end has opened. A store that was paused handles what waits on several
// connections of one peer in any order; the order in which the connections were accepted tells which one is the newest.
//
// A peer opens a connection only after it has closed the one before, also across its restart, so the connection accepted
// last is the peer's newest. If the core doesn't use a connection, because a newer one exists, it closes it: a peer that
// still has it open notices that and opens another one.
type AcceptedRemote interface {
	Remote
	// AcceptOrder returns the position of the connection among all connections that the process has accepted, at least 1.
	AcceptOrder() uint64
	// Close closes the connection. It must not call the core.
	Close()
}

// errOutdatedConnection answers a request on a connection whose peer has opened a newer one.
var errOutdatedConnection = errors.New("queue: the connection was replaced by a newer one of the same peer")

// acceptOrder returns the order in which a connection was accepted, or 0 if it is unknown. An unknown order counts as
// older than any known one.
func acceptOrder(remote Remote) uint64 {
	if accepted, ok := remote.(AcceptedRemote); ok {
		return accepted.AcceptOrder()
	}
	return 0
}

// closeOutdated closes a connection whose peer has opened a newer one.
func closeOutdated(remote Remote) {
	if accepted, ok := remote.(AcceptedRemote); ok {
		accepted.Close()
	}
}

// RemoteDown handles that a connection which the process has accepted is closed. No further event of the connection
// must follow, except reports and lookups.
func (c *Core) RemoteDown(now Time, remote Remote) {
	c.now = now
	c.primaries.forget(remote)
	c.edgeDown(remote)
}
