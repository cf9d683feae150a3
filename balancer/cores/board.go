package cores

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Lease is how long after its decision a send may begin. What was decided longer ago was decided on a fleet that has
	// changed since: it goes back unsent, and is decided anew.
	Lease = 250 * time.Millisecond
	// SlowStartLease is that for a server in its slow start. The module counts the budget of a server in its slow start when it
	// decides; sends that a core that stood still writes all at once count in the window in which they are written. A window of 2
	// s then holds at most what was decided in 2.1 s.
	SlowStartLease = 100 * time.Millisecond
	// PulseTimeout is how old the last pulse may be: see Board.Heard. A drain is to be kept within 750 ms of being told; what
	// the decider had not read by then it has read by the next pulse, or no core begins anything.
	PulseTimeout = 300 * time.Millisecond
	// Pulse is how often the decider shows that it hears.
	Pulse = 50 * time.Millisecond
)

// Board is what all cores read before they send. The decider alone writes it.
type Board struct {
	heard atomic.Int64

	mu      sync.RWMutex
	servers map[string]*Server
	load    []int // servers by core
}

// NewBoard returns an empty board for so many cores.
func NewBoard(cores int) *Board {
	return &Board{servers: make(map[string]*Server), load: make([]int, cores)}
}

// Server is one backend server, for as long as it is listed.
type Server struct {
	Core  int // that serves it: all its connections are there
	addr  atomic.Pointer[string]
	epoch atomic.Uint64 // counts the times that it was to be avoided
}

// Heard notes a pulse: everything that had arrived for the decider by then has had its effect on the board.
func (b *Board) Heard(at time.Duration) {
	b.heard.Store(int64(at))
}

// Deaf says whether the last pulse is too old for anything to begin.
func (b *Board) Deaf(now time.Duration) bool { return now-time.Duration(b.heard.Load()) > PulseTimeout }

// Server returns a server, or nil if it is not listed.
func (b *Board) Server(name string) *Server {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.servers[name]
}

// Address is where a server listens, "" if it is not listed.
func (b *Board) Address(name string) string {
	if s := b.Server(name); s != nil {
		if addr := s.addr.Load(); addr != nil {
			return *addr
		}
	}
	return ""
}

// List notes where a server listens. A new one goes to the core that serves the fewest.
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

// Drop forgets a server that is gone.
func (b *Board) Drop(name string) {
	b.Avoid(name)
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[name]; s != nil {
		b.load[s.Core]--
		delete(b.servers, name)
	}
}

// Avoid undoes every send to a server that was decided and has not begun, on whatever core it is.
func (b *Board) Avoid(name string) {
	if s := b.Server(name); s != nil {
		s.epoch.Add(1)
	}
}

// Permit is a decision to send, as the core has it that is to execute it.
type Permit struct {
	board     *Board
	server    *Server
	epoch     uint64
	decided   time.Duration
	warmingUp bool
}

// Permit returns one for a send that is decided now, or nil for a server that is not listed.
func (b *Board) Permit(server string, now time.Duration, warmingUp bool) *Permit {
	s := b.Server(server)
	if s == nil {
		return nil
	}
	return &Permit{b, s, s.epoch.Load(), now, warmingUp}
}

// Core is the core that is to execute it.
func (p *Permit) Core() int { return p.server.Core }

// MayBegin says whether the first byte may be written at a time. It guards the rules on drains and slow starts where
// a core, or the decider, stands still between a decision and its sending.
func (p *Permit) MayBegin(now time.Duration) bool {
	lease := Lease
	if p.warmingUp {
		lease = SlowStartLease
	}
	return p.server.epoch.Load() == p.epoch && now-p.decided <= lease && !p.board.Deaf(now)
}
