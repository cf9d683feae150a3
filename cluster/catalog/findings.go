package catalog

import (
	"fmt"
	"strings"
)

// MaxFindings bounds how many findings are reported at a time.
const MaxFindings = 100

// Finding is one thing that is wrong with a configuration.
type Finding struct {
	Place  string `json:"place"` // path of the JSON value, or byte offset
	Reason string `json:"reason"`
}

// String gives the place and the reason.
func (f Finding) String() string { return f.Place + ": " + f.Reason }

// Findings are all things that were found wrong.
type Findings []Finding

// Error lists the findings.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return "invalid configuration: " + strings.Join(lines, "; ")
}

// collector gathers findings up to the bound, and counts the rest.
type collector struct {
	findings Findings
	more     int
}

func (c *collector) add(path, format string, arguments ...any) {
	if len(c.findings) >= MaxFindings {
		c.more++
		return
	}
	c.findings = append(c.findings, Finding{Place: path, Reason: fmt.Sprintf(format, arguments...)})
}

func (c *collector) result() error {
	if len(c.findings) == 0 {
		return nil
	}
	if c.more > 0 {
		return append(c.findings, Finding{Place: "document", Reason: fmt.Sprintf("%d more findings", c.more)})
	}
	return c.findings
}
