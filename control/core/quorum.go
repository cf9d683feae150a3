package core

import (
	"log/slog"
	"time"

	"ravendale/control/view"
)

// quorumReportDelay is how long too few voters are heard before that is reported: shorter gaps are ordinary failovers.
const quorumReportDelay = time.Second

// quorumChange reports that too few voters are heard for another view to be decided, or that there are enough again.
type quorumChange struct {
	Unavailable  bool
	Voters       int
	Heard        []string // rpc addresses of voters
	Unresponsive []string // the same, with the reason as far as this node knows
}

// quorumWatch notices that no quorum of the voters is available.
type quorumWatch struct {
	unavailableSince time.Duration // negative: it is there
	reported         bool
}

// watchQuorum reports when a majority of the voters is not heard for a while, and when it is heard again.
func (n *node) watchQuorum(now time.Duration) {
	if n.view.Epoch == 0 || n.majorityHeard(now) {
		if n.quorum.reported {
			n.output.QuorumChanges = append(n.output.QuorumChanges, n.quorumChange(now, false))
		}
		n.quorum = quorumWatch{unavailableSince: -1}
		return
	}
	if n.quorum.unavailableSince < 0 {
		n.quorum.unavailableSince = now
	}
	if !n.quorum.reported && now-n.quorum.unavailableSince >= quorumReportDelay {
		n.quorum.reported = true
		n.output.QuorumChanges = append(n.output.QuorumChanges, n.quorumChange(now, true))
	}
}

func (n *node) quorumChange(now time.Duration, unavailable bool) quorumChange {
	change := quorumChange{Unavailable: unavailable, Voters: len(n.view.Voters)}
	for _, member := range n.view.Voters {
		if n.hearsVoter(now, member.ID) {
			change.Heard = append(change.Heard, member.Address)
			continue
		}
		change.Unresponsive = append(change.Unresponsive, member.Address+": "+n.absence(now, member))
	}
	return change
}

// hearsVoter says whether a voter has been heard in this incarnation and still is.
func (n *node) hearsVoter(now time.Duration, id view.ID) bool {
	return id == n.self.ID || n.peers.byID(id) != nil && n.hears(now, id)
}

func (c *quorumChange) log(log *slog.Logger) {
	if c.Unavailable {
		log.Error("no majority of the core's voters is heard: nothing is decided", "voters", c.Voters, "heard", c.Heard, "unresponsive", c.Unresponsive)
		return
	}
	log.Info("a majority of the core's voters is heard again", "voters", c.Voters, "heard", c.Heard, "unresponsive", c.Unresponsive)
}
