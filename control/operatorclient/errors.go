package operatorclient

import (
	"fmt"

	"ravendale/cluster/catalog"
)

// Kind classifies a failed call.
type Kind uint8

// The kinds of failure. Only with KindUndecided may the order have been applied.
const (
	KindInvalid     Kind = 1 + iota // the order itself is invalid: see Findings
	KindConflict                    // the order conflicts with the current state: see Version
	KindNotFound                    // the machine, message or configuration does not exist
	KindRefused                     // refused for another reason
	KindUnavailable                 // no process could accept the order: it was certainly not applied
	KindUndecided                   // no answer says whether the order was applied
)

// Error describes a failed call.
type Error struct {
	Kind     Kind
	Status   int    // HTTP status of the last attempt's answer; 0: it got none
	Reason   string // the error text in the last attempt's answer, or why that attempt got none
	Version  uint64 // with KindConflict: the current version, 0 if it is not known
	Findings catalog.Findings
	Attempts int
}

// Error implements error.
func (e *Error) Error() string {
	reason := e.Reason
	if e.Version != 0 {
		reason = fmt.Sprintf("%s, version %d", reason, e.Version)
	}
	if e.Status != 0 {
		return fmt.Sprintf("%s: %s (status %d, %d attempts)", e.Kind, reason, e.Status, e.Attempts)
	}
	return fmt.Sprintf("%s: %s (%d attempts)", e.Kind, reason, e.Attempts)
}

// String returns the text of the kind in error messages.
func (k Kind) String() string {
	switch k {
	case KindInvalid:
		return "invalid"
	case KindConflict:
		return "in conflict with what is in place"
	case KindNotFound:
		return "unknown"
	case KindRefused:
		return "refused"
	case KindUnavailable:
		return "unavailable, nothing was changed"
	}
	return "without a clear answer"
}
