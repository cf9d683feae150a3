package fleet

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ravendale/balancer/audit"
)

// Config configures a Core.
type Config struct {
	Me    string
	Names []string // all members of the fleet, including Me: a majority is more than half of these

	Heartbeat time.Duration // interval between two pings to a peer
	Trust     time.Duration // the member is trusted for so long after it sent pings that a majority answered
	Strict    bool          // a member that isn't trusted takes no requests; otherwise it takes them, and its spans are marked
	Build     int           // generation of the program: an epoch may require a minimum
	Seed      uint64
	Nonce     uint64 // differs for each process
	Fresh     uint64 // the first incarnation if the disk is empty: must be above all earlier ones, which Unix time in seconds is
}

// never is earlier than any time that occurs.
const never = time.Duration(math.MinInt64 / 2)

// Core is the state machine of one member. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	random  *rand.Rand
	now     time.Duration
	actions []Action // actions so far of the event in progress

	disk     disk
	peers    peers
	tally    tally
	contents contents
	policy   policy
	standing standing
}

// New returns a member with the state that was loaded from its disk, or with the zero State if there was none.
func New(cfg Config, loaded State) (*Core, error) {
	if !slices.Contains(cfg.Names, cfg.Me) {
		return nil, fmt.Errorf("fleet: %q is none of the members", cfg.Me)
	}
	c := &Core{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, cfg.Nonce)), disk: disk{state: loaded},
		peers: peers{byName: make(map[string]*Peer)},
		tally: tally{votes: make(map[ID]map[string]bool), responses: make(map[uint64]map[string]bool), undecidedSince: make(map[uint64]time.Duration)},
		contents: contents{epochs: make(map[ID]*Epoch), checked: make(map[ID]error), checking: make(map[ID]bool), refused: make(map[string]bool),
			fetchedAt: never, servedSince: never},
		policy: policy{inForceSince: make(map[ID]time.Duration)},
	}
	for _, name := range cfg.Names {
		if name != cfg.Me && c.peers.byName[name] == nil {
			c.peers.byName[name] = &Peer{Name: name, State: Unknown, Heard: never, Answered: never, Vouched: never, Inc: loaded.Peers[name].Inc}
			c.peers.order = append(c.peers.order, name)
		}
	}
	for _, text := range loaded.Contents {
		e, err := Unpack(text)
		if err != nil {
			return nil, fmt.Errorf("fleet: state: %w", err)
		}
		c.contents.epochs[e.ID] = e
	}
	for _, id := range []ID{loaded.Accepted, loaded.Adopted} {
		if id.Number > 0 && c.contents.epochs[id] == nil {
			return nil, fmt.Errorf("fleet: state: the content of epoch %v is missing", id)
		}
	}
	c.disk.state.Peers = maps.Clone(loaded.Peers)
	if c.disk.state.Peers == nil {
		c.disk.state.Peers = make(map[string]PeerMemory)
	}
	c.disk.state.Amnesiac = c.disk.state.Amnesiac || loaded.Incarnation == 0
	if c.disk.state.Incarnation++; loaded.Incarnation == 0 {
		c.disk.state.Incarnation = max(cfg.Fresh, 1)
	}
	c.disk.vote, c.disk.against, c.policy.inForce = loaded.Accepted, loaded.Against, loaded.Adopted
	if loaded.Accepted.Number > 0 {
		c.recordVote(cfg.Me, loaded.Accepted)
	}
	return c, nil
}

// Start must be called once, before Handle. It writes the new incarnation to disk and applies the epoch loaded from disk.
func (c *Core) Start(now time.Duration) []Action {
	c.now, c.actions = now, nil
	c.store()
	c.disk.incarnationSerial, c.standing.voteFrom = c.disk.serial, now+suspectHeartbeats*c.cfg.Heartbeat
	if e := c.contents.epochs[c.disk.state.Adopted]; e != nil {
		c.apply(e, "disk")
	}
	c.updateStanding()
	return c.takeActions()
}

// Handle processes one event at the time now, which must not decrease, and returns the actions to execute.
func (c *Core) Handle(now time.Duration, ev Event) []Action {
	c.now, c.actions = now, nil
	switch ev.Kind {
	case Received:
		c.receive(&ev.Message)
	case Stored:
		c.stored(ev.Serial, ev.Err)
	case Checked:
		delete(c.contents.checking, ev.ID)
		c.contents.checked[ev.ID] = ev.Err
		if ev.Err != nil {
			c.record(audit.Entry{Kind: audit.Refused, Epoch: &ev.ID, Why: ev.Err.Error()})
		}
	case Leaving:
		for _, name := range c.peers.order {
			c.send(name, Message{Kind: Leave})
		}
	}
	c.heartbeat()
	c.advance()
	c.updateStanding()
	return c.takeActions()
}

// takeActions returns the actions gathered during the event and clears them.
func (c *Core) takeActions() []Action {
	acts := c.actions
	c.actions = nil
	return acts
}

// record adds an entry to the audit record.
func (c *Core) record(e audit.Entry) { c.actions = append(c.actions, Action{Kind: Record, Entry: e}) }

// Incarnation returns the number of this process: each start on the same disk has a higher one.
func (c *Core) Incarnation() uint64 { return c.disk.state.Incarnation }

// Acting returns the epoch that the scheduler runs under.
func (c *Core) Acting() ID { return c.policy.applied }

// Vote returns the epoch that this member voted for last, as stored on its disk.
func (c *Core) Vote() ID { return c.disk.vote }

// InForce returns the highest epoch that is known to be in force.
func (c *Core) InForce() ID { return c.policy.inForce }

// Amnesiac reports whether the disk may have lost a vote: the member then casts none.
func (c *Core) Amnesiac() bool { return c.disk.state.Amnesiac }
