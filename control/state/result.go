package state

import "ravendale/cluster/catalog"

//go:generate go run github.com/tinylib/msgp -file result.go -o result_gen.go -tests=false

//msgp:tuple Result Finding

// Outcome is what a command came to.
type Outcome uint8

// The outcomes.
const (
	OutcomeApplied        Outcome = 1 + iota // done; of a Barrier and a Show: answered
	OutcomeDuplicate                         // this very order was applied before
	OutcomeRefusedVersion                    // another version of the configuration is in place
	OutcomeInvalid                           // see Findings
	OutcomeStaleTerm                         // there is a newer leader
	OutcomeStaleEpoch                        // the placement is not that of the next epoch
	OutcomeMalformed                         // not a command that this machine knows
	OutcomeUnsure                            // too old an order to tell whether it was applied: it changes nothing now
)

// String returns the outcome's text in logs and in the operator's answers.
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

// Finding is one error in a configuration; see catalog.Finding.
type Finding struct {
	Place  string
	Reason string
}

// Result answers a command. All numbers are those after it was applied.
type Result struct {
	Outcome  Outcome
	Version  uint64 // of the configuration; of a duplicate, the one that the order made
	Sequence uint64 // of the configuration
	Term     uint64
	Epoch    uint64    // of the placement
	Findings []Finding // of OutcomeInvalid and OutcomeMalformed
	Document []byte    `msg:"Document,zerocopy"` // of a Show; empty if there is no configuration yet
}

// DecodeResult returns the Result that Machine.Apply has encoded. Errors: ErrTrailing, and those of msgp. The document is a part of encoded.
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

// Applied reports whether the order is in force, or was.
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
