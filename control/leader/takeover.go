package leader

import (
	"time"

	"ravendale/cluster/relay"
	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
)

// takeover is what a term knows of earlier ones: topics that members still have, and the schedulers that an earlier leader saved.
type takeover struct {
	*leadership
	adopted  relay.Versions // taken over from members
	fetching [wire.TopicCount]bool
	known    bool          // some member has a list of members of an earlier term
	knownAt  time.Duration // when the first of them renewed
	saved    bool          // an earlier leader's schedulers are in the control state
}

// sawMembers notes that a member has a list of members of an earlier term.
func (o *takeover) sawMembers(now time.Duration) {
	if !o.known {
		o.known, o.knownAt = true, now
	}
}

// fetch asks a member for a topic of an earlier term, if it is newer than what was adopted. Take gets the answer.
func (o *takeover) fetch(c *rpc.Conn, topic wire.Topic, have wire.Version, take func(*wire.Update)) {
	if have.Term >= o.number || !o.adopted[topic].Less(have) || o.fetching[topic] {
		return
	}
	o.fetching[topic] = true
	c.Start(wire.MethodFetch, &wire.Fetch{Topic: topic}, func(payload []byte, err error) {
		update := new(wire.Update)
		if err == nil {
			_, err = update.UnmarshalMsg(payload)
		}
		o.box.Post(func() {
			o.fetching[topic] = false
			if err == nil && update.Topic == topic && !update.Delta && update.To.Term < o.number && o.adopted[topic].Less(update.To) {
				take(update)
			}
		})
	})
}
