// Package deadline provides a queue for all deadlines of an event loop, which the loop sweeps.
package deadline
