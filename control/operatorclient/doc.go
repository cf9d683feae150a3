// Package operatorclient is a client for the operators' HTTP interfaces: that of the control plane for configurations,
// stores and status, and that of the edges for single messages.
//
// An order is sent to one address after another until an answer says whether it was carried out. Retries are identical
// byte for byte, so that an order which was applied before its answer was lost is acknowledged again.
package operatorclient
