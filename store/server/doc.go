// Package server runs a queue.Core: it opens the disk (identity and journal), passes timer events and messages from
// connections to the core, and connects to the other stores of the placement.
//
// A data folder contains the file identity, the folder journal and, after a journal was damaged, the folder damaged
// with the quarantined rest of it.
package server
