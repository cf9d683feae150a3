// Package cluster runs the system's programs as processes on loopback: each simulated machine has an address of its own, settings
// files and data folders, and can be killed, frozen, stopped, wiped and started again.
package cluster
