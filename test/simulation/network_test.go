package simulation

import (
	"errors"
	"time"

	"ravendale/cluster/host"
	"ravendale/cluster/rpc"
)

// Delays of the simulated network.
const (
	minLatency = 300 * time.Microsecond
	maxLatency = 4 * time.Millisecond
	resendWait = 40 * time.Millisecond // retransmission interval of a packet that a partition holds up
	firstRetry = 30 * time.Millisecond // first reconnect delay of a link, as in package rpc
	lastRetry  = 150 * time.Millisecond
)

var (
	errRefused = errors.New("simulation: connection refused")
	errTimeout = errors.New("simulation: connect timed out")
)

// network is the state of the network between all machines: partitions, slow machines and message loss.
type network struct {
	world       *world
	partitioned map[[2]*machine]int // number of active partitions, by sender and receiver
	slowCount   map[*machine]int    // number of active slow-downs, by machine
	accepted    uint64              // number of connections that were accepted
	lossPercent int                 // percentage of messages among control processes that are dropped
}

// reaches reports whether a packet gets from one machine to another; the opposite direction may differ.
func (n *network) reaches(from, to *machine) bool { return n.partitioned[[2]*machine{from, to}] == 0 }

// latency draws the delay of one packet.
func (n *network) latency(from, to *machine) time.Duration {
	delay := n.world.drawBetween(minLatency, maxLatency)
	if n.slowCount[from]+n.slowCount[to] > 0 {
		delay += n.world.drawUpTo(60 * time.Millisecond)
	}
	return delay
}

// partition adds change to the number of partitions from each machine of one side to each of the other, and back unless
// oneWay is set: 1 begins a partition, -1 ends it.
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
			n.recordDisturbance(a, b)
		}
	}
}

// recordDisturbance records that the connectivity of two machines changed. Rules for machines in contact with the core
// apply again only after the contact bound.
func (n *network) recordDisturbance(a, b *machine) {
	_, first := a.program.(*control)
	_, second := b.program.(*control)
	switch {
	case first && second:
		n.world.coreDisturbedAt = n.world.now
	case first:
		b.disturbedAt = n.world.now
	case second:
		a.disturbedAt = n.world.now
	}
}

// endpoint is one end of a connection. It implements rpc.Transport.
type endpoint struct {
	network           *network
	incarnation       *incarnation
	peer              *endpoint
	conn              *rpc.Conn
	link              *link // nil at the accepting end
	inFlight          []packet
	deliveryScheduled bool
	lastArrival       time.Duration // arrival time of the packet sent last
	lastHeardAt       time.Duration
	failureTimeout    time.Duration // silence after which the peer counts as unresponsive
	closed            bool
}

type packet struct {
	at    time.Duration
	frame []byte // nil: the end of the connection
	cause error
}

// WriteFrame implements rpc.Transport.
func (e *endpoint) WriteFrame(frame []byte) {
	e.send(packet{frame: append([]byte(nil), frame...)})
}

// Close implements rpc.Transport.
func (e *endpoint) Close() {
	if e.closed {
		return
	}
	e.closed = true
	e.send(packet{cause: errReset})
	if e.link != nil {
		e.link.connectionClosed(e)
	}
}

func (e *endpoint) send(p packet) {
	n := e.network
	p.at = max(e.lastArrival, n.world.now+n.latency(e.incarnation.machine, e.peer.incarnation.machine))
	e.lastArrival = p.at
	e.inFlight = append(e.inFlight, p)
	e.scheduleDelivery()
}

// scheduleDelivery schedules the arrival of the first packet in flight, unless that is scheduled already.
func (e *endpoint) scheduleDelivery() {
	if e.deliveryScheduled || len(e.inFlight) == 0 {
		return
	}
	e.deliveryScheduled = true
	e.network.world.after(max(0, e.inFlight[0].at-e.network.world.now), e.deliverNext)
}

func (e *endpoint) deliverNext() {
	e.deliveryScheduled = false
	n, from, to := e.network, e.incarnation.machine, e.peer.incarnation.machine
	if e.peer.closed {
		e.inFlight = nil
	}
	if len(e.inFlight) == 0 || e.inFlight[0].at > n.world.now {
		e.scheduleDelivery()
		return
	}
	if !n.reaches(from, to) || to.poweredOff || from.poweredOff {
		e.inFlight[0].at = n.world.now + resendWait
		e.lastArrival = max(e.lastArrival, e.inFlight[0].at)
		if from.poweredOff && e.incarnation.ended {
			e.inFlight = nil // a crashed machine retransmits nothing
			return
		}
		e.scheduleDelivery()
		return
	}
	p := e.inFlight[0]
	e.inFlight = e.inFlight[1:]
	peer := e.peer
	deliver := peer.incarnation.guardRead(peer, func() {
		if p.frame == nil {
			peer.conn.Fail(p.cause)
			return
		}
		peer.conn.Deliver(p.frame)
	})
	deliver()
	e.scheduleDelivery()
}

// watchPeer fails the connection when the peer's process has ended or the peer was silent for the failure timeout.
func (e *endpoint) watchPeer() {
	if e.closed || e.incarnation.ended {
		return
	}
	n, peer := e.network, e.peer.incarnation.machine
	if !e.peer.incarnation.ended && !peer.frozen && n.reaches(peer, e.incarnation.machine) {
		e.lastHeardAt = n.world.now
	}
	if e.peer.incarnation.ended && !peer.poweredOff && n.reaches(peer, e.incarnation.machine) && n.reaches(e.incarnation.machine, peer) {
		e.conn.Fail(errReset)
		return
	}
	if n.world.now-e.lastHeardAt >= e.failureTimeout {
		e.conn.Fail(rpc.ErrUnresponsive)
		return
	}
	e.incarnation.after(watchEvery, e.watchPeer)
}

const watchEvery = 100 * time.Millisecond

// closeConnections closes the connections of a process that has ended. The machine's kernel resets them, unless the
// machine lost power.
func (n *network) closeConnections(l *incarnation) {
	for _, e := range l.ends {
		if e.closed {
			continue
		}
		e.closed = true
		e.inFlight = nil
		if !l.machine.poweredOff {
			e.send(packet{cause: errReset})
		}
	}
}

// link is an outgoing connection that reconnects. It implements host.Link.
type link struct {
	network     *network
	incarnation *incarnation
	address     string
	options     rpc.Options
	onUp        func(*rpc.Conn)
	onDown      func(error)
	end         *endpoint
	retry       time.Duration
	attempt     int // number of the current connection attempt; results of earlier ones are ignored
	closed      bool
}

func (n *network) connect(l *incarnation, address string, options rpc.Options, up func(*rpc.Conn), down func(error)) host.Link {
	if options.ConnectTimeout <= 0 {
		options.ConnectTimeout = rpc.DefaultConnectTimeout
	}
	if options.FailureTimeout <= 0 {
		options.FailureTimeout = rpc.DefaultFailureTimeout
	}
	k := &link{network: n, incarnation: l, address: address, options: options, onUp: up, onDown: down, retry: firstRetry}
	l.after(0, func() { k.dial(0) })
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

// ReconnectNow implements host.Link.
func (k *link) ReconnectNow() {
	if k.end == nil && !k.closed {
		k.retry = firstRetry
		k.attempt++
		attempt := k.attempt
		k.incarnation.after(0, func() { k.dial(attempt) })
	}
}

// Close implements host.Link.
func (k *link) Close() {
	k.closed = true
	if k.end != nil {
		k.end.conn.Close()
	}
}

func (k *link) dial(attempt int) {
	if k.closed || k.attempt != attempt || k.end != nil {
		return
	}
	n, from, to := k.network, k.incarnation.machine, k.network.world.byHost[k.address]
	if to == nil || to.poweredOff || !n.reaches(from, to) || !n.reaches(to, from) {
		k.incarnation.after(k.options.ConnectTimeout, func() { k.attemptFailed(attempt, errTimeout) })
		return
	}
	k.incarnation.after(n.latency(from, to)+n.latency(to, from), func() {
		switch {
		case k.attempt != attempt:
		case to.incarnation == nil:
			k.attemptFailed(attempt, errRefused)
		default:
			k.connected(to)
		}
	})
}

func (k *link) attemptFailed(attempt int, err error) {
	if k.closed || k.attempt != attempt {
		return
	}
	if k.onDown != nil {
		k.onDown(err)
	}
	k.scheduleRetry()
}

func (k *link) scheduleRetry() {
	if k.closed {
		return
	}
	k.attempt++
	attempt := k.attempt
	k.incarnation.after(k.retry/2+k.network.world.drawUpTo(k.retry), func() { k.dial(attempt) })
	k.retry = min(2*k.retry, lastRetry)
}

func (k *link) connected(to *machine) {
	if k.closed {
		return
	}
	k.retry = firstRetry
	n, now := k.network, k.network.world.now
	near := &endpoint{network: n, incarnation: k.incarnation, link: k, lastHeardAt: now, failureTimeout: k.options.FailureTimeout}
	far := &endpoint{network: n, incarnation: to.incarnation, lastHeardAt: now, failureTimeout: rpc.DefaultFailureTimeout, peer: near}
	near.peer = far
	near.conn = rpc.NewWithTransport(k.options, near)
	n.accepted++
	far.conn = rpc.AcceptWithTransport(rpc.Options{Mux: to.program.(listener).mux()}, far, n.accepted)
	k.incarnation.ends, to.incarnation.ends = append(k.incarnation.ends, near), append(to.incarnation.ends, far)
	k.end = near
	if program, ok := to.program.(*process); ok {
		program.accepted(to.incarnation, far.conn)
	}
	near.incarnation.after(watchEvery, near.watchPeer)
	far.incarnation.after(watchEvery, far.watchPeer)
	if k.onUp != nil {
		k.onUp(near.conn)
	}
}

// connectionClosed reports the end of a connection to its user and schedules a reconnect.
func (k *link) connectionClosed(e *endpoint) {
	if k.end != e {
		return
	}
	k.end = nil
	if k.closed {
		return
	}
	k.incarnation.after(0, func() {
		if !k.closed {
			if k.onDown != nil {
				k.onDown(errReset)
			}
			k.scheduleRetry()
		}
	})
}

// listener is a program that accepts connections.
type listener interface{ mux() *rpc.Mux }

// resetConnections breaks a random share of the connections of a machine and returns their number.
func (n *network) resetConnections(m *machine, share float64) (count int) {
	if m.incarnation == nil {
		return 0
	}
	for _, e := range append([]*endpoint(nil), m.incarnation.ends...) {
		if e.closed || n.world.random.Float64() >= share {
			continue
		}
		count++
		e.inFlight, e.peer.inFlight = nil, nil
		ends := []*endpoint{e, e.peer}
		for _, one := range ends {
			one.incarnation.after(0, func() { one.conn.Fail(errReset) })
		}
	}
	if count > 0 {
		m.noteDisturbance()
	}
	return count
}

// dropClosedEndpoints removes closed connections from the list of the process.
func (l *incarnation) dropClosedEndpoints() {
	kept := l.ends[:0]
	for _, e := range l.ends {
		if !e.closed {
			kept = append(kept, e)
		}
	}
	l.ends = kept
}
