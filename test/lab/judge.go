package lab

import "fmt"

// Verdict is the result of checking one expectation of an experiment.
type Verdict struct {
	Text  string
	Found float64
	Held  bool
	Aim   bool
}

// String returns one line with the outcome, the expectation and the value found.
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

// Judge checks the experiment's expectations against the results. An expectation without a result counts as missed.
func (x *Experiment) Judge(results []Result) (verdicts []Verdict) {
	for _, e := range x.Expect {
		matched := false
		for i := range results {
			r := &results[i]
			if e.Variant != "" && e.Variant != r.Variant || e.Phase != "" && e.Phase != r.Phase {
				continue
			}
			found, measured := r.Figures[e.Figure]
			what := fmt.Sprintf("%s, %s: %s", r.Variant, r.Phase, e.Figure)
			if e.Of != "" {
				base := findResult(results, e.Of, r.Phase)
				if base == nil || base.Figures[e.Figure] == 0 {
					continue
				}
				found /= base.Figures[e.Figure]
				what += " of that of " + e.Of
			}
			matched = true
			v := Verdict{Text: fmt.Sprintf("%s at least %g", what, e.Least), Found: found, Held: found >= e.Least, Aim: e.Aim}
			if e.atMost {
				v.Text, v.Held = fmt.Sprintf("%s at most %g", what, e.Most), found <= e.Most
			}
			if v.Held = v.Held && measured; !measured {
				v.Text += " (not measured)"
			}
			verdicts = append(verdicts, v)
		}
		if !matched {
			verdicts = append(verdicts, Verdict{Text: "nothing was played that shows " + e.Figure, Aim: e.Aim})
		}
	}
	return verdicts
}

func findResult(results []Result, variant, phase string) *Result {
	for i := range results {
		if results[i].Variant == variant && results[i].Phase == phase {
			return &results[i]
		}
	}
	return nil
}
