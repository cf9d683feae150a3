// Package slopes contains only benchmarks. They measure how the work of the control plane and of an edge for each lease renewal
// and each change of a list grows with the size of the fleet (docs/CAPACITY.md).
package slopes
