// Package registry is the leader's table of membership leases: who holds one, which stores live, and what the topic of members says.
//
// It is pure: time and events go in, Changes come out; it starts nothing and reads no clock.
package registry
