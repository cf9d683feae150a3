package core

import (
	"log/slog"
	"time"

	"ravendale/control/view"
)

// chainChange is the step from one view to a later one, as it is logged.
type chainChange struct {
	epoch  uint64
	chain  []string // rpc addresses
	voters []string // the same
	joined []string
	left   []string // with why, as far as this node knows
}

func (n *node) chainChange(now time.Duration, next *view.View) chainChange {
	c := chainChange{epoch: next.Epoch}
	for _, id := range next.Chain {
		member, _ := next.Member(id)
		c.chain = append(c.chain, member.Address)
		if n.view.Position(id) < 0 {
			c.joined = append(c.joined, member.Address)
		}
	}
	for _, member := range next.Voters {
		c.voters = append(c.voters, member.Address)
	}
	for _, id := range n.view.Chain {
		if next.Position(id) < 0 {
			member, _ := n.view.Member(id)
			c.left = append(c.left, member.Address+": "+n.absence(now, member))
		}
	}
	return c
}

// absence says why a member may have been left out.
func (n *node) absence(now time.Duration, member view.Member) string {
	p := n.peers.byAddress[member.Address]
	switch {
	case member.ID == n.self.ID:
		return "this process"
	case p != nil && p.refused:
		return "its process has ended"
	case p != nil && p.replaces(member.ID):
		return "it has another disk"
	case p != nil && p.degraded():
		return "its disk fails or stalls"
	case n.isStopping(member.ID):
		return "it stops"
	case !n.hears(now, member.ID):
		return "it does not respond"
	case p != nil && len(p.heartbeat.Unresponsive) > 0:
		return "it does not hear others"
	}
	return "it is behind, or does not respond to others"
}

func (c *diskChange) log(log *slog.Logger) {
	if c.Fault == "" {
		log.Info("the core's disk takes writes again: this process takes part")
		return
	}
	log.Error("the core's disk fails: this process is degraded", "error", c.Fault)
}

func (c *chainChange) log(log *slog.Logger) {
	log.Info("chain changed", "epoch", c.epoch, "chain", c.chain, "voters", c.voters, "joined", c.joined, "left", c.left)
}
