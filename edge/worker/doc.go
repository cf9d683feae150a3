// Package worker delivers messages to workers over HTTP/1.1.
//
// A Client has a pool of connections for each worker, bounded by the edge's Share. A delivery takes one for itself (one request at a time),
// and ends with an Outcome that says what is known of the run. An answer counts only if connection, message and attempt agree with the
// delivery (docs/control-safety.md, 5a); what is not known to have failed to run may have run. The package decides nothing about retries.
package worker
