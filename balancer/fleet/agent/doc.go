// Package agent is the shell of a fleet's member: it executes the actions of package fleet on links and disk, and keeps the
// record of what the scheduler acted on. All of it runs on one loop, the scheduler's; the disk has goroutines of its own.
package agent
