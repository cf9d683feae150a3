package operatorclient

import (
	"fmt"

	"ravendale/cluster/catalog"
)

// Kind says what a failed call means.
type Kind uint8

// The kinds of failure. Only after KindUndecided may an order be in force.
const (
	KindInvalid     Kind = 1 + iota // the order is wrong by itself: see Findings
	KindConflict                    // it does not fit what is in place: see Version
	KindUnknown                     // there is no such thing
	KindRefused                     // refused for another reason
	KindUnavailable                 // nobody could take it, and it surely is not taken
	KindUndecided                   // there was no clear answer
)

// Error is a call that failed.
type Error struct {
	Kind     Kind
	Status   int    // of the last answer; 0: there was none
	Reason   string // as the last answer has it, or the failure of the last attempt
	Version  uint64 // of KindConflict: the version that is in place, 0 if it is not known
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

// String names the kind.
func (k Kind) String() string {
	switch k {
	case KindInvalid:
		return "invalid"
	case KindConflict:
		return "in conflict with what is in place"
	case KindUnknown:
		return "unknown"
	case KindRefused:
		return "refused"
	case KindUnavailable:
		return "unavailable, nothing was changed"
	}
	return "without a clear answer"
}
