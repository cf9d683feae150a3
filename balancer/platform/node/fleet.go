package node

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"ravendale/balancer/audit"
	"ravendale/balancer/config"
	"ravendale/balancer/fleet"
	"ravendale/balancer/fleet/agent"
	"ravendale/balancer/frames"
	"ravendale/balancer/operator"
	"ravendale/balancer/transport"
)

// FleetOptions have a scheduler settle with others which policy epoch it acts under: see docs/fleet.md. Without them it opens no
// socket, file or goroutine for that.
type FleetOptions struct {
	File   operator.Fleet // with its defaults
	Keys   frames.Keys
	Build  int           // generation of the program
	Digest string        // of the operator's file
	Wall   func() int64  // Unix milliseconds
	Getenv config.Getenv // where the configuration is read again with an epoch's settings
	Read   config.ReadFile
}

// member is the scheduler's place in its fleet.
type member struct {
	o      FleetOptions
	agent  *agent.Agent // nil until the state on disk is this process's
	lock   *os.File
	stop   func()         // of the listener
	patch  []byte         // the settings of the epoch that is acted under
	stand  fleet.Standing // as last reported
	away   bool           // clients are sent away by an operator, whatever the fleet says
	left   chan struct{}  // closed once the place was let go of; nil until then
	ending bool           // the file's rule for one that is shut out
	waits  time.Duration  // since when the state is another process's
}

const (
	// lockEvery is how often a new process looks whether the one before has let go of the member's state.
	lockEvery = 50 * time.Millisecond
	// peerConns bounds the links of peers and tools; each peer makes one.
	peerConns = operator.MostMembers + 16
)

// Join makes the scheduler a member of a fleet. It is to be called before Run.
func (n *Node) Join(o FleetOptions) { n.fleet = &member{o: o} }

// enter takes the member's place once this process serves. The one before, in an upgrade, lets go of the state first: two that
// write one state could vote twice.
func (n *Node) enter() {
	m := n.fleet
	if m == nil || m.agent != nil {
		return
	}
	if m.waits == 0 {
		m.waits = n.loop.Now()
		n.setLimits()
		n.core.Gate(n.mayTake)
		n.stands(fleet.Standing{Acts: m.o.File.Alone != "stop", Marked: m.o.File.Alone != "stop", Why: fleet.WhyStarting})
	}
	err := os.MkdirAll(m.o.File.Dir, 0o755)
	if err == nil && m.lock == nil {
		m.lock, err = lockFile(filepath.Join(m.o.File.Dir, m.o.File.Name+".lock"))
	}
	if err == nil {
		err = n.joinFleet()
	}
	if err == nil {
		return
	}
	if now := n.loop.Now(); now-m.waits > 20*lockEvery {
		n.log.Warn("not in the fleet yet", "err", err)
		m.waits = now
	}
	n.loop.After(lockEvery, n.enter)
}

// lockFile is held for as long as the file is open; the kernel lets go of it when the process dies.
func lockFile(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("%s: another process has it: %w", path, err)
	}
	return f, nil
}

func (n *Node) joinFleet() error {
	m := n.fleet
	f := &m.o.File
	o := agent.Options{Loop: n.loop, Network: n.ports, Address: make(map[string]string), Dir: f.Dir, Keys: m.o.Keys, Span: f.Span,
		MaxRecord: f.Record, Log: n.log.With("fleet", f.Name), Build: fmt.Sprint(m.o.Build), File: m.o.Digest, Wall: m.o.Wall,
		Check: n.checkEpoch, Apply: n.applyEpoch, StandingChanged: n.stands, Done: n.done, Settings: n.settingsDigest(),
		Member: fleet.Config{Me: f.Name, Heartbeat: f.Heartbeat, Trust: f.Trust, Strict: f.Alone == "stop", Build: m.o.Build,
			Seed: n.cfg.Seed, Nonce: uint64(m.o.Wall())<<20 | uint64(os.Getpid())}}
	for _, p := range f.Members {
		o.Member.Names = append(o.Member.Names, p.Name)
		if p.Name != f.Name {
			o.Address[p.Name] = p.Address
		}
	}
	var a *agent.Agent
	stop, err := n.ports.Peers(f.Listen, peerConns, func(c transport.Conn) transport.Handler { return a.Opened(c) })
	if err != nil {
		return err
	}
	if a, err = agent.New(o); err != nil {
		stop()
		return err
	}
	m.agent, m.stop = a, stop
	a.Start()
	return nil
}

// leaveFleet lets go of the member's place: for the next process, or for good.
func (n *Node) leaveFleet(why string) {
	m := n.fleet
	if m == nil || m.agent == nil {
		return
	}
	m.stop()
	left, lock := make(chan struct{}), m.lock
	m.agent.Stop(why, func() {
		_ = lock.Close() // and with it the lock: the next process may have the state
		close(left)
	})
	m.agent, m.lock, m.left = nil, nil, left
}

// leftWithin bounds how long the end of a process waits for the record's disk.
const leftWithin = time.Second

// awaitLeft has the record whole before the process ends.
func (n *Node) awaitLeft() {
	if n.fleet == nil || n.fleet.left == nil {
		return
	}
	select {
	case <-n.fleet.left:
	case <-time.After(leftWithin):
		n.log.Warn("the record's disk does not answer")
	}
}

// fleetLinks is how many descriptors the fleet's links may take: each member makes one to each other, and tools call.
func (n *Node) fleetLinks() int {
	if n.fleet == nil {
		return 0
	}
	return 2*len(n.fleet.o.File.Members) + 16
}

// mayTake is the gate of new requests. After a stop of the process it knows before any timer does.
func (n *Node) mayTake() bool {
	if m := n.fleet; m.agent != nil {
		return m.agent.MayTake()
	}
	return n.fleet.stand.Acts
}

// stands has clients sent away while the member may not take their requests, and ends the process where the file says so.
func (n *Node) stands(s fleet.Standing) {
	m := n.fleet
	m.stand = s
	n.clients.SendAway(m.away || !s.Acts)
	if (s.Why == fleet.WhyBelow || s.Why == fleet.WhyReplaced) && m.o.File.ShutOut == "exit" && !m.ending {
		m.ending = true
		n.log.Error("shut out of the fleet", "why", s.Why)
		n.loop.Post(n.stop)
	}
}

// patched reads the configuration with an epoch's settings in it.
func (n *Node) patched(read config.ReadFile, patch []byte) config.ReadFile {
	if patch == nil {
		return read
	}
	return config.Patched(n.fleet.o.Getenv, read, func(settings []byte) ([]byte, error) { return fleet.Merge(settings, patch) })
}

// checkEpoch says why an epoch can't be acted under here.
func (n *Node) checkEpoch(e *fleet.Epoch) error {
	if e.Settings == nil {
		return nil
	}
	n.reading.Lock()
	defer n.reading.Unlock()
	_, ignored, err := n.read.Again(n.fleet.o.Getenv, n.patched(n.fleet.o.Read, e.Settings))
	if err == nil && len(ignored) > 0 {
		err = fmt.Errorf("%v can't change while the scheduler runs", ignored)
	}
	return err
}

// applyEpoch has the settings of an epoch in force from the next turn on, for new requests.
func (n *Node) applyEpoch(e *fleet.Epoch) {
	m := n.fleet
	if e.Settings == nil && m.patch == nil {
		return
	}
	n.reading.Lock()
	m.patch = e.Settings
	n.reading.Unlock()
	n.Reload(m.o.Getenv, m.o.Read)
}

// done is what the record's spans count.
func (n *Node) done() (int, map[string]audit.Count) {
	f := n.core.Figures()
	classes := make(map[string]audit.Count)
	for name, c := range f.Classes {
		classes[name] = audit.Count{Taken: c.Taken, Served: c.Answered, Refused: c.Deferred, Failed: c.Errored}
	}
	if a := n.fleet.agent; a != nil {
		a.List(n.table.Seq())
	}
	return f.Sends, classes
}

// settingsDigest names the platform's settings as they are acted on.
func (n *Node) settingsDigest() string {
	sum := sha256.Sum256([]byte(fmt.Sprintf("%+v", n.cfg.Settings)))
	return hex.EncodeToString(sum[:8])
}

// record notes an operator's call.
func (n *Node) record(words string) {
	if m := n.fleet; m != nil && m.agent != nil {
		m.agent.Command(words)
	}
}
