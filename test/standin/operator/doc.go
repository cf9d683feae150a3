// Package operator stands in for the operator: it orders configurations and reads them back, resends what got no clear answer as
// the protocol says, and records what was taken.
package operator
