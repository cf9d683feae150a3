package leader

import (
	"time"

	"ravendale/cluster/relay"
	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
)

// takeover is what a term has learned about earlier terms: topics that members still have, and whether an earlier
// leader saved its schedulers.
type takeover struct {
	*leadership
	adopted        relay.Versions // versions of earlier terms that were fetched from members
	fetching       [wire.TopicCount]bool
	membersKnown   bool          // a member has a list of members of an earlier term
	membersKnownAt time.Duration // when the first such member renewed
	edgesSaved     bool          // the control state has the schedulers that an earlier leader saved
}

// recordMembers records that a member has a list of members of an earlier term.
func (o *takeover) recordMembers(now time.Duration) {
	if !o.membersKnown {
		o.membersKnown, o.membersKnownAt = true, now
	}
}

// fetch requests a topic of an earlier term from a member if it is newer than the adopted version. The answer is passed
// to adopt.
func (o *takeover) fetch(c *rpc.Conn, topic wire.Topic, have wire.Version, adopt func(*wire.Update)) {
	if have.Term >= o.number || !o.adopted[topic].Less(have) || o.fetching[topic] {
		return
	}
	o.fetching[topic] = true
	update := new(wire.Update)
	c.StartCall(wire.MethodFetch, &wire.Fetch{Topic: topic}, update, func(err error) {
		o.box.Post(func() {
			o.fetching[topic] = false
			if err == nil && update.Topic == topic && !update.Delta && update.To.Term < o.number && o.adopted[topic].Less(update.To) {
				adopt(update)
			}
		})
	})
}
