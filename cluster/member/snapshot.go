package member

import (
	"fmt"

	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/catalog"
	"ravendale/cluster/relay"
	"ravendale/cluster/wire"
)

// Snapshot is the process's state of all topics at one moment. It is immutable; a newer one replaces it.
type Snapshot struct {
	Versions [wire.TopicCount]wire.Version
	Catalog  *catalog.Index  // nil until a configuration is received, and always in processes other than edges
	Workers  *wire.Workers   // nil until received
	Stores   *wire.StoreView // nil until received
	Members  *wire.Members   // nil until received
}

// atLeast reports whether every topic is at least as new as in versions.
func (s *Snapshot) atLeast(versions *relay.Versions) bool {
	for i := range s.Versions {
		if s.Versions[i].Less(versions[i]) {
			return false
		}
	}
	return true
}

// with returns a copy of the snapshot with one topic replaced. Only an edge parses the configuration.
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
			return nil // stores only relay the configuration
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

// config returns the configuration, or nil if none has been received.
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
