// Package ingress is the edge's HTTP server for clients: it puts requests on deferred routes into the queue, and
// responds to lookups of a message's state or body.
//
// Status 202 promises that the message is on disk at all replicas, 503 that it was not accepted and will not be. If
// neither is certain, the server closes the connection without a response. Ambiguous requests, which two HTTP
// implementations may parse differently, are rejected (framing.go, RFC 9112 section 6.3).
package ingress
