package state

import (
	"fmt"

	"ravendale/cluster/catalog"
)

// configure is the compare-and-set of the configuration. The look for a duplicate comes first: an order that was applied is never
// refused later. One so old that it may have been forgotten is neither acknowledged nor refused.
func (m *Machine) configure(kind Kind, base uint64, body []byte) *Result {
	digest := m.digestOf(kind, base, body)
	if version, ok := m.history.find(digest); ok {
		return &Result{Outcome: OutcomeDuplicate, Version: version}
	}
	now := m.Current()
	if base != now.Version {
		if m.history.mayHaveDropped(base, now.Sequence) && !m.mutations.refusesOld {
			return &Result{Outcome: OutcomeUnsure}
		}
		return &Result{Outcome: OutcomeRefusedVersion}
	}
	config, err := m.build(kind, now, body)
	if err != nil {
		return failed(OutcomeInvalid, err)
	}
	next := *now
	next.Document = config.Document()
	next.Version = config.Version
	next.Sequence++
	m.current.Store(&next)
	m.parsed = config
	m.history.add(digest, next.Version)
	return &Result{Outcome: OutcomeApplied}
}

func (m *Machine) digestOf(kind Kind, base uint64, body []byte) digest {
	if m.mutations.digest != nil {
		return m.mutations.digest(kind, base, body)
	}
	return digestOf(kind, base, body)
}

// MaxDocument bounds a configuration, in bytes, so that the state fits the disks and the messages that carry it.
const MaxDocument = 4 << 20

func (m *Machine) build(kind Kind, now *Snapshot, body []byte) (*catalog.Config, error) {
	config, err := m.read(kind, now, body)
	if err != nil {
		return nil, err
	}
	if size := len(config.Document()); size > MaxDocument {
		return nil, catalog.Findings{{Place: "document", Reason: fmt.Sprintf("%d bytes are more than the %d that may be", size, MaxDocument)}}
	}
	if config.Version <= now.Version {
		reason := fmt.Sprintf("%d is not above the current version %d", config.Version, now.Version)
		return nil, catalog.Findings{{Place: "version", Reason: reason}}
	}
	return config, nil
}

// read makes the configuration of an order. Most of what a patch of a large one costs is reading what it changes: that is done once.
func (m *Machine) read(kind Kind, now *Snapshot, body []byte) (*catalog.Config, error) {
	if kind == KindSet {
		return catalog.Parse(body)
	}
	if now.Version == 0 {
		return nil, catalog.Findings{{Place: "document", Reason: "there is no configuration yet that could be changed"}}
	}
	if m.parsed == nil {
		config, err := catalog.Load(now.Document)
		if err != nil {
			return nil, err
		}
		m.parsed = config
	}
	return m.parsed.Apply(body)
}
