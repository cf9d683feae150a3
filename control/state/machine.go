// Package state is the state machine of the control plane: the operator's configuration, the leader's term and the placement of the
// queue. It is deterministic: the same commands in the same order lead to the same state and the same results everywhere.
package state

import (
	"bytes"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
)

// Snapshot is the state at one moment. It is immutable.
type Snapshot struct {
	Document  []byte          // the configuration; nil: there is none yet
	Version   uint64          // of the configuration; 0: there is none yet
	Sequence  uint64          // how often the configuration has changed
	Placement *wire.StoreView // nil: there is none yet
	Term      uint64          // of the newest leader; 0: there was none yet
	Leader    string          // the candidate that took Term
	Edges     []wire.Edge     // the schedulers that a leader knew last, none of them ready
}

// Epoch is that of the placement, 0 if there is none yet.
func (s *Snapshot) Epoch() uint64 {
	if s.Placement == nil {
		return 0
	}
	return s.Placement.Epoch
}

// Machine is the state machine.
type Machine struct {
	mu      sync.Mutex // held by Apply, Snapshot and Restore
	current atomic.Pointer[Snapshot]
	taken   history
	parsed  *catalog.Config // of the current document, as read last; nil: it was not read since a Restore
	faults  faults
}

// faults are mistakes that tests make on purpose, to see that they would be caught.
type faults struct {
	digest       func(kind Kind, base uint64, body []byte) digest // by which orders are known again; nil: digestOf
	dropsHistory bool                                             // a snapshot is restored without the orders that were taken
	refusesOld   bool                                             // an order older than the history is refused
}

// NewMachine returns a machine in its first state: without configuration, leader and placement.
func NewMachine() *Machine {
	m := &Machine{taken: history{limit: historyLength}}
	m.current.Store(&Snapshot{})
	return m
}

// Current is the newest state. It may be called at any time by anybody.
func (m *Machine) Current() *Snapshot { return m.current.Load() }

// Apply executes an encoded Command and returns an encoded Result. What can't be decoded changes nothing.
func (m *Machine) Apply(encoded []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	result := m.execute(encoded)
	now := m.Current()
	result.Sequence = now.Sequence
	result.Term = now.Term
	result.Epoch = now.Epoch()
	if result.Version == 0 {
		result.Version = now.Version
	}
	out, err := result.MarshalMsg(make([]byte, 0, result.Msgsize()))
	if err != nil {
		return nil // can't be: a Result has nothing that could fail
	}
	return out
}

func (m *Machine) execute(encoded []byte) *Result {
	command, err := Decode(encoded)
	if err != nil {
		return failed(OutcomeMalformed, err)
	}
	switch command := command.(type) {
	case *Set:
		return m.configure(KindSet, command.Base, command.Body)
	case *Patch:
		return m.configure(KindPatch, command.Base, command.Body)
	case *Show:
		return &Result{Outcome: OutcomeTaken, Document: m.Current().Document}
	case *TakeTerm:
		return m.takeTerm(command.Candidate)
	case *PutPlacement:
		return m.place(command)
	case *Barrier:
		return &Result{Outcome: OutcomeTaken}
	case *PutMembers:
		return m.keepMembers(command)
	}
	return failed(OutcomeMalformed, ErrUnknownCommand)
}

// configure is the compare-and-set of the configuration. The look for a repeat comes first: an order that was taken is never
// refused later. One so old that it may have been forgotten is neither acknowledged nor refused.
func (m *Machine) configure(kind Kind, base uint64, body []byte) *Result {
	digest := m.digestOf(kind, base, body)
	if version, ok := m.taken.find(digest); ok {
		return &Result{Outcome: OutcomeRepeated, Version: version}
	}
	now := m.Current()
	if base != now.Version {
		if m.taken.mayHaveForgotten(base, now.Sequence) && !m.faults.refusesOld {
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
	m.taken.add(digest, next.Version)
	return &Result{Outcome: OutcomeTaken}
}

func (m *Machine) digestOf(kind Kind, base uint64, body []byte) digest {
	if m.faults.digest != nil {
		return m.faults.digest(kind, base, body)
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

func (m *Machine) takeTerm(candidate string) *Result {
	next := *m.Current()
	next.Term++
	next.Leader = candidate
	m.current.Store(&next)
	return &Result{Outcome: OutcomeTaken}
}

// place takes the placement of the next epoch from the current leader, and acknowledges its repeat.
func (m *Machine) place(command *PutPlacement) *Result {
	now := m.Current()
	if command.Term != now.Term || now.Term == 0 {
		return &Result{Outcome: OutcomeStaleTerm}
	}
	if now.Placement != nil && sameView(now.Placement, &command.View) {
		return &Result{Outcome: OutcomeRepeated}
	}
	if command.View.Epoch != now.Epoch()+1 {
		return &Result{Outcome: OutcomeStaleEpoch}
	}
	if err := checkView(&command.View); err != nil {
		return failed(OutcomeInvalid, err)
	}
	next := *now
	next.Placement = &command.View
	m.current.Store(&next)
	return &Result{Outcome: OutcomeTaken}
}

// keepMembers takes the schedulers that the current leader knows.
func (m *Machine) keepMembers(command *PutMembers) *Result {
	next := *m.Current()
	if command.Term != next.Term || next.Term == 0 {
		return &Result{Outcome: OutcomeStaleTerm}
	}
	next.Edges = command.Edges
	for i := range next.Edges {
		next.Edges[i].Ready = false
	}
	m.current.Store(&next)
	return &Result{Outcome: OutcomeTaken}
}

func sameView(one, other *wire.StoreView) bool {
	if one.Epoch != other.Epoch {
		return false
	}
	first, err := one.MarshalMsg(nil)
	if err != nil {
		return false
	}
	second, err := other.MarshalMsg(nil)
	return err == nil && bytes.Equal(first, second)
}

// checkView makes sure that a placement names only stores that it lists, each at most once for a partition.
func checkView(view *wire.StoreView) error {
	for i, placement := range view.Partitions {
		seen := make(map[uint16]bool, len(placement.Replicas)+len(placement.Joining))
		for _, list := range [][]uint16{placement.Replicas, placement.Joining} {
			for _, store := range list {
				if int(store) >= len(view.Stores) || seen[store] {
					reason := fmt.Sprintf("store %d is not listed, or named twice", store)
					return catalog.Findings{{Place: fmt.Sprintf("partitions[%d]", i), Reason: reason}}
				}
				seen[store] = true
			}
		}
		for _, store := range placement.Former {
			if int(store) >= len(view.Stores) {
				reason := fmt.Sprintf("former store %d is not listed", store)
				return catalog.Findings{{Place: fmt.Sprintf("partitions[%d]", i), Reason: reason}}
			}
		}
	}
	return nil
}

func failed(outcome Outcome, err error) *Result {
	result := &Result{Outcome: outcome}
	var findings catalog.Findings
	if !errors.As(err, &findings) {
		findings = catalog.Findings{{Place: "command", Reason: err.Error()}}
	}
	for _, finding := range findings {
		result.Findings = append(result.Findings, Finding(finding))
	}
	return result
}
