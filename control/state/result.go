package state

import "ravendale/cluster/catalog"

//go:generate go run github.com/tinylib/msgp -file result.go -o result_gen.go -tests=false

//msgp:tuple Result Finding

// Outcome says whether a command was applied, and if not, why.
type Outcome uint8

// The outcomes.
const (
	OutcomeApplied        Outcome = 1 + iota // the command was executed
	OutcomeDuplicate                         // the same configuration change or placement was applied before
	OutcomeRefusedVersion                    // the base of the change is not the current version of the configuration
	OutcomeInvalid                           // the configuration or placement is invalid: see Findings
	OutcomeStaleTerm                         // the term of the command is not the current one
	OutcomeStaleEpoch                        // the epoch of the placement does not follow the current one
	OutcomeMalformed                         // the command can't be decoded, or its kind is unknown: see Findings
	OutcomeUnsure                            // the change may have been applied too long ago to tell; it was not applied now
)

// String returns the outcome's text for logs and for answers to the operator.
func (o Outcome) String() string {
	switch o {
	case OutcomeApplied:
		return "applied"
	case OutcomeDuplicate:
		return "duplicate"
	case OutcomeRefusedVersion:
		return "another version is in place"
	case OutcomeInvalid:
		return "invalid"
	case OutcomeStaleTerm:
		return "stale term"
	case OutcomeStaleEpoch:
		return "not the next epoch"
	case OutcomeMalformed:
		return "malformed"
	case OutcomeUnsure:
		return "too old to tell whether it was applied"
	}
	return "unknown"
}

// Finding is one error in a command; see catalog.Finding.
type Finding struct {
	Place  string
	Reason string
}

// Result is the response to a command. Its numbers describe the state after the command.
type Result struct {
	Outcome  Outcome
	Version  uint64 // of the configuration; for a duplicate change, the version that the change resulted in
	Sequence uint64 // see Snapshot
	Term     uint64
	Epoch    uint64    // of the placement
	Findings []Finding // with OutcomeInvalid and OutcomeMalformed
	Document []byte    `msg:"Document,zerocopy"` // for a Show; empty if there is no configuration yet
}

// DecodeResult decodes a Result that Machine.Apply returned. Its Document aliases encoded. Errors: ErrTrailing, and
// those of msgp.
func DecodeResult(encoded []byte) (*Result, error) {
	result := &Result{}
	rest, err := result.UnmarshalMsg(encoded)
	if err != nil {
		return nil, err
	}
	if len(rest) > 0 {
		return nil, ErrTrailing
	}
	return result, nil
}

// Applied reports whether the command was applied, now or earlier.
func (r *Result) Applied() bool {
	return r.Outcome == OutcomeApplied || r.Outcome == OutcomeDuplicate
}

// CatalogFindings returns the findings in the catalog's type.
func (r *Result) CatalogFindings() catalog.Findings {
	findings := make(catalog.Findings, len(r.Findings))
	for i, finding := range r.Findings {
		findings[i] = catalog.Finding(finding)
	}
	return findings
}
