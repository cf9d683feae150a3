// Package workers stands in for the workers of many services, all in one process with one listener each. They follow
// the protocol, except for injected faults. All requests and runs are recorded.
package workers
