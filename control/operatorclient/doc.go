// Package operatorclient calls the system as an operator does: the control plane's interface for configurations, stores and status,
// and the edges' for single messages.
//
// An order is sent to one address after another until an answer is clear. Retries are the same to the byte, so that an order which
// was applied before its answer got lost is acknowledged again.
package operatorclient
