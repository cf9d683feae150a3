package leader

import (
	"log/slog"
	"time"

	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/relay"
	"ravendale/cluster/wire"
)

// workersTimeout is how long a new leader waits for a list of workers before it announces the topics' versions without
// one.
const workersTimeout = 2 * time.Second

// publisher assigns the versions of the topics and publishes them at the root of the relay tree.
type publisher struct {
	node      *relay.Node
	term      uint64
	log       *slog.Logger
	heads     relay.Versions          // the newest published version of each topic
	sequences [wire.TopicCount]uint64 // of the newest version of this term; 0: there is none
}

func (p *publisher) publish(topic wire.Topic, version wire.Version, payload []byte) {
	p.heads[topic] = version
	p.node.Publish(topic, version, payload)
}

// publishNext publishes the next version of a topic in this term.
func (p *publisher) publishNext(topic wire.Topic, message msgp.Marshaler) {
	payload, err := message.MarshalMsg(nil)
	if err != nil {
		p.log.Error("failed to encode a topic", "topic", topic, "error", err)
		return
	}
	p.sequences[topic]++
	p.publish(topic, wire.Version{Term: p.term, Sequence: p.sequences[topic]}, payload)
}

// publishedInTerm reports whether this term has published a version of its own of a topic.
func (p *publisher) publishedInTerm(topic wire.Topic) bool { return p.sequences[topic] > 0 }

// publishIfNewer publishes a version from the state machine if it is newer than the newest published one.
func (p *publisher) publishIfNewer(topic wire.Topic, version wire.Version, encode func() ([]byte, error)) {
	if !p.heads[topic].Less(version) {
		return
	}
	payload, err := encode()
	if err != nil {
		p.log.Error("failed to encode a topic", "topic", topic, "error", err)
		return
	}
	p.publish(topic, version, payload)
}

// complete reports whether heads has the topics of workers and members, so that a member may treat the versions in
// heads as the newest. After workersTimeout it is true in any case.
func (p *publisher) complete(now time.Duration) bool {
	known := p.heads[wire.TopicWorkers] != wire.Version{} && p.heads[wire.TopicMembers] != wire.Version{}
	return known || now >= workersTimeout
}
