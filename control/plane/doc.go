// Package plane assembles the control plane's part of a process: the replicated core, and the leader service that runs on the one that
// holds the leader lease. Control processes run it, and stores where too few control processes have a disk.
package plane
