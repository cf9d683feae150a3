package catalog

import (
	"fmt"
	"strings"
)

// MaxFindings is the maximum number of findings in one error; the rest are only counted.
const MaxFindings = 100

// Finding is one error in a configuration.
type Finding struct {
	Place  string `json:"place"` // path of the JSON value, or byte offset of a syntax error
	Reason string `json:"reason"`
}

// String returns the place and the reason.
func (f Finding) String() string { return f.Place + ": " + f.Reason }

// Findings are the errors found in a configuration.
type Findings []Finding

// Error returns all findings in one line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return "invalid configuration: " + strings.Join(lines, "; ")
}

// collector collects up to MaxFindings findings and counts the rest.
type collector struct {
	findings Findings
	omitted  int
}

func (c *collector) add(path, format string, arguments ...any) {
	if len(c.findings) >= MaxFindings {
		c.omitted++
		return
	}
	c.findings = append(c.findings, Finding{Place: path, Reason: fmt.Sprintf(format, arguments...)})
}

func (c *collector) result() error {
	if len(c.findings) == 0 {
		return nil
	}
	if c.omitted > 0 {
		return append(c.findings, Finding{Place: "document", Reason: fmt.Sprintf("%d more findings", c.omitted)})
	}
	return c.findings
}
