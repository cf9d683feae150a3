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
	Catalog  *catalog.Index  // nil until a configuration is known, and in processes that are no edge
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

// with returns a snapshot with one topic renewed, as an edge or another process needs it.
func (s *Snapshot) with(topic wire.Topic, version wire.Version, payload []byte, edge bool) (*Snapshot, error) {
	next := *s
	if err := next.read(topic, payload, edge); err != nil {
		return nil, err
	}
	next.Versions[topic] = version
	return &next, nil
}

func (s *Snapshot) read(topic wire.Topic, payload []byte, edge bool) error {
	switch topic {
	case wire.TopicConfig:
		if !edge {
			return nil // a store only passes it on
		}
		config, err := s.config().Reload(payload)
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

// config is the configuration, nil until one is known.
func (s *Snapshot) config() *catalog.Config {
	if s.Catalog == nil {
		return nil
	}
	return s.Catalog.Config()
}

func decode(message msgp.Unmarshaler, payload []byte) error {
	_, err := message.UnmarshalMsg(payload)
	return err
}
