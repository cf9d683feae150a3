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

// Options configures an Agent.
type Options struct {
	Loop      *scheduler.Loop
	Network   transport.Network
	Member    fleet.Config
	Address   map[string]string // addresses of the other members, by name
	Dir       string            // directory of the state file and of the audit record
	Keys      frames.Keys
	Span      time.Duration // longest interval that one span entry of the record covers
	MaxRecord int64         // size limit of the audit record, in bytes
	Log       *slog.Logger

	Build, File, Settings string // what the process runs: the program's build, and digests of the operator's file and of the settings

	// Check reports whether the scheduler could run under an epoch. Apply switches the scheduler to an epoch, between two
	// turns of the loop.
	Check func(*fleet.Epoch) error
	Apply func(*fleet.Epoch)
	// StandingChanged is called when the member's permission to take requests changes.
	StandingChanged func(fleet.Standing)
	// Done returns the totals since the start: attempts sent, and requests by class.
	Done func() (sent int, classes map[string]audit.Count)
	Wall func() int64 // the system's clock in Unix milliseconds: only displayed and recorded, no decision depends on it
}

// Agent runs one member of the fleet.
type Agent struct {
	options   Options
	core      *fleet.Core
	clock     audit.Clock
	log       *audit.Log
	startedAt time.Duration

	links    map[string]*peerLink
	accepted map[*link.Link]time.Duration // links that others dialled, and when each received its last frame
	state    *stateWriter

	sent      int // attempts sent in total, as of the last span entry
	classes   map[string]audit.Count
	spanAt    time.Duration
	witnessAt time.Duration
	witnessed bool
	listSeq   int64 // sequence number of the list of servers
	nextTick  *deadline.Deadline
	stopped   bool
	refused   uint64 // number of frames and links refused
}

// New loads the member's state from disk. A damaged state file is renamed; the member then asks its peers which votes it
// might have cast.
func New(o Options) (*Agent, error) {
	startedAt := o.Loop.Now()
	a := &Agent{options: o, startedAt: startedAt, links: make(map[string]*peerLink), accepted: make(map[*link.Link]time.Duration),
		classes: make(map[string]audit.Count)}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	path := filepath.Join(o.Dir, o.Member.Me+".state")
	disk, err := loadState(path)
	if err != nil {
		renamed := fmt.Sprintf("%s.%d.bad", path, a.options.Wall())
		o.Log.Error("damaged state renamed", "err", err, "file", path, "as", renamed)
		if err := os.Rename(path, renamed); err != nil {
			return nil, fmt.Errorf("fleet: %w", err)
		}
	}
	o.Member.Fresh = uint64(a.options.Wall() / 1000)
	if a.core, err = fleet.New(o.Member, disk); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for name := range o.Address {
		a.links[name] = &peerLink{name: name, pings: make(map[uint64]int64)}
	}
	a.state = newStateWriter(path)
	var previousHead audit.Head
	a.log, previousHead = audit.Open(audit.Options{Dir: o.Dir, Member: o.Member.Me, Incarnation: a.core.Incarnation(), MaxBytes: o.MaxRecord,
		Wall: o.Wall, Mono: a.mono})
	a.add(audit.Entry{Kind: audit.Start, Before: &previousHead, Build: o.Build, File: o.File, Settings: o.Settings,
		Trust: o.Member.Trust.Milliseconds(), Incarnation: a.core.Incarnation()})
	return a, nil
}

// mono returns the loop's clock in milliseconds since the start. Entries of the record are added only in turns of the loop.
func (a *Agent) mono() int64 { return (a.options.Loop.Now() - a.startedAt).Milliseconds() }

// Start starts dialling the peers and sending messages. Call it once, in a turn of the loop.
func (a *Agent) Start() {
	a.execute(a.core.Start(a.options.Loop.Now()))
	a.spanAt = a.options.Loop.Now()
	a.tick()
}

// tick runs every quarter of a heartbeat.
func (a *Agent) tick() {
	if a.stopped {
		return
	}
	now := a.options.Loop.Now()
	a.nextTick = a.options.Loop.After(a.options.Member.Heartbeat/4, a.tick)
	for _, name := range slices.Sorted(maps.Keys(a.links)) {
		a.reconnect(a.links[name], now)
	}
	for l, lastReceived := range a.accepted {
		if now-lastReceived > 4*reconnectHeartbeats*a.options.Member.Heartbeat {
			delete(a.accepted, l)
			l.Close()
		}
	}
	a.event(fleet.Event{Kind: fleet.Tick})
	if now-a.spanAt >= a.options.Span {
		a.span()
	}
	if wait := witnessHeartbeats * a.options.Member.Heartbeat; now-a.witnessAt >= wait || !a.witnessed && now-a.startedAt > wait/5 { // the first one comes early: the process may be killed soon after its start
		a.witness()
	}
}

// event passes an event to the core and executes the resulting actions.
func (a *Agent) event(ev fleet.Event) {
	if !a.stopped {
		a.execute(a.core.Handle(a.options.Loop.Now(), ev))
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
				a.options.Loop.Post(func() { a.event(fleet.Event{Kind: fleet.Stored, Serial: serial, Err: err}) })
			})
		case fleet.Check:
			id, err := act.Epoch.ID, a.options.Check(act.Epoch)
			a.options.Loop.Post(func() { a.event(fleet.Event{Kind: fleet.Checked, ID: id, Err: err}) })
		case fleet.Apply:
			a.span() // closes the span of the previous epoch
			a.options.Apply(act.Epoch)
			a.options.Log.Info("epoch adopted", "epoch", act.Epoch.ID.String(), "floor", act.Epoch.Floor)
		case fleet.Record:
			if act.Entry.Kind == audit.Refused {
				a.options.Log.Warn("epoch or message refused", "epoch", act.Entry.Epoch, "peer", act.Entry.Peer, "why", act.Entry.Why)
			}
			a.add(act.Entry)
		case fleet.StandingChanged:
			a.span()
			a.options.Log.Info("standing changed", "acts", act.Standing.Acts, "marked", act.Standing.Marked, "why", act.Standing.Why)
			a.options.StandingChanged(act.Standing)
		}
	}
}

// MayTake reports whether this member may take a request now. It reads the clock, so it is right even at once after the
// process was suspended, before any tick.
func (a *Agent) MayTake() bool { return a.core.StandingAt(a.options.Loop.Now()).Acts }

// Stop ends the member: it notifies the peers and closes the record with the last span. It does not wait for the disk; a
// goroutine of its own does, and calls done once all writes have ended.
func (a *Agent) Stop(why string, done func()) {
	if a.stopped {
		return
	}
	a.span()
	a.add(audit.Entry{Kind: audit.Stop, Why: why})
	a.execute(a.core.Handle(a.options.Loop.Now(), fleet.Event{Kind: fleet.Leaving}))
	a.stopped = true
	a.options.Loop.Deadlines.Drop(a.nextTick)
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
