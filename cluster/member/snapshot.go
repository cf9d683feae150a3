package member

import (
	"fmt"

	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/catalog"
	"ravendale/cluster/relay"
	"ravendale/cluster/wire"
)

// Snapshot is what the process knows of all topics at one moment. It never changes; a newer one takes its place.
type Snapshot struct {
	Versions [wire.TopicCount]wire.Version
	Catalog  *catalog.Index  // nil until a configuration is known
	Workers  *wire.Workers   // nil until known
	Stores   *wire.StoreView // nil until known
	Members  *wire.Members   // nil until known
}

// covers says whether no topic is older than named.
func (s *Snapshot) covers(named *relay.Versions) bool {
	for i := range s.Versions {
		if s.Versions[i].Less(named[i]) {
			return false
		}
	}
	return true
}

// with returns a snapshot with one topic renewed.
func (s *Snapshot) with(topic wire.Topic, version wire.Version, payload []byte) (*Snapshot, error) {
	next := *s
	if err := next.read(topic, payload); err != nil {
		return nil, err
	}
	next.Versions[topic] = version
	return &next, nil
}

func (s *Snapshot) read(topic wire.Topic, payload []byte) error {
	switch topic {
	case wire.TopicConfig:
		config, err := catalog.Parse(payload)
		if err != nil {
			return err
		}
		s.Catalog = catalog.NewIndex(config)
		return nil
	case wire.TopicWorkers:
		s.Workers = new(wire.Workers)
		return decode(s.Workers, payload)
	case wire.TopicStores:
		s.Stores = new(wire.StoreView)
		return decode(s.Stores, payload)
	case wire.TopicMembers:
		s.Members = new(wire.Members)
		return decode(s.Members, payload)
	}
	return fmt.Errorf("member: unknown topic %d", topic)
}

func decode(message msgp.Unmarshaler, payload []byte) error {
	_, err := message.UnmarshalMsg(payload)
	return err
}
