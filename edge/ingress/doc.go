// Package ingress takes clients' requests: it has those on deferred routes kept by the queue, and answers what became of them.
package ingress
