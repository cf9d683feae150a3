// Package plane assembles the control plane's part of a process: the replicated core, and the leader service, which is
// active in the process that holds the leader lease. It runs in control processes, and in stores if too few control
// processes have a disk.
package plane
