// Package http1 parses HTTP/1.1 messages incrementally, from pieces of any size, and writes them. It does no I/O.
//
// It parses strictly: what RFC 9110 and RFC 9112 forbid a sender in the first line, in fields, in the framing of the body,
// in chunks and in trailers is an error, also where they allow a recipient to be lenient. All programs read the answers of
// servers outside of the system by it, so that they agree on what an answer is.
package http1
