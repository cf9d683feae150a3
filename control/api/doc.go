// Package api is the operator's HTTP interface: the configuration is set, changed and shown, machines of the queue are retired, and
// the state of the system is told.
package api
