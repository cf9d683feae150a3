// Package cluster runs the system's programs as processes on the loopback network. Each simulated machine has its own
// address, settings files and data folders. Processes can be killed, frozen, stopped, wiped and restarted.
package cluster
