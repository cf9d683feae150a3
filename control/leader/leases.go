package leader

import (
	"time"

	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
	"ravendale/control/registry"
)

// memberLeases holds the membership leases, and the connections over which members renew them.
type memberLeases struct {
	registry    *registry.Registry
	config      registry.Config
	connections map[*rpc.Conn]uint64
	lastNumber  uint64 // number of the newest connection
}

func newMemberLeases(config registry.Config) *memberLeases {
	return &memberLeases{registry: registry.New(config), config: config, connections: make(map[*rpc.Conn]uint64)}
}

// connectionNumber returns a connection's number, and whether it was assigned by this call.
func (l *memberLeases) connectionNumber(c *rpc.Conn) (number uint64, isNew bool) {
	if number := l.connections[c]; number != 0 {
		return number, false
	}
	l.lastNumber++
	l.connections[c] = l.lastNumber
	return l.lastNumber, true
}

func (l *memberLeases) disconnected(now time.Duration, c *rpc.Conn) registry.Changes {
	number := l.connections[c]
	delete(l.connections, c)
	return l.registry.Disconnected(now, number)
}

func (l *memberLeases) renew(now time.Duration, connection uint64, renew *wire.Renew) (time.Duration, registry.Changes) {
	return l.registry.Renew(now, connection, renew)
}
