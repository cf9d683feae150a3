package leader

import (
	"time"

	"ravendale/cluster/rpc"
	"ravendale/control/registry"
)

// memberLeases holds the membership leases, and the connections over which members renew them.
type memberLeases struct {
	registry    *registry.Registry
	config      registry.Config
	connections map[*rpc.Conn]bool // open connections over which a renewal came
}

func newMemberLeases(config registry.Config) *memberLeases {
	return &memberLeases{registry: registry.New(config), config: config, connections: make(map[*rpc.Conn]bool)}
}

// record records a connection over which a renewal came, and reports whether it was the first one.
func (l *memberLeases) record(c *rpc.Conn) (isNew bool) {
	isNew = !l.connections[c]
	l.connections[c] = true
	return isNew
}

func (l *memberLeases) disconnected(now time.Duration, c *rpc.Conn) registry.Changes {
	delete(l.connections, c)
	return l.registry.Disconnected(now, c.AcceptOrder())
}
