// Package server runs a queue.Core as a process: it opens the disk (its identity and its journal), drives the core by the clock and by what comes over
// connections, and connects to the other stores of the placement.
//
// A data folder has the file identity, the folder journal and, after a journal was damaged, the folder damaged with what is left of it.
package server
