// Package check finds violations of the system's rules in a recorded history. Its functions are pure. Each finding
// names the rule, the message and the reason.
//
// Where a history leaves open what happened, for example after an operator's order without a clear answer, the checkers
// assume the case in which the rule holds.
package check
