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

// Config is what a member is given at its start.
type Config struct {
	Me    string
	Names []string // all members of the fleet, Me too: majorities are of these

	Heartbeat time.Duration // between two pings to a peer
	Trust     time.Duration // for so long after a ping that a majority answered it is trusted
	Strict    bool          // who is not trusted takes nothing; else it goes on, and its spans are marked
	Build     int           // generation of the program
	Seed      uint64
	Nonce     uint64 // another one for each process
	Fresh     uint64 // the incarnation that an empty disk begins with: above all former ones, as seconds of Unix time are
}

// never is before any time.
const never = time.Duration(math.MinInt64 / 2)

// Core is one member. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	random  *rand.Rand
	now     time.Duration
	actions []Action // of the event in progress

	disk     disk
	peers    peers
	tally    tally
	contents contents
	policy   policy
	standing standing
}

// New returns a member with what its disk held; State's zero value where that held nothing.
func New(cfg Config, kept State) (*Core, error) {
	if !slices.Contains(cfg.Names, cfg.Me) {
		return nil, fmt.Errorf("fleet: %q is none of the members", cfg.Me)
	}
	c := &Core{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, cfg.Nonce)), disk: disk{state: kept},
		peers: peers{byName: make(map[string]*Peer)},
		tally: tally{votes: make(map[ID]map[string]bool), responses: make(map[uint64]map[string]bool), openSince: make(map[uint64]time.Duration)},
		contents: contents{epochs: make(map[ID]*Epoch), checked: make(map[ID]error), checking: make(map[ID]bool), refused: make(map[string]bool),
			fetchedAt: never, servedSince: never},
		policy: policy{inForceSince: make(map[ID]time.Duration)},
	}
	for _, name := range cfg.Names {
		if name != cfg.Me && c.peers.byName[name] == nil {
			c.peers.byName[name] = &Peer{Name: name, State: Unknown, Heard: never, Answered: never, Vouched: never, Inc: kept.Peers[name].Inc}
			c.peers.order = append(c.peers.order, name)
		}
	}
	for _, text := range kept.Contents {
		e, err := Unpack(text)
		if err != nil {
			return nil, fmt.Errorf("fleet: state: %w", err)
		}
		c.contents.epochs[e.ID] = e
	}
	for _, id := range []ID{kept.Accepted, kept.Adopted} {
		if id.Number > 0 && c.contents.epochs[id] == nil {
			return nil, fmt.Errorf("fleet: state: the content of epoch %v is missing", id)
		}
	}
	c.disk.state.Peers = maps.Clone(kept.Peers)
	if c.disk.state.Peers == nil {
		c.disk.state.Peers = make(map[string]PeerMemory)
	}
	c.disk.state.Amnesiac = c.disk.state.Amnesiac || kept.Incarnation == 0
	if c.disk.state.Incarnation++; kept.Incarnation == 0 {
		c.disk.state.Incarnation = max(cfg.Fresh, 1)
	}
	c.disk.vote, c.disk.against, c.policy.inForce = kept.Accepted, kept.Against, kept.Adopted
	if kept.Accepted.Number > 0 {
		c.recordVote(cfg.Me, kept.Accepted)
	}
	return c, nil
}

// Start is to be called once, first: it has the new incarnation written, and the epoch of the disk applied.
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

// Handle takes one event at the time now, which never goes back.
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

// takeActions hands out what was gathered.
func (c *Core) takeActions() []Action {
	acts := c.actions
	c.actions = nil
	return acts
}

// record has an entry written to the record.
func (c *Core) record(e audit.Entry) { c.actions = append(c.actions, Action{Kind: Record, Entry: e}) }

// Incarnation is the number of this process among those on this disk.
func (c *Core) Incarnation() uint64 { return c.disk.state.Incarnation }

// Acting is the epoch that the scheduler acts under.
func (c *Core) Acting() ID { return c.policy.applied }

// Vote is what this member voted for last, as it is on its disk.
func (c *Core) Vote() ID { return c.disk.vote }

// Force is the highest epoch that is known to be in force.
func (c *Core) Force() ID { return c.policy.inForce }

// Amnesiac reports whether the disk may have forgotten a vote: such a member casts none.
func (c *Core) Amnesiac() bool { return c.disk.state.Amnesiac }
