package explore

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// String returns the violation as Go source: a test can pass the trace to Replay.
func (v *Violation) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "// %d actions lead to: %v\ntrace := []string{\n", len(v.Trace), v.Err)
	for _, name := range v.Trace {
		fmt.Fprintf(&text, "\t%q,\n", name)
	}
	text.WriteString("}\n")
	return text.String()
}

// String returns the numbers of states and transitions, the depth, the elapsed time and what was skipped in one line,
// followed by the violation, if there is one.
func (r Result) String() string {
	text := fmt.Sprintf("%d states, %d transitions, depth %d, %v", r.States, r.Transitions, r.Depth, r.Elapsed.Round(time.Millisecond))
	text += fmt.Sprintf("; cut off: %d states by depth, %d by the number of states, %d faults beyond the bound",
		r.Cut.ByDepth, r.Cut.ByStates, r.Cut.ByFaults)
	if r.Violation != nil {
		text += "\n" + r.Violation.String()
	}
	return text
}

// Replay takes the actions of a trace in order, and returns the first violation. If an action is not enabled, it
// returns an error that says so.
func Replay(system System, trace []string) error {
	if err := system.Check(); err != nil {
		return fmt.Errorf("initial state: %w", err)
	}
	for step, name := range trace {
		enabled := system.Enabled()
		if !slices.ContainsFunc(enabled, func(action Action) bool { return action.Name == name }) {
			return fmt.Errorf("step %d: action %q is not enabled, only %q are", step+1, name, actionNames(enabled))
		}
		system.Do(name)
		if err := system.Check(); err != nil {
			return fmt.Errorf("step %d, %q: %w", step+1, name, err)
		}
	}
	return nil
}

func actionNames(actions []Action) []string {
	var list []string
	for _, action := range actions {
		list = append(list, action.Name)
	}
	return list
}

// Model is a System without Clone.
type Model interface {
	Enabled() []Action
	Do(name string)
	State() []byte
	Check() error
}

// Replayed makes a System from a model that can't be copied: Clone makes a new model and repeats all actions.
func Replayed(fresh func() Model) System { return &replayed{Model: fresh(), fresh: fresh} }

type replayed struct {
	Model
	fresh func() Model
	done  []string
}

// Do implements System.
func (r *replayed) Do(name string) {
	r.done = append(r.done, name)
	r.Model.Do(name)
}

// Clone implements System.
func (r *replayed) Clone() System {
	copied := &replayed{Model: r.fresh(), fresh: r.fresh}
	for _, name := range r.done {
		copied.Do(name)
	}
	return copied
}
