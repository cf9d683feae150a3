package fleet

import (
	"maps"
	"slices"
	"time"

	"ravendale/balancer/audit"
)

// disk is this member's persistent state, and what waits until it is on disk.
type disk struct {
	state   State
	serial  int    // serial of the last Store
	durable int    // the last serial that is on disk
	vote    ID     // state.Accepted as it is on disk, which is what peers are sent
	against uint64 // state.Against as it is on disk

	incarnationSerial  int  // the serial of the Store that contains the incarnation
	incarnationDurable bool // the incarnation is on disk
	voteSerial         int  // the serial of the Store that contains Accepted and Against
	adoptSerial        int  // the serial of the Store that contains Adopted

	failed  bool          // the last write failed: this member does not vote
	retryAt time.Duration // when to write again after a failure
}

// State is a member's persistent state. It must be completely on disk before the member acts on it.
type State struct {
	Incarnation uint64                `json:"incarnation"`
	Accepted    ID                    `json:"accepted"`
	Adopted     ID                    `json:"adopted"`
	Promised    uint64                `json:"promised,omitempty"` // the member does not vote for this number or a lower one
	Against     uint64                `json:"against,omitempty"`  // the member neither voted nor will vote for this number
	Amnesiac    bool                  `json:"amnesiac,omitempty"` // the disk may have lost a vote, so the member casts none
	Floor       uint64                `json:"floor,omitempty"`    // highest floor that peers reported while the member was amnesiac: it may have voted for it
	Peers       map[string]PeerMemory `json:"peers,omitempty"`
	Contents    [][]byte              `json:"contents,omitempty"` // contents of Accepted and Adopted
}

// PeerMemory is what a member stores of a peer, to notify a process that restarts with an older disk.
type PeerMemory struct {
	Inc  uint64 `json:"inc"`
	Vote uint64 `json:"vote,omitempty"`
}

// store requests a write of the current state.
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

// stored handles the result of a write and continues what waited for it. A member whose disk fails doesn't vote, since it
// would forget its vote in a restart, but it keeps serving requests.
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

// remember stores a peer's incarnation and vote, so that the peer can learn them if it loses its own disk.
func (c *Core) remember(p *Peer) {
	m := PeerMemory{Inc: p.Inc, Vote: max(c.disk.state.Peers[p.Name].Vote, p.Accepted.Number)}
	if c.disk.state.Peers[p.Name] != m {
		c.disk.state.Peers[p.Name] = m
		c.store()
		p.rememberedSerial = c.disk.serial
	}
}
