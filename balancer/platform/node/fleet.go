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

// FleetOptions configure the membership in a fleet, whose schedulers agree on the policy epoch that they act under: see
// docs/fleet.md. Without them the scheduler opens no socket or file and starts no goroutine for a fleet.
type FleetOptions struct {
	File   operator.Fleet // with defaults applied
	Keys   frames.Keys
	Build  int           // generation of the program
	Digest string        // digest of the operator's file
	Wall   func() int64  // wall clock in Unix milliseconds
	Getenv config.Getenv // environment and files from which the configuration is read again with an epoch's settings
	Read   config.ReadFile
}

// member is the state of the scheduler's membership in its fleet.
type member struct {
	o            FleetOptions
	agent        *agent.Agent // nil until this process owns the state on disk
	lock         *os.File
	stop         func()         // closes the listener
	patch        []byte         // the settings of the current epoch
	standing     fleet.Standing // standing, as last reported by the agent
	away         bool           // an operator has sent clients away, whatever the standing is
	left         chan struct{}  // closed once the state on disk is released; nil before leaveFleet
	ending       bool           // the process is stopping because the member is shut out
	waitingSince time.Duration  // when waiting for another process's state on disk began, or was last logged
}

const (
	// lockEvery is the interval at which a new process tries to lock the member's state, until the previous one releases it.
	lockEvery = 50 * time.Millisecond
	// peerConns bounds the incoming links from peers and tools; each peer opens one.
	peerConns = operator.MaxMembers + 16
)

// Join makes the scheduler a member of a fleet. It must be called before Run.
func (n *Node) Join(o FleetOptions) { n.fleet = &member{o: o} }

// enter joins the fleet once this process serves. It retries until the previous process, in an upgrade, has released the member's
// state: two processes that write the same state could vote twice.
func (n *Node) enter() {
	m := n.fleet
	if m == nil || m.agent != nil {
		return
	}
	if m.waitingSince == 0 {
		m.waitingSince = n.loop.Now()
		n.setLimits()
		n.core.Gate(n.mayTake)
		n.standingChanged(fleet.Standing{Acts: m.o.File.Alone != "stop", Marked: m.o.File.Alone != "stop", Why: fleet.WhyStarting})
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
	if now := n.loop.Now(); now-m.waitingSince > 20*lockEvery {
		n.log.Warn("can't join the fleet yet; retrying", "err", err)
		m.waitingSince = now
	}
	n.loop.After(lockEvery, n.enter)
}

// lockFile locks a file until it is closed; the kernel also releases the lock when the process ends.
func lockFile(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("%s: locked by another process: %w", path, err)
	}
	return f, nil
}

func (n *Node) joinFleet() error {
	m := n.fleet
	f := &m.o.File
	o := agent.Options{Loop: n.loop, Network: n.ports, Address: make(map[string]string), Dir: f.Dir, Keys: m.o.Keys, Span: f.Span,
		MaxRecord: f.Record, Log: n.log.With("fleet", f.Name), Build: fmt.Sprint(m.o.Build), File: m.o.Digest, Wall: m.o.Wall,
		Check: n.checkEpoch, Apply: n.applyEpoch, StandingChanged: n.standingChanged, Done: n.done, Settings: n.settingsDigest(),
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

// leaveFleet stops the fleet's agent and releases the member's state, for the next process or for good.
func (n *Node) leaveFleet(why string) {
	m := n.fleet
	if m == nil || m.agent == nil {
		return
	}
	m.stop()
	left, lock := make(chan struct{}), m.lock
	m.agent.Stop(why, func() {
		_ = lock.Close() // releases the lock, so that the next process can take over the state
		close(left)
	})
	m.agent, m.lock, m.left = nil, nil, left
}

// leftWithin bounds how long the end of a process waits for the audit record to be written.
const leftWithin = time.Second

// awaitLeft waits until the audit record is written completely, before the process ends.
func (n *Node) awaitLeft() {
	if n.fleet == nil || n.fleet.left == nil {
		return
	}
	select {
	case <-n.fleet.left:
	case <-time.After(leftWithin):
		n.log.Warn("timed out writing the end of the audit record")
	}
}

// fleetLinks returns how many descriptors the fleet's links may use: each member opens one to each other member, and tools
// connect as well.
func (n *Node) fleetLinks() int {
	if n.fleet == nil {
		return 0
	}
	return 2*len(n.fleet.o.File.Members) + 16
}

// mayTake reports whether new requests may be accepted. After a pause of the process it notices an expired permission before
// any timer fires.
func (n *Node) mayTake() bool {
	if m := n.fleet; m.agent != nil {
		return m.agent.MayTake()
	}
	return n.fleet.standing.Acts
}

// standingChanged handles a change of the member's standing: it sends clients away while the member may not accept requests,
// and stops the process if the member is shut out and the file asks for that.
func (n *Node) standingChanged(s fleet.Standing) {
	m := n.fleet
	m.standing = s
	n.clients.SendAway(m.away || !s.Acts)
	if (s.Why == fleet.WhyBelow || s.Why == fleet.WhyReplaced) && m.o.File.ShutOut == "exit" && !m.ending {
		m.ending = true
		n.log.Error("shut out of the fleet; stopping", "why", s.Why)
		n.loop.Post(n.stop)
	}
}

// patched returns a function that reads the configuration files with an epoch's settings merged in.
func (n *Node) patched(read config.ReadFile, patch []byte) config.ReadFile {
	if patch == nil {
		return read
	}
	return config.Patched(n.fleet.o.Getenv, read, func(settings []byte) ([]byte, error) { return fleet.Merge(settings, patch) })
}

// checkEpoch returns an error if this scheduler can't act under the epoch.
func (n *Node) checkEpoch(e *fleet.Epoch) error {
	if e.Settings == nil {
		return nil
	}
	n.reading.Lock()
	defer n.reading.Unlock()
	_, ignored, err := n.read.Reload(n.fleet.o.Getenv, n.patched(n.fleet.o.Read, e.Settings))
	if err == nil && len(ignored) > 0 {
		err = fmt.Errorf("%v can't change while the scheduler runs", ignored)
	}
	return err
}

// applyEpoch puts the settings of an epoch into force from the next turn on, for new requests.
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

// done returns the counts for the spans of the audit record: sends, and requests by class.
func (n *Node) done() (int, map[string]audit.Count) {
	f := n.core.Figures()
	classes := make(map[string]audit.Count)
	for name, c := range f.Classes {
		classes[name] = audit.Count{Taken: c.Taken, Served: c.Answered, Refused: c.Deferred, Failed: c.Errored}
	}
	if a := n.fleet.agent; a != nil {
		a.SetListSeq(n.table.Seq())
	}
	return f.Sends, classes
}

// settingsDigest returns a digest of the settings in force.
func (n *Node) settingsDigest() string {
	sum := sha256.Sum256([]byte(fmt.Sprintf("%+v", n.cfg.Settings)))
	return hex.EncodeToString(sum[:8])
}

// record adds an operator's call to the audit record.
func (n *Node) record(words string) {
	if m := n.fleet; m != nil && m.agent != nil {
		m.agent.Command(words)
	}
}
