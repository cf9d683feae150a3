// Package queueclient is an edge's client of the queue (store/queue).
//
// It keeps a connection to each store of the placement, claims the messages that are leased to the edge from each new
// primary, and routes puts, reports and lookups to the stores that can answer them. A put makes one attempt after
// another, at one partition or several. The first accepted attempt counts; messages that other attempts may have stored
// are reported as dropped. Reports are repeated until they are acknowledged.
package queueclient
