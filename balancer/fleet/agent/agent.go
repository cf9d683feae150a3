package agent

import (
	"fmt"
	"log/slog"
	"maps"
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
	Loop      *scheduler.Loop
	Network   transport.Network
	Member    fleet.Config
	Address   map[string]string // of the others, by name
	Dir       string            // of the state and the record
	Keys      frames.Keys
	Span      time.Duration // how long a span of the record is at most
	MaxRecord int64         // bytes of the record
	Log       *slog.Logger

	Build, File, Settings string // what the process runs: of the program, digests of the operator's file and the settings

	// Check says whether an epoch could be acted under, and Apply has it acted under, between two turns.
	Check func(*fleet.Epoch) error
	Apply func(*fleet.Epoch)
	// StandingChanged is called when the member may take requests, or not any more.
	StandingChanged func(fleet.Standing)
	// Done counts what was done since the start: attempts sent, and requests by class.
	Done func() (sent int, classes map[string]audit.Count)
	Wall func() int64 // the system's clock in Unix milliseconds: shown, never trusted
}

// Agent is one member.
type Agent struct {
	o         Options
	core      *fleet.Core
	clock     audit.Clock
	log       *audit.Log
	startedAt time.Duration

	links    map[string]*peerLink
	accepted map[*link.Link]time.Duration // those that others made, and when the last message came
	state    *stateWriter

	sent      int // at the last span
	classes   map[string]audit.Count
	spanAt    time.Duration
	witnessAt time.Duration
	witnessed bool
	listSeq   int64 // of the list of servers
	ticking   *deadline.Deadline
	stopped   bool
	refused   uint64 // frames and links
}

// New reads the member's disk. A state that is torn or changed is set aside: what it might have promised is asked of the peers.
func New(o Options) (*Agent, error) {
	began := o.Loop.Now()
	a := &Agent{o: o, startedAt: began, links: make(map[string]*peerLink), accepted: make(map[*link.Link]time.Duration),
		classes: make(map[string]audit.Count)}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	path := filepath.Join(o.Dir, o.Member.Me+".state")
	disk, err := loadState(path)
	if err != nil {
		renamed := fmt.Sprintf("%s.%d.bad", path, a.o.Wall())
		o.Log.Error("damaged state renamed", "err", err, "file", path, "as", renamed)
		if err := os.Rename(path, renamed); err != nil {
			return nil, fmt.Errorf("fleet: %w", err)
		}
	}
	o.Member.Fresh = uint64(a.o.Wall() / 1000)
	if a.core, err = fleet.New(o.Member, disk); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for name := range o.Address {
		a.links[name] = &peerLink{name: name, pings: make(map[uint64]int64)}
	}
	a.state = newStateWriter(path)
	var before audit.Head
	a.log, before = audit.Open(audit.Options{Dir: o.Dir, Member: o.Member.Me, Incarnation: a.core.Incarnation(), Most: o.MaxRecord,
		Wall: o.Wall, Mono: a.mono})
	a.add(audit.Entry{Kind: audit.Start, Before: &before, Build: o.Build, File: o.File, Settings: o.Settings,
		Trust: o.Member.Trust.Milliseconds(), Incarnation: a.core.Incarnation()})
	return a, nil
}

// mono is the loop's clock in milliseconds since the start; the record is written in turns alone.
func (a *Agent) mono() int64 { return (a.o.Loop.Now() - a.startedAt).Milliseconds() }

// Start begins to connect and to send. It is called in a turn of the loop, once.
func (a *Agent) Start() {
	a.execute(a.core.Start(a.o.Loop.Now()))
	a.spanAt = a.o.Loop.Now()
	a.tick()
}

// tick comes each quarter of a heartbeat.
func (a *Agent) tick() {
	if a.stopped {
		return
	}
	now := a.o.Loop.Now()
	a.ticking = a.o.Loop.After(a.o.Member.Heartbeat/4, a.tick)
	for _, name := range slices.Sorted(maps.Keys(a.links)) {
		a.reconnect(a.links[name], now)
	}
	for l, heard := range a.accepted {
		if now-heard > 4*reconnectHeartbeats*a.o.Member.Heartbeat {
			delete(a.accepted, l)
			l.Close()
		}
	}
	a.event(fleet.Event{Kind: fleet.Tick})
	if now-a.spanAt >= a.o.Span {
		a.span()
	}
	if wait := witnessHeartbeats * a.o.Member.Heartbeat; now-a.witnessAt >= wait || !a.witnessed && now-a.startedAt > wait/5 { // soon at first: it may be killed young
		a.witness()
	}
}

// event feeds the core.
func (a *Agent) event(ev fleet.Event) {
	if !a.stopped {
		a.execute(a.core.Handle(a.o.Loop.Now(), ev))
	}
}

func (a *Agent) execute(acts []fleet.Action) {
	for i := range acts {
		act := &acts[i]
		switch act.Kind {
		case fleet.Send:
			a.send(act.To, act.Message)
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
		case fleet.Record:
			if act.Entry.Kind == audit.Refused {
				a.o.Log.Warn("refused", "epoch", act.Entry.Epoch, "peer", act.Entry.Peer, "why", act.Entry.Why)
			}
			a.add(act.Entry)
		case fleet.StandingChanged:
			a.span()
			a.o.Log.Info("standing", "acts", act.Standing.Acts, "marked", act.Standing.Marked, "why", act.Standing.Why)
			a.o.StandingChanged(act.Standing)
		}
	}
}

// MayTake says whether a request may be taken now. After a stop of the process it is the first to know.
func (a *Agent) MayTake() bool { return a.core.StandingAt(a.o.Loop.Now()).Acts }

// Stop ends the member: its peers are notified, and the record is closed with what was done. The disk is waited for in a
// goroutine, not here: done is called once nothing more is written, by that goroutine.
func (a *Agent) Stop(why string, done func()) {
	if a.stopped {
		return
	}
	a.span()
	a.add(audit.Entry{Kind: audit.Stop, Why: why})
	a.execute(a.core.Handle(a.o.Loop.Now(), fleet.Event{Kind: fleet.Leaving}))
	a.stopped = true
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
