package core

import (
	"log/slog"
	"time"

	"ravendale/control/view"
)

// chainChange describes a change of view for the log.
type chainChange struct {
	epoch   uint64
	chain   []string // rpc addresses of the members
	voters  []string // rpc addresses of the voters
	joined  []string
	removed []string // rpc addresses, each with the probable reason for the removal
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
			c.removed = append(c.removed, member.Address+": "+n.absenceReason(now, member))
		}
	}
	return c
}

// absenceReason returns the probable reason why a member was left out of the chain or is unresponsive.
func (n *node) absenceReason(now time.Duration, member view.Member) string {
	p := n.peers.byAddress[member.Address]
	switch {
	case member.ID == n.self.ID:
		return "this process"
	case p != nil && p.refused:
		return "its process has ended"
	case p != nil && p.hasOtherDisk(member.ID):
		return "its disk was replaced"
	case p != nil && p.degraded():
		return "its disk failed or stalled"
	case n.isStopping(member.ID):
		return "it is stopping"
	case !n.isResponsive(now, member.ID):
		return "it does not respond"
	case p != nil && len(p.heartbeat.Unresponsive) > 0:
		return "it receives nothing from some members"
	}
	return "it is behind, or unresponsive to other members"
}

func (c *diskChange) log(log *slog.Logger) {
	if c.Fault == "" {
		log.Info("the core's disk accepts writes again: this process is no longer degraded")
		return
	}
	log.Error("the core's disk failed or stalled: this process is degraded", "error", c.Fault)
}

func (c *chainChange) log(log *slog.Logger) {
	log.Info("chain changed", "epoch", c.epoch, "chain", c.chain, "voters", c.voters, "joined", c.joined, "left", c.removed)
}
