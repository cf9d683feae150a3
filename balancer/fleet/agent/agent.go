// Package agent is the shell of a fleet's member: it carries the actions of package fleet out on links and disk, and keeps the
// record of what the scheduler acted on. All of it runs on one loop, the scheduler's; the disk has goroutines of its own.
package agent

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"ravendale/balancer/audit"
	"ravendale/balancer/deadline"
	"ravendale/balancer/fleet"
	"ravendale/balancer/fleet/link"
	"ravendale/balancer/frames"
	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
)

// Options say what an agent works with.
type Options struct {
	Loop    *scheduler.Loop
	Network transport.Network
	Member  fleet.Config
	Address map[string]string // of the others, by name
	Dir     string            // of the state and the record
	Keys    frames.Keys
	Span    time.Duration // how long a span of the record is at most
	Most    int64         // bytes of the record
	Log     *slog.Logger

	Build, File, Settings string // what the process runs: of the program, digests of the operator's file and the settings

	// Check says whether an epoch could be acted under, and Apply has it acted under, between two turns.
	Check func(*fleet.Epoch) error
	Apply func(*fleet.Epoch)
	// Stand is told when the member may take requests, or not any more.
	Stand func(fleet.StandingOf)
	// Done counts what was done since the start: attempts sent, and requests by class.
	Done func() (sent int, classes map[string]audit.Count)
	Wall func() int64 // the system's clock in Unix milliseconds: shown, never trusted
}

// Agent is one member.
type Agent struct {
	o     Options
	core  *fleet.Core
	clock audit.Clock
	log   *audit.Log
	began time.Duration

	links    map[string]*line
	accepted map[*link.Link]time.Duration // those that others made, and when the last word came
	state    *stateWriter

	sent      int // at the last span
	classes   map[string]audit.Count
	spanAt    time.Duration
	witnessAt time.Duration
	witnessed bool
	seq       int64 // of the list of servers
	ticking   *deadline.Deadline
	ended     bool
	refused   uint64 // frames and links
}

// line is the link to one peer that this member makes, with its retries.
type line struct {
	name   string
	link   *link.Link
	up     bool
	heard  time.Duration
	tries  int
	next   time.Duration
	pings  map[uint64]int64 // the own monotonic clock at which a ping was sent, by its number
	off    int64            // the peer's monotonic clock less the own one, and how wrong that may be
	skew   int64            // the same of the wall clocks
	err    int64
	known  bool
	bytes  int64
	failed string
}

// heardOfBeats without a word on a link, and it is made anew: after a cut the system would try the old one again in its own time.
const heardOfBeats = 6

// witnessBeats is how often the record says how far the peers' were.
const witnessBeats = 10

// New reads the member's disk. A state that is torn or changed is set aside: what it might have promised is asked of the peers.
func New(o Options) (*Agent, error) {
	began := o.Loop.Now()
	a := &Agent{o: o, began: began, links: make(map[string]*line), accepted: make(map[*link.Link]time.Duration),
		classes: make(map[string]audit.Count)}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	path := filepath.Join(o.Dir, o.Member.Me+".state")
	disk, err := loadState(path)
	if err != nil {
		aside := fmt.Sprintf("%s.%d.bad", path, a.o.Wall())
		o.Log.Error("state set aside", "err", err, "file", path, "as", aside)
		if err := os.Rename(path, aside); err != nil {
			return nil, fmt.Errorf("fleet: %w", err)
		}
	}
	o.Member.Fresh = uint64(a.o.Wall() / 1000)
	if a.core, err = fleet.New(o.Member, disk); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for name := range o.Address {
		a.links[name] = &line{name: name, pings: make(map[uint64]int64)}
	}
	a.state = newStateWriter(path)
	var before audit.Head
	a.log, before = audit.Open(audit.Options{Dir: o.Dir, Member: o.Member.Me, Incarnation: a.core.Incarnation(), Most: o.Most,
		Wall: o.Wall, Mono: a.mono})
	a.add(audit.Entry{Kind: audit.Start, Before: &before, Build: o.Build, File: o.File, Settings: o.Settings,
		Trust: o.Member.Trust.Milliseconds(), Incarnation: a.core.Incarnation()})
	return a, nil
}

// mono is the loop's clock in milliseconds since the start; the record is written in turns alone.
func (a *Agent) mono() int64 { return (a.o.Loop.Now() - a.began).Milliseconds() }

// Start begins to talk. It is called in a turn of the loop, once.
func (a *Agent) Start() {
	a.do(a.core.Start(a.o.Loop.Now()))
	a.spanAt = a.o.Loop.Now()
	a.tick()
}

// tick is a quarter of a beat.
func (a *Agent) tick() {
	if a.ended {
		return
	}
	now := a.o.Loop.Now()
	a.ticking = a.o.Loop.After(a.o.Member.Beat/4, a.tick)
	for _, name := range slices.Sorted(maps.Keys(a.links)) {
		a.mend(a.links[name], now)
	}
	for l, heard := range a.accepted {
		if now-heard > 4*heardOfBeats*a.o.Member.Beat {
			delete(a.accepted, l)
			l.Close()
		}
	}
	a.event(fleet.Event{Kind: fleet.Tick})
	if now-a.spanAt >= a.o.Span {
		a.span()
	}
	if wait := witnessBeats * a.o.Member.Beat; now-a.witnessAt >= wait || !a.witnessed && now-a.began > wait/5 { // soon at first: it may be killed young
		a.witness()
	}
}

// mend makes a link that is down, or that nothing was heard on, after a wait of full jitter that grows to ten beats: those who
// lost one peer together do not come back to it together.
func (a *Agent) mend(n *line, now time.Duration) {
	if n.link != nil && now-n.heard > heardOfBeats*a.o.Member.Beat {
		n.link.Close()
		a.down(n, "nothing heard")
	}
	if n.link == nil && now >= n.next {
		n.heard = now
		n.link = link.Dial(a.o.Network, a.o.Address[n.name], a.o.Member.Me, a.o.Keys, (*dialled)(&side{a, n}))
	}
}

func (a *Agent) down(n *line, why string) {
	n.link, n.up, n.failed = nil, false, why
	most := a.o.Member.Beat << min(n.tries, 4)
	n.tries++
	n.next = a.o.Loop.Now() + time.Duration(rand.Int64N(int64(min(most, 10*a.o.Member.Beat))))
	clear(n.pings)
}

// event feeds the core.
func (a *Agent) event(ev fleet.Event) {
	if !a.ended {
		a.do(a.core.Handle(a.o.Loop.Now(), ev))
	}
}

func (a *Agent) do(acts []fleet.Action) {
	for i := range acts {
		act := &acts[i]
		switch act.Kind {
		case fleet.Tell:
			a.tell(act.To, act.Word)
		case fleet.Store:
			serial := act.Serial
			a.state.save(act.State, func(err error) {
				a.o.Loop.Post(func() { a.event(fleet.Event{Kind: fleet.Stored, Serial: serial, Err: err}) })
			})
		case fleet.Check:
			id, err := act.Epoch.ID, a.o.Check(act.Epoch)
			a.o.Loop.Post(func() { a.event(fleet.Event{Kind: fleet.Checked, ID: id, Err: err}) })
		case fleet.Apply:
			a.span() // what was done until now was done under the one before
			a.o.Apply(act.Epoch)
			a.o.Log.Info("epoch adopted", "epoch", act.Epoch.ID.String(), "floor", act.Epoch.Floor)
		case fleet.Note:
			if act.Entry.Kind == audit.Refused {
				a.o.Log.Warn("refused", "epoch", act.Entry.Epoch, "peer", act.Entry.Peer, "why", act.Entry.Why)
			}
			a.add(act.Entry)
		case fleet.Stand:
			a.span()
			a.o.Log.Info("standing", "acts", act.Standing.Acts, "marked", act.Standing.Marked, "why", act.Standing.Why)
			a.o.Stand(act.Standing)
		}
	}
}

// MayTake says whether a request may be taken now. After a stop of the process it is the first to know.
func (a *Agent) MayTake() bool { return a.core.StandingAt(a.o.Loop.Now()).Acts }

// tell sends a word to a peer: on the link that this member made, or, where that is down, on the peer's own.
func (a *Agent) tell(to string, w fleet.Word) {
	w.Stamp, w.Wall, w.Mono, w.Head = a.clock.Now(a.o.Wall()), a.o.Wall(), a.mono(), a.log.Head()
	text, err := json.Marshal(w)
	if err != nil {
		a.o.Log.Error("a word that can't be written", "err", err) // of plain values: a fault of the program
		return
	}
	n := a.links[to]
	if n == nil {
		return
	}
	if w.Kind == fleet.Ping {
		n.pings[w.Number] = w.Mono
		for number := range n.pings {
			if number+200 < w.Number {
				delete(n.pings, number)
			}
		}
	}
	if n.up && n.link.Tell(link.Word, text) {
		n.bytes += int64(len(text))
		return
	}
	for l := range a.accepted {
		if l.Peer == to && l.Tell(link.Word, text) {
			n.bytes += int64(len(text))
			return
		}
	}
}

// heard takes a word that came by a link.
func (a *Agent) heard(from string, text []byte) error {
	var w fleet.Word
	if err := json.Unmarshal(text, &w); err != nil {
		return fmt.Errorf("%w: %w", frames.ErrContent, err)
	}
	n := a.links[w.From]
	if n == nil || w.From != from {
		return fmt.Errorf("%w: a word of %q on the link of %q", frames.ErrContent, w.From, from)
	}
	a.clock.Saw(w.Stamp)
	if sent, known := n.pings[w.Number]; w.Kind == fleet.Pong && known {
		delete(n.pings, w.Number)
		now := a.mono()
		n.off, n.err, n.known = w.Mono-(sent+now)/2, (now-sent)/2+1, true
		n.skew = w.Wall - a.o.Wall() + (now-sent)/2
	}
	a.event(fleet.Event{Kind: fleet.Heard, Word: w})
	return nil
}

// add writes an entry of the record.
func (a *Agent) add(e audit.Entry) {
	e.At = a.clock.Now(a.o.Wall())
	a.log.Add(e)
}

// span closes the span of what was done under the present epoch and standing.
func (a *Agent) span() {
	now := a.o.Loop.Now()
	since := (a.spanAt - a.began).Milliseconds()
	a.spanAt = now
	sent, classes := a.o.Done()
	done := make(map[string]audit.Count)
	for name, c := range classes {
		was := a.classes[name]
		if d := (audit.Count{Taken: c.Taken - was.Taken, Served: c.Served - was.Served, Refused: c.Refused - was.Refused, Failed: c.Failed - was.Failed}); d != (audit.Count{}) {
			done[name] = d
		}
	}
	n := sent - a.sent
	a.sent, a.classes = sent, maps.Clone(classes)
	if n == 0 && len(done) == 0 {
		return
	}
	e := audit.Entry{Kind: audit.Span, Since: since, Sent: n, Classes: done, Marked: a.core.Last().Marked, List: a.seq}
	if id := a.core.Acting(); id.Number > 0 {
		e.Epoch = &id
	}
	a.add(e)
}

// witness says how far the peers' records were, and how far their clocks were off.
func (a *Agent) witness() {
	a.witnessAt = a.o.Loop.Now()
	seen := make(map[string]audit.Seen)
	for _, p := range a.core.Peers() {
		if n := a.links[p.Name]; p.Head.Hash != "" && n.known {
			seen[p.Name] = audit.Seen{Head: p.Head, OffMs: n.off, ErrMs: n.err}
		}
	}
	if len(seen) > 0 {
		a.witnessed = true
		a.add(audit.Entry{Kind: audit.Witness, Seen: seen})
	}
}

// Command has an operator's call in the record, List the list that is acted on, Settings those of the platform.
func (a *Agent) Command(words string) { a.add(audit.Entry{Kind: audit.Command, Words: words}) }

// List notes the list of servers that is acted on; it goes into each span.
func (a *Agent) List(seq int64) { a.seq = seq }

// Settings notes that the platform's settings were read again.
func (a *Agent) Settings(digest string) {
	a.add(audit.Entry{Kind: audit.Command, Words: "settings", Settings: digest})
}

// Stop ends the member: its peers are told, and the record is closed with what was done. The disk is waited for in a goroutine, not
// here: done is called once nothing more is written, by that goroutine.
func (a *Agent) Stop(why string, done func()) {
	if a.ended {
		return
	}
	a.span()
	a.add(audit.Entry{Kind: audit.Stop, Why: why})
	a.do(a.core.Handle(a.o.Loop.Now(), fleet.Event{Kind: fleet.Leaving}))
	a.ended = true
	a.o.Loop.Deadlines.Drop(a.ticking)
	for _, n := range a.links {
		if n.link != nil {
			n.link.Finish()
		}
	}
	for l := range a.accepted {
		l.Finish()
	}
	state, record := a.state.end(), a.log.End()
	go func() {
		<-state
		<-record
		done()
	}()
}

// Opened takes a connection that a peer or a tool made.
func (a *Agent) Opened(c transport.Conn) transport.Handler {
	l := link.Accept(c, a.o.Member.Me, a.o.Keys, (*taken)(a))
	a.accepted[l] = a.o.Loop.Now()
	return l
}

// side is a link that this member made.
type side struct {
	a *Agent
	n *line
}

type dialled side

func (d *dialled) Up(l *link.Link) {
	if l.Peer != d.n.name {
		d.a.refuse(d.n.name, fmt.Errorf("at its address is %q", l.Peer))
		l.Close()
		d.a.down(d.n, "another member is there")
		return
	}
	d.n.up, d.n.tries, d.n.heard, d.n.failed = true, 0, d.a.o.Loop.Now(), ""
}

func (d *dialled) Heard(l *link.Link, kind frames.Kind, content []byte) {
	d.n.heard = d.a.o.Loop.Now()
	if kind != link.Word {
		return
	}
	if err := d.a.heard(l.Peer, content); err != nil {
		d.a.refuse(d.n.name, err)
		l.Close()
		d.a.down(d.n, err.Error())
	}
}

func (d *dialled) Down(l *link.Link, err error) {
	if d.n.link != l {
		return
	}
	if bad(err) {
		d.a.refuse(d.n.name, err)
	}
	d.a.down(d.n, err.Error())
}

// taken is the agent as the handler of links that others made.
type taken Agent

func (t *taken) Up(*link.Link) {}

func (t *taken) Heard(l *link.Link, kind frames.Kind, content []byte) {
	a := (*Agent)(t)
	a.accepted[l] = a.o.Loop.Now()
	var err error
	switch kind {
	case link.Word:
		err = a.heard(l.Peer, content)
	case link.Command:
		l.Tell(link.Reply, a.command(content))
	default:
		err = fmt.Errorf("%w: kind %d", frames.ErrContent, kind)
	}
	if err != nil {
		a.refuse(l.Peer, err)
		delete(a.accepted, l)
		l.Close()
	}
}

func (t *taken) Down(l *link.Link, err error) {
	a := (*Agent)(t)
	delete(a.accepted, l)
	if bad(err) {
		a.refuse(l.Peer, err)
	}
}

// bad says whether a link ended for what came by it: a cut or a restart is none of that.
func bad(err error) bool {
	for _, e := range []error{frames.ErrForeign, frames.ErrVersion, frames.ErrTooLarge, frames.ErrKey, frames.ErrMAC, frames.ErrReplayed, frames.ErrContent} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// refuse notes what a link brought that was not taken: the first of each kind and peer in the log, all in the count.
func (a *Agent) refuse(peer string, err error) {
	a.refused++
	if a.refused&(a.refused-1) == 0 { // the 1st, 2nd, 4th, 8th: whoever sends rubbish does not fill the disk
		a.add(audit.Entry{Kind: audit.Refused, Peer: peer, Why: err.Error()})
		a.o.Log.Warn("a link was refused", "peer", peer, "err", err, "so far", a.refused)
	}
}

// request is what a tool asks, and Status the answer.
type request struct {
	Verb    string          `json:"verb"` // status or roll-out
	Content json.RawMessage `json:"content,omitempty"`
}

// Status is how a member sees its fleet.
type Status struct {
	Error    string                `json:"error,omitempty"`
	Name     string                `json:"name"`
	Inc      uint64                `json:"incarnation"`
	Build    string                `json:"build"`
	Acting   audit.ID              `json:"acting"`
	Vote     audit.ID              `json:"vote"`
	Force    audit.ID              `json:"force"`
	Amnesiac bool                  `json:"amnesiac"`
	Votes    bool                  `json:"votes"`
	Standing fleet.StandingOf      `json:"standing"`
	Record   audit.Figures         `json:"record"`
	Head     audit.Head            `json:"head"`
	Refused  uint64                `json:"refused"`
	Peers    map[string]PeerStatus `json:"peers"`
}

// PeerStatus is how it sees one peer. Ages are in milliseconds, -1 for never.
type PeerStatus struct {
	State      fleet.PeerState `json:"state"`
	Inc        uint64          `json:"incarnation"`
	Acting     audit.ID        `json:"acting"`
	Vote       audit.ID        `json:"vote"`
	HeardMs    int64           `json:"heard_ms"`
	AnsweredMs int64           `json:"answered_ms"`
	Link       string          `json:"link"`    // "up", or why not
	SkewMs     int64           `json:"skew_ms"` // of its wall clock
	Bytes      int64           `json:"bytes"`   // of words to it
	Dropped    int             `json:"dropped"`
}

// command carries out a tool's call.
func (a *Agent) command(content []byte) []byte {
	var r request
	dec := json.NewDecoder(bytes.NewReader(content))
	dec.DisallowUnknownFields()
	s := a.Status()
	switch err := dec.Decode(&r); {
	case err != nil:
		s.Error = "the call makes no sense: " + err.Error()
	case r.Verb == "status":
	case r.Verb == "roll-out":
		e, err := fleet.Unpack(r.Content)
		var acts []fleet.Action
		if err == nil {
			acts, err = a.core.Propose(a.o.Loop.Now(), e)
		}
		if err != nil {
			s.Error = err.Error()
		}
		a.do(acts)
	default:
		s.Error = fmt.Sprintf("there is no call %q", r.Verb)
	}
	text, err := json.Marshal(s)
	if err != nil {
		return []byte(`{"error":"no answer can be written"}`)
	}
	return text
}

// Status returns how this member sees its fleet now.
func (a *Agent) Status() Status {
	now := a.o.Loop.Now()
	s := Status{Name: a.o.Member.Me, Inc: a.core.Incarnation(), Build: a.o.Build, Acting: a.core.Acting(), Vote: a.core.Vote(),
		Force: a.core.Force(), Amnesiac: a.core.Amnesiac(), Votes: a.core.Votes(), Standing: a.core.StandingAt(now), Record: a.log.Figures(), Head: a.log.Head(),
		Refused: a.refused, Peers: make(map[string]PeerStatus)}
	age := func(at time.Duration) int64 {
		if at < 0 {
			return -1
		}
		return (now - at).Milliseconds()
	}
	for _, p := range a.core.Peers() {
		n := a.links[p.Name]
		ps := PeerStatus{State: p.State, Inc: p.Inc, Acting: p.Adopted, Vote: p.Accepted, HeardMs: age(p.Heard), AnsweredMs: age(p.Answered),
			Link: "up", SkewMs: n.skew, Bytes: n.bytes}
		if !n.up {
			ps.Link = "down"
			if n.failed != "" {
				ps.Link += ": " + n.failed
			}
		} else {
			ps.Dropped = n.link.Dropped
		}
		s.Peers[p.Name] = ps
	}
	return s
}
