// Package registry is the leader's table of membership leases: which schedulers and stores hold a lease, and hence
// which stores are live and which schedulers are published on the topic of members.
//
// It does no I/O, starts no goroutines and reads no clock: callers pass in events with their time, and get back the
// resulting Changes.
package registry
