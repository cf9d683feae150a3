package core

import (
	"log/slog"
	"time"

	"ravendale/control/view"
)

// quorumReportDelay is how long too few voters must be responsive before that is reported: shorter gaps are ordinary
// failovers.
const quorumReportDelay = time.Second

// quorumChange reports that too few voters are responsive to decide another view, or that there are enough again.
type quorumChange struct {
	Unavailable  bool
	Voters       int
	Responsive   []string // rpc addresses of voters
	Unresponsive []string // rpc addresses of the other voters, each with the probable reason
}

// quorumWatch detects that no majority of the voters is responsive.
type quorumWatch struct {
	unavailableSince time.Duration // negative if a majority is responsive
	reported         bool
}

// watchQuorum reports when no majority of the voters was responsive for quorumReportDelay, and when there is one again.
func (n *node) watchQuorum(now time.Duration) {
	if n.view.Epoch == 0 || n.isMajorityResponsive(now) {
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
		if n.isVoterResponsive(now, member.ID) {
			change.Responsive = append(change.Responsive, member.Address)
			continue
		}
		change.Unresponsive = append(change.Unresponsive, member.Address+": "+n.absenceReason(now, member))
	}
	return change
}

// isVoterResponsive reports whether a heartbeat of a voter was received in this incarnation and the voter is still
// responsive.
func (n *node) isVoterResponsive(now time.Duration, id view.ID) bool {
	return id == n.self.ID || n.peers.byID(id) != nil && n.isResponsive(now, id)
}

func (c *quorumChange) log(log *slog.Logger) {
	if c.Unavailable {
		log.Error("no majority of the core's voters responds: no new view can be decided", "voters", c.Voters, "heard", c.Responsive, "unresponsive", c.Unresponsive)
		return
	}
	log.Info("a majority of the core's voters responds again", "voters", c.Voters, "heard", c.Responsive, "unresponsive", c.Unresponsive)
}
