// Package client stands in for the clients of the system: it hands in messages at a rate, reads their states and bodies back, and
// records what it was told. A balancer stands in for the platform's address.
package client
