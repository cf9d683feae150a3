package member

import (
	"time"

	"ravendale/cluster/wire"
)

const neverConfirmed = -1 // value of Agent.confirmedAt

// confirmation is what a granted renewal says about the configuration. The leader, whose lease was valid when it
// answered, has applied every version that any leader had published when the renewal was sent.
type confirmation struct {
	sentAt time.Duration  // when the renewal was sent
	heads  []wire.Version // newest versions by topic; empty if the leader does not know them yet
}

// OnConfigConfirmed sets a function that is called on the goroutine of Run when the leader has confirmed that this
// process has the newest configuration. Every configuration that any process received before the time passed to it, on
// the host's clock, is at most as new. It must be called before Run.
func (a *Agent) OnConfigConfirmed(f func(at time.Duration)) { a.onConfirm = f }

// ConfigConfirmedWithin reports whether this process had the newest configuration at some time within the last span.
func (a *Agent) ConfigConfirmedWithin(span time.Duration) bool {
	at := a.confirmedAt.Load()
	return at != neverConfirmed && time.Duration(at) >= a.now()-span
}

// confirm handles a confirmation. If the process does not have the confirmed configuration yet, the confirmation is kept
// until it does, or until the next one.
func (a *Agent) confirm(c confirmation) {
	a.confirmation = confirmation{}
	if len(c.heads) != int(wire.TopicCount) {
		return
	}
	if a.Snapshot().Versions[wire.TopicConfig].Less(c.heads[wire.TopicConfig]) {
		a.confirmation = c
		return
	}
	if time.Duration(a.confirmedAt.Load()) >= c.sentAt {
		return
	}
	a.confirmedAt.Store(int64(c.sentAt))
	if a.onConfirm != nil {
		a.onConfirm(a.started + c.sentAt)
	}
}
