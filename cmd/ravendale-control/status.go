package main

import (
	"context"
	"net"

	"ravendale/control/status"
	"ravendale/settings"
)

// leaderAdmin is where the leader serves the operator, empty if this process leads; false: none is known.
func (c *control) leaderAdmin() (host string, ok bool) {
	address, known := c.core.Leader()
	if !known {
		return "", false
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

// status is how this process sees the system.
func (c *control) status(ctx context.Context) status.Status {
	now := c.machine.Current()
	seen := status.Status{
		Node:      c.env.Settings.Node,
		Core:      status.CoreOf(c.core.Status(), now.Term),
		Config:    status.ConfigOf(now),
		Placement: status.PlacementOf(now.Placement),
	}
	if members, err := c.leader.Members(ctx); err == nil {
		seen.Members = members
	}
	return seen
}
