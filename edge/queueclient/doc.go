// Package queueclient is an edge's client of the queue (store/queue).
//
// It keeps a connection to each store of the placement, claims what is leased to the edge from each new primary, and routes puts, reports and lookups to
// the stores that can answer them. A put is made of attempts, one after the other, at one partition or several; what may have been
// accepted by another attempt than the one that counts is dropped. Reports are repeated until they are acknowledged.
package queueclient
