// Package http1 parses HTTP/1.1 messages from bytes as they come, in whatever pieces, and writes them.
// It does no I/O.
package http1
