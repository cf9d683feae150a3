// Package ingress is the edge's HTTP server for clients: it puts requests on deferred routes into the queue, and answers lookups of a message's
// state or body.
//
// 202 promises that the message is on disk at all replicas; 503 that it is not and never will be; where neither is known the connection is
// closed without an answer. Requests that two readers may understand differently are rejected (framing.go, RFC 9112 section 6.3).
package ingress
