package wire

import (
	"strconv"
	"strings"
)

// DropReason says why an edge reports a message as dropped. It is sent in Report.Signature, which earlier versions of
// the program leave empty in such a report and ignore when they receive it.
type DropReason string

// Reasons other than a removed route.
const (
	DropUnexplained  DropReason = ""    // from an earlier version of the program
	DropAbandonedPut DropReason = "put" // the edge has abandoned its put, or the message was accepted under another ID
)

const removedRoutePrefix = "config "

// DropRemovedRoute is the reason for dropping a message that has no route in a version of the configuration. The edge
// must have had the version confirmed as the newest after the message was accepted.
func DropRemovedRoute(configVersion uint64) DropReason {
	return DropReason(removedRoutePrefix + strconv.FormatUint(configVersion, 10))
}

// ConfigVersion returns the version of the configuration in which the message has no route, and false for any other
// reason.
func (r DropReason) ConfigVersion() (version uint64, ok bool) {
	text, found := strings.CutPrefix(string(r), removedRoutePrefix)
	if !found {
		return 0, false
	}
	version, err := strconv.ParseUint(text, 10, 64)
	return version, err == nil
}
