package explore

import (
	"crypto/sha256"
	"time"
)

// Action is one thing that may happen in a state.
type Action struct {
	Name  string // unique among the actions enabled in a state
	Fault bool   // it counts against Scope.Faults
}

// System is a model in one state. Its behaviour must depend on nothing but the actions taken: no clock, map order or chance.
type System interface {
	// Enabled lists what may happen now, in an order that depends on the state only.
	Enabled() []Action
	// Do takes an action that is enabled.
	Do(name string)
	// State is the canonical form of the state: systems with equal forms behave alike. What is symmetric should have one form.
	State() []byte
	// Check returns what is wrong with the state, nil if nothing is.
	Check() error
	// Clone returns an independent copy. Replayed makes one for systems that can't be copied.
	Clone() System
}

// Scope bounds a search. A bound of zero is no bound, but for Faults: then none is taken.
type Scope struct {
	Depth  int // actions from the start
	States int // distinct states
	Faults int // actions with Fault on any path
}

// Result is what a search found, and what it did not look at.
type Result struct {
	States      int // distinct states that were checked
	Transitions int
	Depth       int // of the deepest state that was checked
	Elapsed     time.Duration
	Cut         Cut
	Violation   *Violation // nil: none
}

// Cut counts what the bounds kept the search from.
type Cut struct {
	ByDepth  int // states whose actions were not taken as they lie at the greatest depth
	ByStates int // states whose actions were not taken as there were too many
	ByFaults int // faults that were possible but not taken
}

// Whole says whether all states were reached that no further fault leads to.
func (c Cut) Whole() bool { return c.ByDepth == 0 && c.ByStates == 0 }

// Violation is a state that breaks an invariant, with a shortest trace that leads to it.
type Violation struct {
	Trace []string
	Err   error
}

// Run searches all states within a scope, until one breaks an invariant.
func Run(start System, scope Scope) Result {
	began := time.Now()
	s := &search{scope: scope, seen: make(map[key]struct{})}
	s.add(start, 0, -1, "")
	for s.result.Violation == nil && len(s.layer) > 0 {
		s.next()
	}
	s.result.Elapsed = time.Since(began)
	return s.result
}

// key is the hash of a state with the faults that were taken.
type key [sha256.Size]byte

// visit is a state that was reached, by an action from an earlier one.
type visit struct {
	parent int32
	action string
}

// open is a state whose actions are still to be taken.
type open struct {
	system System
	visit  int32
	faults int
}

type search struct {
	scope  Scope
	seen   map[key]struct{}
	visits []visit
	layer  []open
	depth  int
	result Result
}

// next takes all actions of all states of a layer.
func (s *search) next() {
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
		if s.expand(from); s.result.Violation != nil {
			return
		}
	}
}

func (s *search) expand(from open) {
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
		if s.add(system, faults, from.visit, action.Name); s.result.Violation != nil {
			return
		}
	}
}

// add notes a state, if it is new.
func (s *search) add(system System, faults int, parent int32, action string) {
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
	s.layer = append(s.layer, open{system, self, faults})
}

func hashOf(state []byte, faults int) key {
	return sha256.Sum256(append(state, byte(faults)))
}

// trace lists the actions that lead to a state.
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
