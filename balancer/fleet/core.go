// Package fleet is what the schedulers of one installation settle among themselves: who is there, which policy epoch is in
// force, and who may act. It is a pure state machine: time and an event in, actions out. docs/fleet.md has the rules and why
// they hold; the shell that carries the actions out is balancer/fleet/shell.
//
// An epoch is in force once a majority of the members named in the operator's file has voted for it, on disk. A member votes for
// one content a number, and never for a lower number than before. A member is trusted while a majority has answered pings that
// it sent within Config.Trust, by its own monotonic clock: one of them knows of any epoch that was in force before.
package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ravendale/balancer/audit"
)

// Config is what a member is told at its start.
type Config struct {
	Me    string
	Names []string // all members of the fleet, Me too: majorities are of these

	Beat   time.Duration // between two pings to a peer
	Trust  time.Duration // for so long after a ping that a majority answered is it trusted
	Strict bool          // who is not trusted takes nothing; else it goes on, and its spans are marked
	Build  int           // generation of the program
	Seed   uint64
	Nonce  uint64 // another one for each process
	Fresh  uint64 // the incarnation that an empty disk begins with: above all former ones, as seconds of Unix time are
}

// Fixed proportions of Beat: a word lost or late says nothing yet, three in a row do.
const (
	suspectBeats = 3
	fetchBeats   = 2        // until another holder is asked for a content
	pingsKept    = 64       // that may still be answered
	donateMost   = 64 << 10 // bytes of contents given a beat, or one content: stragglers that come together do not hold up a donor
	strays       = 64       // epochs remembered beyond the own ones; what a peer names beyond that is passed over
)

const never = time.Duration(math.MinInt64 / 2)

// Kinds of words.
const (
	Ping  = "ping"  // Number counts up
	Pong  = "pong"  // answers the ping of that number
	Stale = "stale" // the sender knows a newer process of that name: YouInc
	Leave = "leave"
	Want  = "want" // the content of an epoch is asked for
	Have  = "have" // and given
	Busy  = "busy" // or not just now
)

// Word is what one member tells another.
type Word struct {
	Kind   string `json:"kind"`
	From   string `json:"from"`
	Inc    uint64 `json:"inc"` // incarnation: a process is not its former self
	Nonce  uint64 `json:"nonce"`
	Number uint64 `json:"n,omitempty"`

	Accepted ID     `json:"accepted"`           // the sender's vote, on its disk
	Adopted  ID     `json:"adopted"`            // what it acts under,
	Force    ID     `json:"force"`              // and what it knows that a majority voted for
	Against  uint64 `json:"against,omitempty"`  // a number that the sender will not vote for: it can't act on that epoch
	Floor    uint64 `json:"floor,omitempty"`    // the highest that the sender voted for or knows in force
	Amnesiac bool   `json:"amnesiac,omitempty"` // the sender may have forgotten an epoch: it vouches for nothing
	YouInc   uint64 `json:"you_inc,omitempty"`  // what the sender remembers of the receiver,
	YouVote  uint64 `json:"you_vote,omitempty"`
	YouNonce uint64 `json:"you_nonce,omitempty"` // of a stale word: the process that it is meant for

	ID      ID     `json:"id,omitzero"`
	Content []byte `json:"content,omitempty"`

	Stamp audit.Stamp `json:"stamp"` // the shell's: for the record alone
	Mono  int64       `json:"mono"`  // milliseconds of the sender's monotonic clock
	Wall  int64       `json:"wall"`
	Head  audit.Head  `json:"head"`
}

// State is what a member keeps on disk: it is to be written, whole, before what follows from it is done.
type State struct {
	Incarnation uint64            `json:"incarnation"`
	Accepted    ID                `json:"accepted"`
	Adopted     ID                `json:"adopted"`
	Promised    uint64            `json:"promised,omitempty"` // it does not vote for this number or a lower one,
	Against     uint64            `json:"against,omitempty"`  // nor for this one, and did not
	Amnesiac    bool              `json:"amnesiac,omitempty"` // it may have forgotten a vote, and casts none
	Floor       uint64            `json:"floor,omitempty"`    // that peers told of when it was one: it may have voted for it
	Peers       map[string]Memory `json:"peers,omitempty"`
	Contents    [][]byte          `json:"contents,omitempty"` // of Accepted and Adopted
}

// Memory is what a member remembers of a peer: a process that comes back with an older disk is told.
type Memory struct {
	Inc  uint64 `json:"inc"`
	Vote uint64 `json:"vote,omitempty"`
}

// PeerState is how a peer is seen.
type PeerState string

// States of a peer.
const (
	Unknown PeerState = "unknown"
	Alive   PeerState = "alive"
	Half    PeerState = "half" // it is heard, and does not answer: a cut in one direction
	Suspect PeerState = "suspect"
	Gone    PeerState = "gone"
	Left    PeerState = "left"
)

// Peer is what is known of another member.
type Peer struct {
	Name              string
	State             PeerState
	Inc, Nonce        uint64
	Heard, Answered   time.Duration // a word, and when the newest ping was sent that it answered,
	Vouched           time.Duration // and that it answered as one that forgets nothing
	Accepted, Adopted ID
	Force             ID
	Floor             uint64
	Head              audit.Head
	youVote           uint64
	keptAt            int    // the serial of the state that remembers its incarnation
	pings             []ping // sent, oldest first
	next              time.Duration
}

type ping struct {
	number uint64
	at     time.Duration
}

// StandingOf is whether a member may take requests.
type StandingOf struct {
	Acts   bool
	Marked bool   // it acts without being trusted
	Why    string // why not, or why it is marked
}

// Why a member does not act, or is marked.
const (
	WhyStarting = "starting"    // no majority has answered yet
	WhyAlone    = "alone"       // no majority has answered for Trust
	WhyOpen     = "open"        // an epoch may be in force for all that it knows
	WhyBelow    = "below floor" // it knows that its epoch is too old
	WhyReplaced = "replaced"    // another process has its name
)

// ActionKind says what is to be done.
type ActionKind uint8

// Kinds of actions.
const (
	Tell  ActionKind = iota // Word to To
	Store                   // State is to be written; then the event Stored with Serial
	Check                   // Epoch is to be checked as a configuration is; then the event Checked
	Apply                   // Epoch is what the scheduler acts under from now on
	Note                    // Entry is for the record
	Stand                   // Standing has changed
)

// Action is one thing to do.
type Action struct {
	Kind     ActionKind
	To       string
	Word     Word
	State    State
	Serial   int
	Epoch    *Epoch
	Entry    audit.Entry
	Standing StandingOf
}

// EventKind says what came.
type EventKind uint8

// Kinds of events.
const (
	Tick    EventKind = iota // some time has passed: at least every quarter of a beat
	Heard                    // Word
	Stored                   // what Serial asked for, and all before, is on disk, or Err
	Checked                  // Epoch, or why not: Err
	Leaving                  // this process ends
)

// Event is one thing that came.
type Event struct {
	Kind   EventKind
	Word   Word
	Serial int
	ID     ID
	Err    error
}

// Core is one member. It is not safe for concurrent use.
type Core struct {
	cfg    Config
	random *rand.Rand
	now    time.Duration
	acts   []Action

	state   State
	serial  int           // of the last Store
	durable int           // the last that is on disk
	vote    ID            // Accepted as it is on disk: what peers are told,
	against uint64        // and Against
	beginAt int           // the serial that the incarnation waits for
	saidAt  int           // and the one that Accepted and Against wait for
	adoptAt int           // the serial that Adopted waits for
	applied ID            // what the scheduler was given
	noDisk  bool          // it can't write, and does not vote
	writeAt time.Duration // and tries again
	begun   bool          // the incarnation is on disk
	sureAt  time.Duration // from then on every peer that can answer has been asked what it remembers of this member

	peers    map[string]*Peer
	order    []string // of peers
	number   uint64   // of pings
	epochs   map[ID]*Epoch
	checked  map[ID]error
	asked    map[ID]bool                // Check is out
	votes    map[ID]map[string]bool     // as seen, own one too once it is on disk
	said     map[uint64]map[string]bool // by number: whose vote, or refusal, is known
	bad      map[string]bool            // peer and epoch: it gave another content
	wanted   time.Duration              // when a content was asked for last
	wantedID ID                         // and which
	donated  int                        // bytes of contents given since beatAt
	beatAt   time.Duration

	force     ID                       // the highest that is known to be in force
	dues      map[ID]time.Duration     // what is, and is not acted under yet: since when that is known
	openAt    map[uint64]time.Duration // numbers that may be in force: since when they are known of
	everTrust bool
	replaced  bool
	standing  StandingOf
	stood     bool
}

// New returns a member with what its disk held; State's zero value where that held nothing.
func New(cfg Config, disk State) (*Core, error) {
	if !slices.Contains(cfg.Names, cfg.Me) {
		return nil, fmt.Errorf("fleet: %q is none of the members", cfg.Me)
	}
	c := &Core{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, cfg.Nonce)), state: disk, peers: make(map[string]*Peer),
		epochs: make(map[ID]*Epoch), checked: make(map[ID]error), asked: make(map[ID]bool), votes: make(map[ID]map[string]bool), said: make(map[uint64]map[string]bool),
		bad: make(map[string]bool), openAt: make(map[uint64]time.Duration), dues: make(map[ID]time.Duration), wanted: never, beatAt: never}
	for _, name := range cfg.Names {
		if name != cfg.Me && c.peers[name] == nil {
			c.peers[name] = &Peer{Name: name, State: Unknown, Heard: never, Answered: never, Vouched: never, Inc: disk.Peers[name].Inc}
			c.order = append(c.order, name)
		}
	}
	for _, text := range disk.Contents {
		e, err := Unpack(text)
		if err != nil {
			return nil, fmt.Errorf("fleet: state: %w", err)
		}
		c.epochs[e.ID] = e
	}
	for _, id := range []ID{disk.Accepted, disk.Adopted} {
		if id.Number > 0 && c.epochs[id] == nil {
			return nil, fmt.Errorf("fleet: state: the content of epoch %v is missing", id)
		}
	}
	c.state.Peers = maps.Clone(disk.Peers)
	if c.state.Peers == nil {
		c.state.Peers = make(map[string]Memory)
	}
	c.state.Amnesiac = c.state.Amnesiac || disk.Incarnation == 0
	if c.state.Incarnation++; disk.Incarnation == 0 {
		c.state.Incarnation = max(cfg.Fresh, 1)
	}
	c.vote, c.against, c.force = disk.Accepted, disk.Against, disk.Adopted
	if disk.Accepted.Number > 0 {
		c.sawVote(cfg.Me, disk.Accepted)
	}
	return c, nil
}

// Start is to be called once, first: it has the new incarnation written, and the epoch of the disk applied.
func (c *Core) Start(now time.Duration) []Action {
	c.now, c.acts = now, nil
	c.store()
	c.beginAt, c.sureAt = c.serial, now+suspectBeats*c.cfg.Beat
	if e := c.epochs[c.state.Adopted]; e != nil {
		c.apply(e, "disk")
	}
	c.stand()
	return c.take()
}

// Handle takes one event at the time now, which never goes back.
func (c *Core) Handle(now time.Duration, ev Event) []Action {
	c.now, c.acts = now, nil
	switch ev.Kind {
	case Heard:
		c.hear(&ev.Word)
	case Stored:
		c.stored(ev.Serial, ev.Err)
	case Checked:
		delete(c.asked, ev.ID)
		c.checked[ev.ID] = ev.Err
		if ev.Err != nil {
			c.note(audit.Entry{Kind: audit.Refused, Epoch: &ev.ID, Why: ev.Err.Error()})
		}
	case Leaving:
		for _, name := range c.order {
			c.tell(name, Word{Kind: Leave})
		}
	}
	c.beat()
	c.settle()
	c.stand()
	return c.take()
}

func (c *Core) take() []Action {
	acts := c.acts
	c.acts = nil
	return acts
}

// Propose hands in an operator's epoch. The error says why it is not taken here.
func (c *Core) Propose(now time.Duration, e *Epoch) ([]Action, error) {
	c.now, c.acts = now, nil
	known := max(c.state.Accepted.Number, c.state.Adopted.Number, c.state.Promised, c.force.Number)
	for id := range c.votes {
		known = max(known, id.Number)
	}
	switch {
	case c.replaced:
		return nil, fmt.Errorf("another process has the name %s", c.cfg.Me)
	case c.state.Amnesiac:
		return nil, fmt.Errorf("%s does not vote: its disk is new or old, and not all members have answered yet", c.cfg.Me)
	case !c.everTrust:
		return nil, fmt.Errorf("%s has not heard of a majority yet", c.cfg.Me)
	case c.noDisk:
		return nil, fmt.Errorf("%s does not vote: its disk fails", c.cfg.Me)
	case e.Number <= known:
		return nil, fmt.Errorf("epoch %d: %d is known of already", e.Number, known)
	case e.Floor < c.floor():
		return nil, fmt.Errorf("epoch %d: floor %d is below %d, the fleet's", e.Number, e.Floor, c.floor())
	case e.Within < c.cfg.Trust:
		return nil, fmt.Errorf("epoch %d: within %v is shorter than the trust of %v", e.Number, e.Within, c.cfg.Trust)
	case e.Build > c.cfg.Build:
		return nil, fmt.Errorf("epoch %d: it wants a program of generation %d, and this is %d", e.Number, e.Build, c.cfg.Build)
	}
	c.note(audit.Entry{Kind: audit.Proposed, Epoch: &e.ID, Floor: e.Floor, Within: e.Within.Milliseconds()})
	c.epochs[e.ID] = e
	c.votes[e.ID] = make(map[string]bool)
	if _, known := c.openAt[e.Number]; !known {
		c.openAt[e.Number] = now
	}
	c.settle()
	c.stand()
	return c.take(), nil
}

// floor is what no later epoch's may be below: that of what this member voted for too, since what follows in force has a voter
// in common with it. So floors only rise.
func (c *Core) floor() (floor uint64) {
	floor = c.state.Floor
	for _, id := range []ID{c.force, c.state.Adopted, c.state.Accepted} {
		if e := c.epochs[id]; e != nil {
			floor = max(floor, e.Floor)
		}
	}
	return floor
}

func (c *Core) note(e audit.Entry) { c.acts = append(c.acts, Action{Kind: Note, Entry: e}) }
func (c *Core) majority() int      { return len(c.cfg.Names)/2 + 1 }

// Incarnation is the number of this run of the member; it grows with each start.
func (c *Core) Incarnation() uint64 { return c.state.Incarnation }

// Acting names the epoch by whose settings this member acts.
func (c *Core) Acting() ID { return c.applied }

// Vote names the epoch that this member voted for last, as it is on disk.
func (c *Core) Vote() ID { return c.vote }

// Force names the newest epoch that this member knows to be in force.
func (c *Core) Force() ID { return c.force }

// Amnesiac says whether this member lost its state and may therefore not vote.
func (c *Core) Amnesiac() bool { return c.state.Amnesiac }

// Votes says whether this member casts votes.
func (c *Core) Votes() bool {
	return !c.state.Amnesiac && !c.noDisk && c.everTrust && c.now >= c.sureAt && !c.replaced
}

// Content returns an epoch, or nil if its content is not known here.
func (c *Core) Content(id ID) *Epoch { return c.epochs[id] }

// Last returns the standing as it was last worked out.
func (c *Core) Last() (standing StandingOf) { return c.standing }

// Peers returns what is known of the others, in the order of the file.
func (c *Core) Peers() (all []Peer) {
	for _, name := range c.order {
		all = append(all, *c.peers[name])
	}
	return all
}

func (c *Core) tell(to string, w Word) {
	if !c.begun {
		return // before the incarnation is on disk the next process might have it too
	}
	w.From, w.Inc, w.Nonce = c.cfg.Me, c.state.Incarnation, c.cfg.Nonce
	w.Accepted, w.Adopted, w.Force, w.Against, w.Amnesiac = c.vote, c.applied, c.force, c.against, c.state.Amnesiac || c.now < c.sureAt
	w.Floor = c.floor()
	m := c.state.Peers[to]
	w.YouInc, w.YouVote = m.Inc, m.Vote
	c.acts = append(c.acts, Action{Kind: Tell, To: to, Word: w})
}

// store has the state written.
func (c *Core) store() {
	c.serial++
	s := c.state
	s.Peers = maps.Clone(s.Peers)
	s.Contents = nil
	for _, id := range []ID{s.Accepted, s.Adopted} {
		if e := c.epochs[id]; e != nil && !slices.ContainsFunc(s.Contents, func(b []byte) bool { return string(b) == string(e.Content) }) {
			s.Contents = append(s.Contents, e.Content)
		}
	}
	c.acts = append(c.acts, Action{Kind: Store, State: s, Serial: c.serial})
}

// stored goes on with what waited for the disk. A disk that fails takes the member's vote, for what it said would be forgotten; it
// does not take its service.
func (c *Core) stored(serial int, err error) {
	c.begun = c.begun || serial >= c.beginAt
	if failed := err != nil; failed != c.noDisk {
		c.noDisk = failed
		why := ""
		if failed {
			why, c.writeAt = err.Error(), c.now+c.cfg.Trust
		}
		c.note(audit.Entry{Kind: audit.Member, Peer: c.cfg.Me, State: map[bool]string{true: "disk fails", false: "disk works"}[failed], Why: why})
	}
	if err == nil {
		c.durable = max(c.durable, serial)
		if serial >= c.saidAt && !c.state.Amnesiac {
			if c.vote != c.state.Accepted {
				c.vote = c.state.Accepted
				c.sawVote(c.cfg.Me, c.vote)
				c.hurry()
			}
			if c.against != c.state.Against {
				c.against = c.state.Against
				c.sawNo(c.cfg.Me, c.against)
			}
		}
	}
	if c.applied != c.state.Adopted && (err != nil || serial >= c.adoptAt) {
		if e := c.epochs[c.state.Adopted]; e != nil {
			c.apply(e, c.holder(e.ID))
		}
	}
}

// apply has the scheduler act under an epoch.
func (c *Core) apply(e *Epoch, from string) {
	c.applied = e.ID
	c.acts = append(c.acts, Action{Kind: Apply, Epoch: e})
	c.note(audit.Entry{Kind: audit.Adopted, Epoch: &e.ID, Floor: e.Floor, Within: e.Within.Milliseconds(), From: from})
	maps.DeleteFunc(c.epochs, func(id ID, _ *Epoch) bool { return id.Number < e.Number && id != c.state.Accepted })
	maps.DeleteFunc(c.votes, func(id ID, _ map[string]bool) bool { return id.Number < e.Number })
	maps.DeleteFunc(c.dues, func(id ID, _ time.Duration) bool { return id.Number <= e.Number })
	maps.DeleteFunc(c.said, func(n uint64, _ map[string]bool) bool { return n <= e.Number })
	maps.DeleteFunc(c.openAt, func(n uint64, _ time.Duration) bool { return n <= e.Number })
	clear(c.bad)
}

// hear takes a word. One of a former process of its sender, or of a stranger, counts for nothing.
func (c *Core) hear(w *Word) {
	p := c.peers[w.From]
	if p == nil {
		return
	}
	if w.Kind == Stale {
		c.stale(w)
		return
	}
	switch {
	case w.Inc < p.Inc || w.Inc == p.Inc && p.Nonce != 0 && p.Nonce != w.Nonce:
		c.tell(p.Name, Word{Kind: Stale, YouNonce: w.Nonce})
		return
	case w.Inc > p.Inc || p.Nonce == 0:
		if w.Inc != p.Inc {
			c.note(audit.Entry{Kind: audit.Member, Peer: p.Name, Incarnation: w.Inc, State: "came"})
		}
		p.Inc, p.Nonce, p.Accepted, p.Answered, p.Vouched, p.pings = w.Inc, w.Nonce, ID{}, never, never, nil
		c.remember(p)
	}
	p.Heard = c.now
	p.Head = w.Head
	if w.Kind == Leave {
		c.see(p, Left)
		p.Answered, p.Vouched = never, never
		return
	}
	if w.Accepted.Number > p.Accepted.Number {
		p.Accepted = w.Accepted
		c.sawVote(p.Name, w.Accepted)
		c.remember(p)
	}
	c.sawNo(p.Name, w.Against)
	p.Adopted, p.Force, p.Floor = w.Adopted, w.Force, w.Floor
	c.inForce(w.Force)
	if p.youVote = max(p.youVote, w.YouVote); w.YouVote > c.state.Accepted.Number && !c.state.Amnesiac {
		c.state.Amnesiac = true // the disk was put back to before a vote
		c.note(audit.Entry{Kind: audit.Amnesiac, Peer: p.Name, Incarnation: c.state.Incarnation})
		c.store()
	}
	switch w.Kind {
	case Ping:
		if c.durable >= p.keptAt { // else this one might forget it, and take an older process of that name for it
			c.tell(p.Name, Word{Kind: Pong, Number: w.Number})
		}
	case Pong:
		if i := slices.IndexFunc(p.pings, func(s ping) bool { return s.number == w.Number }); i >= 0 {
			p.Answered = max(p.Answered, p.pings[i].at)
			if !w.Amnesiac {
				p.Vouched = p.Answered
			}
			p.pings = p.pings[i+1:]
		}
	case Want:
		c.donate(p.Name, w.ID)
	case Have:
		c.offered(p.Name, w)
	}
}

// stale is told by a peer that knows a newer process of this name. One that starts takes a higher incarnation: its disk is
// older than the fleet's memory. One that was trusted has been replaced, or slept while it was.
func (c *Core) stale(w *Word) {
	switch {
	case w.YouNonce != c.cfg.Nonce || w.YouInc < c.state.Incarnation:
	case c.everTrust:
		if !c.replaced {
			c.replaced = true
			c.note(audit.Entry{Kind: audit.Refused, Peer: w.From, Incarnation: w.YouInc, Why: "another process has this name"})
		}
	default:
		c.state.Incarnation, c.state.Amnesiac, c.begun = w.YouInc+1, true, false
		c.note(audit.Entry{Kind: audit.Amnesiac, Peer: w.From, Incarnation: c.state.Incarnation})
		c.store()
		c.beginAt = c.serial
	}
}

// remember keeps on disk what a peer must not forget of itself.
func (c *Core) remember(p *Peer) {
	m := Memory{Inc: p.Inc, Vote: max(c.state.Peers[p.Name].Vote, p.Accepted.Number)}
	if c.state.Peers[p.Name] != m {
		c.state.Peers[p.Name] = m
		c.store()
		p.keptAt = c.serial
	}
}

func (c *Core) sawVote(name string, id ID) {
	if id.Number <= c.force.Number {
		return
	}
	if c.votes[id] == nil {
		if len(c.votes) >= strays {
			return
		}
		c.votes[id] = make(map[string]bool)
	}
	c.votes[id][name] = true
	c.sawNo(name, id.Number)
	if _, known := c.openAt[id.Number]; !known {
		c.openAt[id.Number] = c.learnt()
	}
	if len(c.votes[id]) >= c.majority() {
		c.inForce(id)
	}
}

// learnt is since when an epoch that is heard of now counts as known: one that is not trusted may hear of it any time after its
// date, and a straggler that starts again and again, or comes back from a cut, gets no time from that.
func (c *Core) learnt() time.Duration {
	if c.now >= c.trustedTill() {
		return never
	}
	return c.now
}

// sawNo notes that a member has nothing to say for a number any more: it has voted, or will not.
func (c *Core) sawNo(name string, number uint64) {
	if number <= c.force.Number {
		return
	}
	if c.said[number] == nil {
		if len(c.said) >= strays {
			return
		}
		c.said[number] = make(map[string]bool)
	}
	c.said[number][name] = true
}

// inForce notes that an epoch is in force, which is so for good.
func (c *Core) inForce(id ID) {
	if id.Number > c.force.Number {
		c.force, c.dues[id] = id, c.learnt()
		if open, known := c.openAt[id.Number]; known {
			c.dues[id] = min(c.dues[id], open) // it was told before that this one may be
		}
		c.note(audit.Entry{Kind: audit.InForce, Epoch: &id})
		c.hurry()
	}
}

// beat pings who is due, and sees who is there.
func (c *Core) beat() {
	if c.replaced {
		return
	}
	if c.now-c.beatAt >= c.cfg.Beat {
		c.beatAt, c.donated = c.now, 0
	}
	for i, name := range c.order {
		p := c.peers[name]
		if p.next == 0 { // the first ones are spread over a beat, so that a fleet that starts together does not ping together
			p.next = c.now + c.cfg.Beat*time.Duration(i)/time.Duration(len(c.order))
		}
		if c.now >= p.next && c.begun {
			c.number++
			p.pings = append(p.pings, ping{c.number, c.now})
			if len(p.pings) > pingsKept {
				p.pings = p.pings[1:]
			}
			p.next = c.now + time.Duration((0.9+0.2*c.random.Float64())*float64(c.cfg.Beat))
			c.tell(name, Word{Kind: Ping, Number: c.number})
		}
		answered, heard := c.now-p.Answered, c.now-p.Heard
		switch patient := suspectBeats * c.cfg.Beat; {
		case p.State == Left && heard > 0, p.Heard == never:
		case answered <= patient:
			c.see(p, Alive)
		case heard <= patient && len(p.pings) > suspectBeats:
			c.see(p, Half)
		case heard > max(c.cfg.Trust, patient):
			c.see(p, Gone)
		case heard > patient:
			c.see(p, Suspect)
		}
	}
	if c.noDisk && c.now >= c.writeAt { // the state is written anew and whole, never what failed again
		c.writeAt = c.now + c.cfg.Trust
		c.store()
	}
	if c.state.Amnesiac && !c.noDisk && c.allAnswered() {
		for _, p := range c.peers {
			c.state.Promised = max(c.state.Promised, p.Accepted.Number, p.youVote)
			c.state.Floor = max(c.state.Floor, p.Floor)
		}
		c.state.Amnesiac = false
		c.store()
	}
}

// allAnswered says whether every other member has: then whoever saw a vote that was forgotten here has told of it.
func (c *Core) allAnswered() bool {
	for _, p := range c.peers {
		if p.Answered == never {
			return false
		}
	}
	return true
}

// hurry has the next pings go sooner, since they have news: each drawn within a part of a beat, for all members have the same news
// at about the same time.
func (c *Core) hurry() {
	for _, name := range c.order {
		p := c.peers[name]
		p.next = min(p.next, c.now+time.Duration(c.random.Float64()*float64(c.cfg.Beat)/4))
	}
}

func (c *Core) see(p *Peer, s PeerState) {
	if p.State != s {
		p.State = s
		c.note(audit.Entry{Kind: audit.Member, Peer: p.Name, Incarnation: p.Inc, State: string(s)})
	}
}

// trustedTill is until when this member is trusted.
func (c *Core) trustedTill() time.Duration {
	need := c.majority() - 1
	if c.state.Amnesiac {
		need++ // it does not vouch for itself
	}
	switch {
	case need == 0:
		return math.MaxInt64
	case need > len(c.peers):
		return never
	}
	var answered []time.Duration
	for _, p := range c.peers {
		answered = append(answered, p.Vouched)
	}
	slices.SortFunc(answered, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	return answered[need-1] + c.cfg.Trust
}

// settle votes, fetches and adopts, as far as what is known allows.
func (c *Core) settle() {
	if c.replaced {
		return
	}
	if c.force.Number > c.state.Adopted.Number && c.runs(c.force) {
		c.state.Adopted = c.force
		c.store()
		c.adoptAt = c.serial
		if c.noDisk {
			c.apply(c.epochs[c.force], c.holder(c.force))
		}
	}
	id := c.candidate()
	if e := c.epochs[id]; e != nil && e.Floor < c.floor() && c.checked[id] == nil {
		c.checked[id] = fmt.Errorf("its floor %d is below %d, the fleet's", e.Floor, c.floor())
		c.note(audit.Entry{Kind: audit.Refused, Epoch: &id, Why: c.checked[id].Error()})
	}
	switch {
	case id.Number == 0:
	case c.runs(id):
		c.state.Accepted = id
		c.note(audit.Entry{Kind: audit.Accepted, Epoch: &id})
		c.store()
		c.saidAt = c.serial
	case c.checked[id] != nil && c.state.Against < id.Number:
		c.state.Against = id.Number
		c.state.Promised = max(c.state.Promised, id.Number)
		c.store()
		c.saidAt = c.serial
	}
}

// candidate is what this member may vote for: of the highest number, what most voted for.
func (c *Core) candidate() (best ID) {
	if !c.Votes() {
		return ID{}
	}
	for _, id := range slices.SortedFunc(maps.Keys(c.votes), func(a, b ID) int {
		return cmp.Or(cmp.Compare(b.Number, a.Number), cmp.Compare(len(c.votes[b]), len(c.votes[a])), cmp.Compare(a.Digest, b.Digest))
	}) {
		if id.Number > max(c.state.Accepted.Number, c.state.Promised, c.state.Adopted.Number) {
			return id
		}
	}
	return ID{}
}

// runs says whether this member can act under an epoch. What it lacks for that it asks for.
func (c *Core) runs(id ID) bool {
	e := c.epochs[id]
	if e == nil {
		c.fetch(id)
		return false
	}
	err, known := c.checked[id]
	if !known && !c.asked[id] {
		if e.Build > c.cfg.Build {
			err, known = fmt.Errorf("it wants a program of generation %d, and this is %d", e.Build, c.cfg.Build), true
			c.checked[id] = err
			c.note(audit.Entry{Kind: audit.Refused, Epoch: &id, Why: err.Error()})
		} else {
			c.asked[id] = true
			c.acts = append(c.acts, Action{Kind: Check, Epoch: e})
		}
	}
	return known && err == nil
}

// fetch asks one of those that have a content for it, each time another: drawn, so that stragglers spread.
func (c *Core) fetch(id ID) {
	if id == c.wantedID && c.now-c.wanted < fetchBeats*c.cfg.Beat {
		return
	}
	var holders []string
	for _, name := range c.order {
		if p := c.peers[name]; (p.Accepted == id || p.Adopted == id || p.Force == id) && !c.bad[name+id.Digest] && p.State != Gone && p.State != Left {
			holders = append(holders, name)
		}
	}
	if len(holders) > 0 {
		c.wanted, c.wantedID = c.now, id
		c.tell(holders[c.random.IntN(len(holders))], Word{Kind: Want, ID: id})
	}
}

// holder names a peer that has an epoch: who brought it, or may have.
func (c *Core) holder(id ID) string {
	for _, name := range c.order {
		if p := c.peers[name]; p.Adopted == id || p.Accepted == id {
			return name
		}
	}
	return c.cfg.Me
}

func (c *Core) donate(to string, id ID) {
	e := c.epochs[id]
	if e == nil || c.donated > 0 && c.donated+len(e.Content) > donateMost {
		c.tell(to, Word{Kind: Busy, ID: id})
		return
	}
	c.donated += len(e.Content)
	c.tell(to, Word{Kind: Have, ID: id, Content: e.Content})
}

// offered takes a content if it is what was asked for. A peer that gives another under its name is not asked again.
func (c *Core) offered(from string, w *Word) {
	if c.epochs[w.ID] != nil {
		return
	}
	e, err := Unpack(w.Content)
	if err == nil && e.ID != w.ID {
		err = fmt.Errorf("the digest is %.8s", e.ID.Digest)
	}
	if err != nil {
		c.bad[from+w.ID.Digest] = true
		c.note(audit.Entry{Kind: audit.Refused, Epoch: &w.ID, Peer: from, Why: err.Error()})
		c.wanted = never
		return
	}
	if c.votes[w.ID] != nil || c.force == w.ID {
		c.epochs[w.ID] = e
	}
}

// open says since when an epoch may be in force for all that is known here; false where none may.
func (c *Core) open() (since time.Duration, within time.Duration, is bool) {
	for id, seen := range c.votes {
		if id.Number <= c.force.Number {
			continue
		}
		silent := len(c.cfg.Names) - len(c.said[id.Number]) // those who may have voted for it, or still may
		if len(seen)+silent < c.majority() {
			continue // it can't be in force, nor come to be
		}
		w := c.cfg.Trust
		if e := c.epochs[id]; e != nil {
			w = e.Within
		}
		if at := c.openAt[id.Number]; !is || at+w < since+within {
			since, within, is = at, w, true
		}
	}
	return since, within, is
}

// StandingAt is whether this member may take a request at a time, which may be after a long stop of the process.
func (c *Core) StandingAt(now time.Duration) StandingOf {
	if !keepsFloor {
		return StandingOf{Acts: true}
	}
	if c.replaced {
		return StandingOf{Why: WhyReplaced}
	}
	for id, since := range c.dues { // each for itself: roll-outs that follow one another give a straggler no time
		floor, within := id.Number, c.cfg.Trust // what is not had may have any floor
		if e := c.epochs[id]; e != nil {
			floor, within = e.Floor, e.Within
		}
		if c.applied.Number < floor && now >= since+within {
			return StandingOf{Why: WhyBelow}
		}
	}
	why := ""
	if since, within, is := c.open(); is && now >= since+within {
		why = WhyOpen
	}
	if now >= c.trustedTill() {
		why = WhyAlone
		if !c.everTrust {
			why = WhyStarting
		}
	}
	return StandingOf{Acts: why == "" || !c.cfg.Strict, Marked: why != "" && !c.cfg.Strict, Why: why}
}

// stand tells when the standing changes.
func (c *Core) stand() {
	if !c.everTrust && c.now < c.trustedTill() {
		c.everTrust = true
	}
	s := c.StandingAt(c.now)
	if s == c.standing && c.stood {
		return
	}
	c.standing, c.stood = s, true
	c.acts = append(c.acts, Action{Kind: Stand, Standing: s})
	c.note(audit.Entry{Kind: audit.Standing, Acts: &s.Acts, Marked: s.Marked, Why: s.Why})
}
