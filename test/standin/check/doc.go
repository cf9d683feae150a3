// Package check judges histories: pure functions that find where a rule was broken. Each names the rule, the message and the reason.
//
// Where a history leaves open what happened, as when an order of the operator got no clear answer, the checkers assume what keeps
// the rule.
package check
