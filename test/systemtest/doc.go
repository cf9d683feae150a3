// Package systemtest contains only tests: scenarios on the system's real programs. Each runs a small cluster on the
// loopback network with stand-ins for its environment, injects faults, and checks the recorded history against the
// rules.
package systemtest
