package leader

import (
	"log/slog"
	"time"

	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/relay"
	"ravendale/cluster/wire"
)

// workersTimeout is how long a new leader looks for a list of workers before it names versions without one.
const workersTimeout = 2 * time.Second

// publisher numbers the versions of the topics and feeds them to the root of the relay tree.
type publisher struct {
	node      *relay.Node
	term      uint64
	log       *slog.Logger
	heads     relay.Versions // the newest published
	sequences [wire.TopicCount]uint64
}

func (p *publisher) publish(topic wire.Topic, version wire.Version, payload []byte) {
	p.heads[topic] = version
	p.node.Publish(topic, version, payload)
}

// announce publishes a topic's next version of this term.
func (p *publisher) announce(topic wire.Topic, message msgp.Marshaler) {
	payload, err := message.MarshalMsg(nil)
	if err != nil {
		p.log.Error("a topic can't be encoded", "topic", topic, "error", err)
		return
	}
	p.sequences[topic]++
	p.publish(topic, wire.Version{Term: p.term, Sequence: p.sequences[topic]}, payload)
}

// announced says whether this term has a version of its own of a topic.
func (p *publisher) announced(topic wire.Topic) bool { return p.sequences[topic] > 0 }

// follow publishes a version that the state machine has, if it is newer than the one published.
func (p *publisher) follow(topic wire.Topic, version wire.Version, encode func() ([]byte, error)) {
	if !p.heads[topic].Less(version) {
		return
	}
	payload, err := encode()
	if err != nil {
		p.log.Error("a topic can't be encoded", "topic", topic, "error", err)
		return
	}
	p.publish(topic, version, payload)
}

// complete says whether all topics are known, so that a member may take them for the newest.
func (p *publisher) complete(now time.Duration) bool {
	known := p.heads[wire.TopicWorkers] != wire.Version{} && p.heads[wire.TopicMembers] != wire.Version{}
	return known || now >= workersTimeout
}
