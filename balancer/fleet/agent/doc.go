// Package agent runs a member of a fleet: it executes the actions of package fleet on network links and disk, and keeps the
// audit record of what the scheduler did. All of it runs on the scheduler's loop, except for disk writes, which have
// goroutines of their own.
package agent
