package simulation

import (
	"errors"
	"time"

	"ravendale/cluster/host"
	"ravendale/cluster/rpc"
)

// Times of the network.
const (
	leastWay   = 300 * time.Microsecond
	mostWay    = 4 * time.Millisecond
	resendWait = 40 * time.Millisecond // of what a partition holds up
	firstRetry = 30 * time.Millisecond // of a link, as rpc has it
	lastRetry  = 150 * time.Millisecond
)

var (
	errRefused = errors.New("simulation: connection refused")
	errTimeout = errors.New("simulation: no answer to a connect")
)

// network says which machines reach which.
type network struct {
	world       *world
	partitioned map[[2]*machine]int // from, to: how many cuts hold
	slow        map[*machine]int    // how many slow-downs hold
	lossy       int                 // of messages among control processes, in hundredths
}

// passes says whether a packet gets from one machine to the other.
func (n *network) passes(from, to *machine) bool { return n.partitioned[[2]*machine{from, to}] == 0 }

// way is how long a packet takes.
func (n *network) way(from, to *machine) time.Duration {
	way := n.world.between(leastWay, mostWay)
	if n.slow[from]+n.slow[to] > 0 {
		way += n.world.upTo(60 * time.Millisecond)
	}
	return way
}

// partition cuts the way from each of one side to each of the other, and back unless it is one way only. The cut must be mended by join.
func (n *network) partition(side, others []*machine, oneWay bool, change int) {
	for _, a := range side {
		for _, b := range others {
			if a == b {
				continue
			}
			n.partitioned[[2]*machine{a, b}] += change
			if !oneWay {
				n.partitioned[[2]*machine{b, a}] += change
			}
		}
	}
	for _, a := range side {
		for _, b := range others {
			n.disturbed(a, b)
		}
	}
}

// disturbed notes what a change of the ways between two machines means for the rules that hold for machines in touch.
func (n *network) disturbed(a, b *machine) {
	_, first := a.program.(*control)
	_, second := b.program.(*control)
	switch {
	case first && second:
		n.world.coreHarmed = n.world.now
	case first:
		b.harmed = n.world.now
	case second:
		a.harmed = n.world.now
	}
}

// end is one end of a connection. It implements rpc.Transport.
type end struct {
	network        *network
	incarnation    *incarnation
	peer           *end
	conn           *rpc.Conn
	link           *link // of the end that connected
	sent           []packet
	pumping        bool
	arrives        time.Duration // of the packet sent last
	heard          time.Duration
	failureTimeout time.Duration // after which it gives the peer up
	closed         bool
}

type packet struct {
	at    time.Duration
	frame []byte // nil: the end of the connection
	cause error
}

// WriteFrame implements rpc.Transport.
func (e *end) WriteFrame(frame []byte) {
	e.send(packet{frame: append([]byte(nil), frame...)})
}

// Close implements rpc.Transport.
func (e *end) Close() {
	if e.closed {
		return
	}
	e.closed = true
	e.send(packet{cause: errReset})
	if e.link != nil {
		e.link.lost(e)
	}
}

func (e *end) send(p packet) {
	n := e.network
	p.at = max(e.arrives, n.world.now+n.way(e.incarnation.machine, e.peer.incarnation.machine))
	e.arrives = p.at
	e.sent = append(e.sent, p)
	e.pump()
}

// pump has the first packet on its way arrive.
func (e *end) pump() {
	if e.pumping || len(e.sent) == 0 {
		return
	}
	e.pumping = true
	e.network.world.after(max(0, e.sent[0].at-e.network.world.now), e.arrive)
}

func (e *end) arrive() {
	e.pumping = false
	n, from, to := e.network, e.incarnation.machine, e.peer.incarnation.machine
	if e.peer.closed {
		e.sent = nil
	}
	if len(e.sent) == 0 || e.sent[0].at > n.world.now {
		e.pump()
		return
	}
	if !n.passes(from, to) || to.dark || from.dark {
		e.sent[0].at = n.world.now + resendWait
		e.arrives = max(e.arrives, e.sent[0].at)
		if from.dark && e.incarnation.dead {
			e.sent = nil // it has forgotten
			return
		}
		e.pump()
		return
	}
	p := e.sent[0]
	e.sent = e.sent[1:]
	peer := e.peer
	deliver := peer.incarnation.guard(func() {
		if p.frame == nil {
			peer.conn.Fail(p.cause)
			return
		}
		peer.conn.Deliver(p.frame)
	})
	deliver()
	e.pump()
}

// watch gives up a peer that is silent.
func (e *end) watch() {
	if e.closed || e.incarnation.dead {
		return
	}
	n, peer := e.network, e.peer.incarnation.machine
	if !e.peer.incarnation.dead && !peer.frozen && n.passes(peer, e.incarnation.machine) {
		e.heard = n.world.now
	}
	if e.peer.incarnation.dead && !peer.dark && n.passes(peer, e.incarnation.machine) && n.passes(e.incarnation.machine, peer) {
		e.conn.Fail(errReset)
		return
	}
	if n.world.now-e.heard >= e.failureTimeout {
		e.conn.Fail(rpc.ErrUnresponsive)
		return
	}
	e.incarnation.after(watchEvery, e.watch)
}

const watchEvery = 100 * time.Millisecond

// stopped closes the connections of a process that has ended: its system says so to others, unless it has no power.
func (n *network) stopped(l *incarnation) {
	for _, e := range l.ends {
		if e.closed {
			continue
		}
		e.closed = true
		e.sent = nil
		if !l.machine.dark {
			e.send(packet{cause: errReset})
		}
	}
}

// link implements host.Link.
type link struct {
	network     *network
	incarnation *incarnation
	address     string
	options     rpc.Options
	up          func(*rpc.Conn)
	down        func(error)
	end         *end
	retry       time.Duration
	turn        int // counts attempts: an earlier one is given up
	closed      bool
}

func (n *network) connect(l *incarnation, address string, options rpc.Options, up func(*rpc.Conn), down func(error)) host.Link {
	if options.ConnectTimeout <= 0 {
		options.ConnectTimeout = rpc.DefaultConnectTimeout
	}
	if options.FailureTimeout <= 0 {
		options.FailureTimeout = rpc.DefaultFailureTimeout
	}
	k := &link{network: n, incarnation: l, address: address, options: options, up: up, down: down, retry: firstRetry}
	l.after(0, func() { k.dialAt(0) })
	return k
}

// Address implements host.Link.
func (k *link) Address() string { return k.address }

// Conn implements host.Link.
func (k *link) Conn() *rpc.Conn {
	if k.end == nil {
		return nil
	}
	return k.end.conn
}

// Hurry implements host.Link.
func (k *link) Hurry() {
	if k.end == nil && !k.closed {
		k.retry = firstRetry
		k.turn++
		turn := k.turn
		k.incarnation.after(0, func() { k.dialAt(turn) })
	}
}

// Close implements host.Link.
func (k *link) Close() {
	k.closed = true
	if k.end != nil {
		k.end.conn.Close()
	}
}

func (k *link) dialAt(turn int) {
	if k.closed || k.turn != turn || k.end != nil {
		return
	}
	n, from, to := k.network, k.incarnation.machine, k.network.world.byHost[k.address]
	if to == nil || to.dark || !n.passes(from, to) || !n.passes(to, from) {
		k.incarnation.after(k.options.ConnectTimeout, func() { k.failed(turn, errTimeout) })
		return
	}
	k.incarnation.after(n.way(from, to)+n.way(to, from), func() {
		switch {
		case k.turn != turn:
		case to.incarnation == nil:
			k.failed(turn, errRefused)
		default:
			k.connected(to)
		}
	})
}

func (k *link) failed(turn int, err error) {
	if k.closed || k.turn != turn {
		return
	}
	if k.down != nil {
		k.down(err)
	}
	k.again()
}

func (k *link) again() {
	if k.closed {
		return
	}
	k.turn++
	turn := k.turn
	k.incarnation.after(k.retry/2+k.network.world.upTo(k.retry), func() { k.dialAt(turn) })
	k.retry = min(2*k.retry, lastRetry)
}

func (k *link) connected(to *machine) {
	if k.closed {
		return
	}
	k.retry = firstRetry
	n, now := k.network, k.network.world.now
	near := &end{network: n, incarnation: k.incarnation, link: k, heard: now, failureTimeout: k.options.FailureTimeout}
	far := &end{network: n, incarnation: to.incarnation, heard: now, failureTimeout: rpc.DefaultFailureTimeout, peer: near}
	near.peer = far
	near.conn = rpc.NewWithTransport(k.options, near)
	far.conn = rpc.NewWithTransport(rpc.Options{Mux: to.program.(listener).mux()}, far)
	k.incarnation.ends, to.incarnation.ends = append(k.incarnation.ends, near), append(to.incarnation.ends, far)
	k.end = near
	if program, ok := to.program.(*process); ok {
		program.accepted(to.incarnation, far.conn)
	}
	near.incarnation.after(watchEvery, near.watch)
	far.incarnation.after(watchEvery, far.watch)
	if k.up != nil {
		k.up(near.conn)
	}
}

// lost tells that the connection has ended.
func (k *link) lost(e *end) {
	if k.end != e {
		return
	}
	k.end = nil
	if k.closed {
		return
	}
	k.incarnation.after(0, func() {
		if !k.closed {
			if k.down != nil {
				k.down(errReset)
			}
			k.again()
		}
	})
}

// listener is a program that others connect to.
type listener interface{ mux() *rpc.Mux }

// reset breaks some of the connections of a machine.
func (n *network) reset(m *machine, share float64) (count int) {
	if m.incarnation == nil {
		return 0
	}
	for _, e := range append([]*end(nil), m.incarnation.ends...) {
		if e.closed || n.world.random.Float64() >= share {
			continue
		}
		count++
		e.sent, e.peer.sent = nil, nil
		ends := []*end{e, e.peer}
		for _, one := range ends {
			one.incarnation.after(0, func() { one.conn.Fail(errReset) })
		}
	}
	if count > 0 {
		m.harm()
	}
	return count
}

// tidy forgets connections that have ended.
func (l *incarnation) tidy() {
	kept := l.ends[:0]
	for _, e := range l.ends {
		if !e.closed {
			kept = append(kept, e)
		}
	}
	l.ends = kept
}
