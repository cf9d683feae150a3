package fleet

import (
	"maps"
	"slices"
	"time"

	"ravendale/balancer/audit"
)

// disk is what this member keeps there, and what waits for it to be kept.
type disk struct {
	state   State
	serial  int    // of the last Store
	durable int    // the last that is on disk
	vote    ID     // state.Accepted as it is on disk: what peers are sent,
	against uint64 // and state.Against

	incarnationSerial  int  // the serial that the incarnation waits for,
	incarnationDurable bool // and whether it is on disk
	voteSerial         int  // the serial that Accepted and Against wait for
	adoptSerial        int  // the serial that Adopted waits for

	failed  bool          // the disk takes nothing, and this member does not vote
	retryAt time.Duration // and tries again
}

// State is what a member keeps on disk: it is to be written, whole, before what follows from it is done.
type State struct {
	Incarnation uint64                `json:"incarnation"`
	Accepted    ID                    `json:"accepted"`
	Adopted     ID                    `json:"adopted"`
	Promised    uint64                `json:"promised,omitempty"` // it does not vote for this number or a lower one,
	Against     uint64                `json:"against,omitempty"`  // nor for this one, and did not
	Amnesiac    bool                  `json:"amnesiac,omitempty"` // it may have forgotten a vote, and casts none
	Floor       uint64                `json:"floor,omitempty"`    // that peers told of when it was one: it may have voted for it
	Peers       map[string]PeerMemory `json:"peers,omitempty"`
	Contents    [][]byte              `json:"contents,omitempty"` // of Accepted and Adopted
}

// PeerMemory is what a member remembers of a peer: a process that comes back with an older disk is notified.
type PeerMemory struct {
	Inc  uint64 `json:"inc"`
	Vote uint64 `json:"vote,omitempty"`
}

// store has the state written.
func (c *Core) store() {
	c.disk.serial++
	s := c.disk.state
	s.Peers = maps.Clone(s.Peers)
	s.Contents = nil
	for _, id := range []ID{s.Accepted, s.Adopted} {
		if e := c.contents.epochs[id]; e != nil && !slices.ContainsFunc(s.Contents, func(b []byte) bool { return string(b) == string(e.Content) }) {
			s.Contents = append(s.Contents, e.Content)
		}
	}
	c.actions = append(c.actions, Action{Kind: Store, State: s, Serial: c.disk.serial})
}

// stored goes on with what waited for the disk. A disk that fails takes the member's vote, for what it said would be forgotten;
// it does not take its service.
func (c *Core) stored(serial int, err error) {
	c.disk.incarnationDurable = c.disk.incarnationDurable || serial >= c.disk.incarnationSerial
	if failed := err != nil; failed != c.disk.failed {
		c.disk.failed = failed
		why := ""
		if failed {
			why, c.disk.retryAt = err.Error(), c.now+c.cfg.Trust
		}
		c.record(audit.Entry{Kind: audit.Member, Peer: c.cfg.Me, State: map[bool]string{true: "disk fails", false: "disk works"}[failed], Why: why})
	}
	if err == nil {
		c.disk.durable = max(c.disk.durable, serial)
		if serial >= c.disk.voteSerial && !c.disk.state.Amnesiac {
			if c.disk.vote != c.disk.state.Accepted {
				c.disk.vote = c.disk.state.Accepted
				c.recordVote(c.cfg.Me, c.disk.vote)
				c.pingSoon()
			}
			if c.disk.against != c.disk.state.Against {
				c.disk.against = c.disk.state.Against
				c.recordResponse(c.cfg.Me, c.disk.against)
			}
		}
	}
	if c.policy.applied != c.disk.state.Adopted && (err != nil || serial >= c.disk.adoptSerial) {
		if e := c.contents.epochs[c.disk.state.Adopted]; e != nil {
			c.apply(e, c.holder(e.ID))
		}
	}
}

// remember keeps on disk what a peer must not forget of itself.
func (c *Core) remember(p *Peer) {
	m := PeerMemory{Inc: p.Inc, Vote: max(c.disk.state.Peers[p.Name].Vote, p.Accepted.Number)}
	if c.disk.state.Peers[p.Name] != m {
		c.disk.state.Peers[p.Name] = m
		c.store()
		p.rememberedBy = c.disk.serial
	}
}
