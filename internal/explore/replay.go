package explore

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// String is the violation as Go text: a test hands the trace to Replay.
func (v *Violation) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "// %d actions lead to: %v\ntrace := []string{\n", len(v.Trace), v.Err)
	for _, name := range v.Trace {
		fmt.Fprintf(&text, "\t%q,\n", name)
	}
	text.WriteString("}\n")
	return text.String()
}

// String tells states, depth, time and what was cut off, in one line; and the violation, if there is one.
func (r Result) String() string {
	text := fmt.Sprintf("%d states, %d transitions, depth %d, %v", r.States, r.Transitions, r.Depth, r.Elapsed.Round(time.Millisecond))
	text += fmt.Sprintf("; cut off: %d states by depth, %d by their number, %d faults beyond the bound",
		r.Cut.ByDepth, r.Cut.ByStates, r.Cut.ByFaults)
	if r.Violation != nil {
		text += "\n" + r.Violation.String()
	}
	return text
}

// Replay takes the actions of a trace in turn, and returns the first violation. An action that is not possible is an error of its own.
func Replay(system System, trace []string) error {
	if err := system.Check(); err != nil {
		return fmt.Errorf("at the start: %w", err)
	}
	for step, name := range trace {
		enabled := system.Enabled()
		if !slices.ContainsFunc(enabled, func(action Action) bool { return action.Name == name }) {
			return fmt.Errorf("step %d: %q is not possible, only %q", step+1, name, names(enabled))
		}
		system.Do(name)
		if err := system.Check(); err != nil {
			return fmt.Errorf("step %d, %q: %w", step+1, name, err)
		}
	}
	return nil
}

func names(actions []Action) []string {
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

// Replayed makes a System of a model that can't be copied: each copy takes all actions anew, from a fresh model.
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
