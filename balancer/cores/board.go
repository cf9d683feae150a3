package cores

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Lease is how long after its decision a send may begin. An older decision is based on an outdated state of the fleet: the
	// send ends as not sent, and the module decides again.
	Lease = 250 * time.Millisecond
	// SlowStartLease is the lease for a server in its slow start. The module charges the budget of such a server when it
	// decides, but the sends count in the window in which they are written, and a core that was paused writes all pending ones
	// at once. With this lease a window of 2 s holds at most the sends decided within 2.1 s.
	SlowStartLease = 100 * time.Millisecond
	// PulseTimeout is the maximum age of the last pulse: see Board.RecordPulse. A drain must take effect within 750 ms of its
	// notification. The decider has read the notification by its next pulse; without a pulse no core begins a send.
	PulseTimeout = 300 * time.Millisecond
	// Pulse is the interval at which the decider shows that it is processing its input.
	Pulse = 50 * time.Millisecond
)

// Board is the state that all cores read before they send. Only the decider writes it.
type Board struct {
	last atomic.Int64 // time of the last pulse

	mu      sync.RWMutex
	servers map[string]*Server
	load    []int // number of servers of each core
}

// NewBoard returns an empty board for the given number of cores.
func NewBoard(cores int) *Board {
	return &Board{servers: make(map[string]*Server), load: make([]int, cores)}
}

// Server is one backend server on the board; it exists for as long as the server is listed.
type Server struct {
	Core  int // the core that holds all connections to the server
	addr  atomic.Pointer[string]
	epoch atomic.Uint64 // incremented by each Avoid, which invalidates earlier permits
}

// RecordPulse records a pulse: every event that had arrived for the decider by that time has been applied to the board.
func (b *Board) RecordPulse(at time.Duration) {
	b.last.Store(int64(at))
}

// Stale reports whether the last pulse is older than PulseTimeout, so that no send may begin.
func (b *Board) Stale(now time.Duration) bool { return now-time.Duration(b.last.Load()) > PulseTimeout }

// Server returns a server, or nil if it is not listed.
func (b *Board) Server(name string) *Server {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.servers[name]
}

// Address returns the address of a server, "" if it is not listed.
func (b *Board) Address(name string) string {
	if s := b.Server(name); s != nil {
		if addr := s.addr.Load(); addr != nil {
			return *addr
		}
	}
	return ""
}

// List sets the address of a server. A new server is assigned to the core with the fewest servers.
func (b *Board) List(name, addr string) {
	if s := b.Server(name); s != nil {
		s.addr.Store(&addr)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &Server{}
	for i, n := range b.load {
		if n < b.load[s.Core] {
			s.Core = i
		}
	}
	b.load[s.Core]++
	s.addr.Store(&addr)
	b.servers[name] = s
}

// Drop removes a server that is gone.
func (b *Board) Drop(name string) {
	b.Avoid(name)
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[name]; s != nil {
		b.load[s.Core]--
		delete(b.servers, name)
	}
}

// Avoid revokes all permits for a server, on whatever core: sends that were decided and have not begun must not begin.
func (b *Board) Avoid(name string) {
	if s := b.Server(name); s != nil {
		s.epoch.Add(1)
	}
}

// Permit allows a core to execute one decision to send, until it expires or is revoked.
type Permit struct {
	board     *Board
	server    *Server
	epoch     uint64
	decided   time.Duration
	warmingUp bool
}

// Permit returns a permit for a send that is decided now, or nil if the server is not listed.
func (b *Board) Permit(server string, now time.Duration, warmingUp bool) *Permit {
	s := b.Server(server)
	if s == nil {
		return nil
	}
	return &Permit{b, s, s.epoch.Load(), now, warmingUp}
}

// Core returns the core that must execute the send.
func (p *Permit) Core() int { return p.server.Core }

// MayBegin reports whether the first byte may be written at the given time. It enforces the rules on drains and slow starts
// even if a core or the decider is paused between a decision and its execution.
func (p *Permit) MayBegin(now time.Duration) bool {
	lease := Lease
	if p.warmingUp {
		lease = SlowStartLease
	}
	return p.server.epoch.Load() == p.epoch && now-p.decided <= lease && !p.board.Stale(now)
}
