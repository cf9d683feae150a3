// Package http1 parses HTTP/1.1 messages incrementally, from pieces of any size, and writes them. It does no I/O.
package http1
