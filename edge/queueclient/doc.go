// Package queueclient is an edge's side of the queue: it keeps a connection to each store of the placement, tells the stores what
// the edge holds, and routes puts, reports and questions to those that can answer them.
package queueclient
