package explore

import (
	"crypto/sha256"
	"time"
)

// Action is an event that is possible in a state.
type Action struct {
	Name  string // unique among the actions enabled in a state
	Fault bool   // it counts towards Scope.Faults
}

// System is a model in one state. Its behaviour must depend on nothing but the actions taken: neither on a clock nor
// on map order or chance.
type System interface {
	// Enabled returns the possible actions, in an order that depends only on the state.
	Enabled() []Action
	// Do takes an enabled action.
	Do(name string)
	// State returns the canonical form of the state: systems with equal forms behave identically. Symmetric states
	// should have the same form.
	State() []byte
	// Check returns an error if the state violates an invariant.
	Check() error
	// Clone returns an independent copy. Use Replayed for systems that can't be copied.
	Clone() System
}

// Scope bounds a search. A zero Depth or States is no bound; with zero Faults, no action with Fault is taken.
type Scope struct {
	Depth  int // maximum number of actions from the start
	States int // number of distinct states after which no further actions are taken
	Faults int // maximum number of actions with Fault on any path
}

// Result is what a search has found, and what it has skipped.
type Result struct {
	States      int // number of distinct states that were checked
	Transitions int
	Depth       int // depth of the deepest state that was checked
	Elapsed     time.Duration
	Cut         Cut
	Violation   *Violation // nil if no invariant was violated
}

// Cut counts what the search has skipped because of its bounds.
type Cut struct {
	ByDepth  int // states whose actions were not taken because they are at the maximum depth
	ByStates int // states whose actions were not taken because Scope.States was reached
	ByFaults int // possible faults that were not taken
}

// Exhaustive reports whether the search has reached all states that are reachable without exceeding Scope.Faults.
func (c Cut) Exhaustive() bool { return c.ByDepth == 0 && c.ByStates == 0 }

// Violation is a state that violates an invariant, with a shortest trace that leads to it.
type Violation struct {
	Trace []string
	Err   error
}

// Run searches all states within a scope, until one violates an invariant.
func Run(start System, scope Scope) Result {
	began := time.Now()
	s := &search{scope: scope, seen: make(map[stateKey]struct{})}
	s.addState(start, 0, -1, "")
	for s.result.Violation == nil && len(s.layer) > 0 {
		s.expandLayer()
	}
	s.result.Elapsed = time.Since(began)
	return s.result
}

// stateKey is the hash of a state and of the number of faults taken.
type stateKey [sha256.Size]byte

// visit is the predecessor of a reached state, and the action that led from it.
type visit struct {
	parent int32
	action string
}

// openState is a state whose actions are still to be taken.
type openState struct {
	system System
	visit  int32
	faults int
}

type search struct {
	scope  Scope
	seen   map[stateKey]struct{}
	visits []visit
	layer  []openState
	depth  int
	result Result
}

// expandLayer takes all actions of all states of the current layer.
func (s *search) expandLayer() {
	layer := s.layer
	s.layer = nil
	if s.scope.Depth > 0 && s.depth >= s.scope.Depth {
		s.result.Cut.ByDepth += len(layer)
		return
	}
	s.depth++
	for at, from := range layer {
		if s.scope.States > 0 && s.result.States >= s.scope.States {
			s.result.Cut.ByStates += len(layer) - at
			return
		}
		layer[at].system = nil
		if s.expandState(from); s.result.Violation != nil {
			return
		}
	}
}

func (s *search) expandState(from openState) {
	actions := from.system.Enabled()
	for i, action := range actions {
		faults := from.faults
		if action.Fault {
			faults++
		}
		if faults > s.scope.Faults {
			s.result.Cut.ByFaults++
			continue
		}
		system := from.system
		if i < len(actions)-1 {
			system = system.Clone()
		}
		system.Do(action.Name)
		s.result.Transitions++
		if s.addState(system, faults, from.visit, action.Name); s.result.Violation != nil {
			return
		}
	}
}

// addState checks a state and adds it to the next layer, unless it was reached before.
func (s *search) addState(system System, faults int, parent int32, action string) {
	hash := hashOf(system.State(), faults)
	if _, known := s.seen[hash]; known {
		return
	}
	s.seen[hash] = struct{}{}
	s.visits = append(s.visits, visit{parent, action})
	self := int32(len(s.visits) - 1)
	s.result.States++
	s.result.Depth = s.depth
	if err := system.Check(); err != nil {
		s.result.Violation = &Violation{Trace: s.trace(self), Err: err}
		return
	}
	s.layer = append(s.layer, openState{system, self, faults})
}

func hashOf(state []byte, faults int) stateKey {
	return sha256.Sum256(append(state, byte(faults)))
}

// trace returns the actions that lead from the start to a state.
func (s *search) trace(to int32) []string {
	var trace []string
	for at := to; s.visits[at].parent >= 0; at = s.visits[at].parent {
		trace = append(trace, s.visits[at].action)
	}
	for i, j := 0, len(trace)-1; i < j; i, j = i+1, j-1 {
		trace[i], trace[j] = trace[j], trace[i]
	}
	return trace
}
