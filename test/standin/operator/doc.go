// Package operator stands in for the operator: it changes and reads the configuration, repeats calls without a clear
// answer as the protocol prescribes, and records the outcome.
package operator
