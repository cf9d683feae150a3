package state

import (
	"errors"
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

// Machine is the state machine. It is safe for concurrent use.
type Machine struct {
	mu        sync.Mutex // held by Apply, Snapshot and Restore
	current   atomic.Pointer[Snapshot]
	history   history
	parsed    *catalog.Config // of the current document, as read last; nil: it was not read since a Restore
	mutations mutations
}

// mutations are mistakes that tests make on purpose, to see that they are caught.
type mutations struct {
	digest       func(kind Kind, base uint64, body []byte) digest // by which orders are known again; nil: digestOf
	dropsHistory bool                                             // a snapshot is restored without the orders that were applied
	refusesOld   bool                                             // an order older than the history is refused
}

// NewMachine returns a machine in its initial state: without configuration, leader and placement.
func NewMachine() *Machine {
	m := &Machine{history: history{limit: historyLength}}
	m.current.Store(&Snapshot{})
	return m
}

// Current returns the newest state. It is safe for concurrent use.
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
	encodedResult, err := result.MarshalMsg(make([]byte, 0, result.Msgsize()))
	if err != nil {
		return nil // can't be: a Result has nothing that could fail
	}
	return encodedResult
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
	return failed(OutcomeMalformed, ErrUnknownCommand)
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
