// Package client stands in for the clients of the system: it submits messages at a given rate, reads their states and
// bodies back, and records the answers. Its Balancer stands in for the platform's load balancer.
package client
