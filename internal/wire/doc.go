// Package wire reads and writes the line protocol between a simulator and
// the dispatchers. It only translates: lines into events, and actions into
// lines. An error names the line that could not be parsed.
package wire
