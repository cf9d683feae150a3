// Package workers stands in for the workers of many services, all in one process with a listener each. They keep to the protocol,
// and have the faults that they are given. All that they are handed and run is recorded.
package workers
