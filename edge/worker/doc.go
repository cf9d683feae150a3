// Package worker delivers messages to workers over HTTP/1.1.
//
// A Client has a pool of connections for each worker, limited by the edge's Share. A delivery uses a connection
// exclusively (one request at a time) and ends with an Outcome, which states what is known about the run. A response
// counts only if its connection, message and attempt match the delivery (docs/control-safety.md, 5a). A message may
// have run unless it is known not to have run. The package does not decide about retries.
package worker
