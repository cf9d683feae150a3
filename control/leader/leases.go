package leader

import (
	"time"

	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
	"ravendale/control/registry"
)

// memberLeases is the table of membership leases, and the connections that the members renew over.
type memberLeases struct {
	registry    *registry.Registry
	config      registry.Config
	connections map[*rpc.Conn]uint64
	last        uint64 // number given to a connection
}

func newMemberLeases(config registry.Config) *memberLeases {
	return &memberLeases{registry: registry.New(config), config: config, connections: make(map[*rpc.Conn]uint64)}
}

// connection numbers a connection, and says whether it had no number before.
func (l *memberLeases) connection(c *rpc.Conn) (number uint64, isNew bool) {
	if number := l.connections[c]; number != 0 {
		return number, false
	}
	l.last++
	l.connections[c] = l.last
	return l.last, true
}

func (l *memberLeases) disconnected(now time.Duration, c *rpc.Conn) registry.Changes {
	number := l.connections[c]
	delete(l.connections, c)
	return l.registry.Disconnected(now, number)
}

func (l *memberLeases) renew(now time.Duration, connection uint64, renew *wire.Renew) (time.Duration, registry.Changes) {
	return l.registry.Renew(now, connection, renew)
}
