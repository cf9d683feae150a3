package queue

// primaryConns has the connections that other stores have opened to this one, to replicate to it as primaries.
//
// A primary sends its first notification on a connection only after it has received the answer to its Hello there, so
// after the connection before was closed. That one may still have unread notifications if this store was paused.
// Applying them after those of the newer connection would bring back an older state of a message.
type primaryConns struct {
	diskOf map[Remote]string // disk of the store that has opened a connection
	newest map[string]uint64 // by disk: accept order of the newest connection on which it has sent a notification
}

func newPrimaryConns() primaryConns {
	return primaryConns{diskOf: make(map[Remote]string), newest: make(map[string]uint64)}
}

func (s *primaryConns) forget(remote Remote) { delete(s.diskOf, remote) }

// isOutdated reports whether the store at the other end of a connection has sent notifications on a newer one. If not,
// the connection is that store's newest from now on.
func (s *primaryConns) isOutdated(from Remote) bool {
	disk, identified := s.diskOf[from]
	if !identified {
		return false
	}
	order := acceptOrder(from)
	if order < s.newest[disk] {
		return true
	}
	s.newest[disk] = order
	return false
}

// Hello handles the first request of another store on a connection, in which it identifies itself.
func (c *Core) Hello(now Time, from Remote, m *Hello, reply Replier) {
	c.now = now
	c.primaries.diskOf[from] = m.From
	reply.Send(&HelloReply{Accepted: m.To == c.config.Disk})
}

// refusesPrimary reports whether a notification of a primary must be ignored: a newer primary is known, or the
// connection is outdated. The primary sends again what was not acknowledged on the newer connection.
func (c *Core) refusesPrimary(from Remote, epoch uint64) bool {
	if epoch < c.newestEpoch {
		return true
	}
	if c.mutations.ignoresAcceptOrder || !c.primaries.isOutdated(from) {
		return false
	}
	c.config.Log.Info("ignored a notification on an outdated connection of a primary", "disk", c.primaries.diskOf[from])
	closeOutdated(from)
	return true
}
