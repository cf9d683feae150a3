package main

import (
	"net"

	"ravendale/cluster/settings"
)

// leaderAdmin is where the leader serves the operator, empty if this process leads or speaks for it; false: none is known.
func (c *control) leaderAdmin() (host string, ok bool) {
	address, known := c.plane.Core.Leader()
	if !known {
		return "", false
	}
	if c.plane.Core.LeaderIsStore() {
		return "", true // no operator can call it: this process passes on what is asked
	}
	return adminOf(c.env.Settings, address)
}

// adminOf is the admin address of the control process that listens for rpc at an address, empty if it is this one. Ports are alike
// on all machines.
func adminOf(s *settings.Settings, rpcAddress string) (host string, ok bool) {
	if rpcAddress == s.ControlAddress(s.IP) {
		return "", true
	}
	ip, _, err := net.SplitHostPort(rpcAddress)
	if err != nil {
		return "", false
	}
	_, port, err := net.SplitHostPort(s.ListenAdmin)
	if err != nil {
		return "", false
	}
	return net.JoinHostPort(ip, port), true
}
