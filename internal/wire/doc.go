// Package wire reads and writes the line protocol between a simulator and
// the dispatchers. It decides nothing: it turns lines into events and actions
// into lines, and says which line it could not read.
package wire
