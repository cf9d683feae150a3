package lab

import "fmt"

// Verdict says whether one thing held that an experiment expects.
type Verdict struct {
	Text  string
	Found float64
	Held  bool
	Aim   bool
}

// String says in a line what was expected, what was found, and whether it held.
func (v Verdict) String() string {
	verdict := "held"
	switch {
	case v.Held:
	case v.Aim:
		verdict = "MISSED (an aim)"
	default:
		verdict = "MISSED"
	}
	return fmt.Sprintf("%-16s %s: %.4g", verdict, v.Text, v.Found)
}

// Judge compares what is expected with what was seen. What an experiment expects of a run that was not played is missed.
func (x *Experiment) Judge(results []Result) (verdicts []Verdict) {
	for _, e := range x.Expect {
		any := false
		for i := range results {
			r := &results[i]
			if e.Variant != "" && e.Variant != r.Variant || e.Phase != "" && e.Phase != r.Phase {
				continue
			}
			found, given := r.Figures[e.Figure]
			what := fmt.Sprintf("%s, %s: %s", r.Variant, r.Phase, e.Figure)
			if e.Of != "" {
				base := find(results, e.Of, r.Phase)
				if base == nil || base.Figures[e.Figure] == 0 {
					continue
				}
				found /= base.Figures[e.Figure]
				what += " of that of " + e.Of
			}
			any = true
			v := Verdict{Text: fmt.Sprintf("%s at least %g", what, e.Least), Found: found, Held: found >= e.Least, Aim: e.Aim}
			if e.atMost {
				v.Text, v.Held = fmt.Sprintf("%s at most %g", what, e.Most), found <= e.Most
			}
			if v.Held = v.Held && given; !given {
				v.Text += " (not measured)"
			}
			verdicts = append(verdicts, v)
		}
		if !any {
			verdicts = append(verdicts, Verdict{Text: "nothing was played that shows " + e.Figure, Aim: e.Aim})
		}
	}
	return verdicts
}

func find(results []Result, variant, phase string) *Result {
	for i := range results {
		if results[i].Variant == variant && results[i].Phase == phase {
			return &results[i]
		}
	}
	return nil
}
