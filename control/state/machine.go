package state

import (
	"errors"
	"sync"
	"sync/atomic"

	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
)

// Snapshot is the state at one point in time. It is immutable.
type Snapshot struct {
	Document  []byte          // the configuration; nil if there is none yet
	Version   uint64          // of the configuration; 0 if there is none yet
	Sequence  uint64          // number of times the configuration has changed
	Placement *wire.StoreView // nil if there is none yet
	Term      uint64          // of the newest leader; 0 if there was none yet
	Leader    string          // the candidate that took Term
	Edges     []wire.Edge     // the schedulers that a leader saved last, none of them marked ready
}

// Epoch returns the epoch of the placement, 0 if there is none yet.
func (s *Snapshot) Epoch() uint64 {
	if s.Placement == nil {
		return 0
	}
	return s.Placement.Epoch
}

// Machine is the state machine. It is safe for concurrent use.
type Machine struct {
	mu        sync.Mutex // held by Apply, Snapshot and Restore
	current   atomic.Pointer[Snapshot]
	history   history
	parsed    *catalog.Config // the parsed current document; nil if there is none or it was not parsed since a Restore
	mutations mutations
}

// mutations are faults that tests inject, to verify that they are detected.
type mutations struct {
	digest         func(kind Kind, base uint64, body []byte) digest // replaces digestOf unless nil
	dropsHistory   bool                                             // Restore does not restore the history
	refusesDropped bool                                             // a change that the history may have dropped is refused
}

// NewMachine returns a machine in its initial state: without configuration, leader and placement.
func NewMachine() *Machine {
	m := &Machine{history: history{limit: historyLength}}
	m.current.Store(&Snapshot{})
	return m
}

// Current returns the newest state. It is safe for concurrent use.
func (m *Machine) Current() *Snapshot { return m.current.Load() }

// Apply executes an encoded Command and returns an encoded Result. A command that can't be decoded changes nothing.
func (m *Machine) Apply(encoded []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	result := m.execute(encoded)
	current := m.Current()
	result.Sequence = current.Sequence
	result.Term = current.Term
	result.Epoch = current.Epoch()
	if result.Version == 0 {
		result.Version = current.Version
	}
	encodedResult, err := result.MarshalMsg(make([]byte, 0, result.Msgsize()))
	if err != nil {
		return nil // unreachable: encoding a Result can't fail
	}
	return encodedResult
}

func (m *Machine) execute(encoded []byte) *Result {
	command, err := Decode(encoded)
	if err != nil {
		return errorResult(OutcomeMalformed, err)
	}
	switch command := command.(type) {
	case *Set:
		return m.applyChange(KindSet, command.Base, command.Body)
	case *Patch:
		return m.applyChange(KindPatch, command.Base, command.Body)
	case *Show:
		return &Result{Outcome: OutcomeApplied, Document: m.Current().Document}
	case *TakeTerm:
		return m.takeTerm(command.Candidate)
	case *PutPlacement:
		return m.putPlacement(command)
	case *Barrier:
		return &Result{Outcome: OutcomeApplied}
	case *PutMembers:
		return m.putMembers(command)
	}
	return errorResult(OutcomeMalformed, ErrUnknownCommand)
}

func errorResult(outcome Outcome, err error) *Result {
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
