package state

import (
	"fmt"

	"ravendale/cluster/catalog"
)

// applyChange applies a configuration change as a compare-and-set on the version. It checks for a duplicate first, so
// that a change that was applied is not refused when it is repeated. If a change on an older version may have been
// applied so long ago that the history has dropped it, the outcome is OutcomeUnsure: it is neither acknowledged nor
// refused.
func (m *Machine) applyChange(kind Kind, base uint64, body []byte) *Result {
	digest := m.digestOf(kind, base, body)
	if version, ok := m.history.find(digest); ok {
		return &Result{Outcome: OutcomeDuplicate, Version: version}
	}
	current := m.Current()
	if base != current.Version {
		if m.history.mayHaveDropped(base, current.Sequence) && !m.mutations.refusesDropped {
			return &Result{Outcome: OutcomeUnsure}
		}
		return &Result{Outcome: OutcomeRefusedVersion}
	}
	config, err := m.buildConfig(kind, current, body)
	if err != nil {
		return errorResult(OutcomeInvalid, err)
	}
	next := *current
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

// MaxDocument is the maximum size of a configuration in bytes. It keeps the state small enough for the disks and
// messages that carry it.
const MaxDocument = 4 << 20

func (m *Machine) buildConfig(kind Kind, current *Snapshot, body []byte) (*catalog.Config, error) {
	config, err := m.parseConfig(kind, current, body)
	if err != nil {
		return nil, err
	}
	if size := len(config.Document()); size > MaxDocument {
		return nil, catalog.Findings{{Place: "document", Reason: fmt.Sprintf("%d bytes are more than the %d that may be", size, MaxDocument)}}
	}
	if config.Version <= current.Version {
		reason := fmt.Sprintf("%d is not above the current version %d", config.Version, current.Version)
		return nil, catalog.Findings{{Place: "version", Reason: reason}}
	}
	return config, nil
}

// parseConfig returns the configuration that a change results in. Parsing the current document would be most of the
// cost of patching a large configuration, so its parsed form is kept between changes.
func (m *Machine) parseConfig(kind Kind, current *Snapshot, body []byte) (*catalog.Config, error) {
	if kind == KindSet {
		return catalog.Parse(body)
	}
	if current.Version == 0 {
		return nil, catalog.Findings{{Place: "document", Reason: "there is no configuration yet that could be changed"}}
	}
	if m.parsed == nil {
		config, err := catalog.Load(current.Document)
		if err != nil {
			return nil, err
		}
		m.parsed = config
	}
	return m.parsed.Apply(body)
}
