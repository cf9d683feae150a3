package main

import (
	"net"

	"ravendale/cluster/settings"
)

// leaderAdminAddress returns the admin address of the leader. It is empty if this process leads or forwards requests to the leader;
// ok is false if no leader is known.
func (c *controlProcess) leaderAdminAddress() (adminAddress string, ok bool) {
	rpcAddress, known := c.plane.Core.Leader()
	if !known {
		return "", false
	}
	if c.plane.Core.LeaderIsStore() {
		return "", true // a store has no admin address: this process forwards the request
	}
	return adminAddressOf(c.env.Settings, rpcAddress)
}

// adminAddressOf returns the admin address of the control process with the given RPC address; it is empty for this process, and ok is
// false if an address is malformed. All machines use the same ports.
func adminAddressOf(s *settings.Settings, rpcAddress string) (adminAddress string, ok bool) {
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
