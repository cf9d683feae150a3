// Package systemtest plays scenarios on the system's real programs: a small cluster on loopback, the stand-ins round it, faults in
// between, and the checkers over all that was seen. The scenarios are its tests.
package systemtest
