// Package slopes has no code: its benchmarks measure how what the control plane and an edge do for each renewal and each change of a list grows with
// the fleet (docs/CAPACITY.md).
package slopes
