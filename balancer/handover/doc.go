// Package handover connects the running process of a scheduler with the new process that replaces it in an upgrade. It
// sends messages between them as JSON lines on a Unix socket, some with a client's connection, and makes no decisions.
// The processes may run different versions of the program, so the JSON names of messages must not change; golden files
// check that.
package handover
