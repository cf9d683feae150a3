package core

import (
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/rpc"
	"ravendale/control/view"
)

// Time limits of connections among members, which carry heartbeats all the time.
const (
	pingAfter   = 800 * time.Millisecond
	peerTimeout = 1600 * time.Millisecond
	pruneEvery  = 5 * time.Second
)

// links are the connections to other processes of the core. Between two, the one that the process with the lower address opened is
// used; another serves while that is not there.
type links struct {
	core    *Core
	options rpc.Options
	pruned  time.Time

	mu       sync.Mutex
	closed   bool
	outbound map[string]*rpc.Link
	inbound  map[string]*rpc.Conn
}

func (l *links) init(c *Core) {
	l.core = c
	l.options = rpc.Options{Mux: c.config.Mux, PingAfter: pingAfter, FailureTimeout: peerTimeout}
	l.outbound, l.inbound = make(map[string]*rpc.Link), make(map[string]*rpc.Conn)
	l.pruned = time.Now()
}

func (l *links) send(messages []outboundMessage) {
	if len(messages) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range messages {
		if conn := l.conn(p.To); conn != nil {
			_ = conn.Notify(methodOf(p.Message), p.Message) // what is lost is sent again
		}
	}
	if time.Since(l.pruned) >= pruneEvery {
		l.prune()
	}
}

// conn finds the connection to an address, and has one opened if there should be.
func (l *links) conn(address string) *rpc.Conn {
	inbound := l.inbound[address]
	if inbound != nil && inbound.Err() != nil {
		delete(l.inbound, address)
		inbound = nil
	}
	link := l.outbound[address]
	if inbound != nil && address < l.core.address {
		if link != nil {
			link.Close()
			delete(l.outbound, address)
		}
		return inbound
	}
	if link == nil && !l.closed {
		link = l.open(address)
	}
	if link != nil {
		if conn := link.Conn(); conn != nil && conn.Err() == nil {
			return conn
		}
	}
	return inbound
}

func (l *links) open(address string) *rpc.Link {
	link := rpc.NewLink(address, l.options, l.core.greet, func(err error) {
		if errors.Is(err, syscall.ECONNREFUSED) {
			l.core.step(func(now time.Duration) { l.core.node.Refused(now, address) })
		}
	})
	l.outbound[address] = link
	return link
}

// prune closes links to addresses that are of no interest any more.
func (l *links) prune() {
	l.pruned = time.Now()
	known := l.core.node.Addresses()
	for address, link := range l.outbound {
		if !slices.Contains(known, address) {
			link.Close()
			delete(l.outbound, address)
		}
	}
}

// registerInbound records a connection whose other end has said who it is, unless this process opened it.
func (l *links) registerInbound(address string, conn *rpc.Conn) (inbound bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if link := l.outbound[address]; link != nil && link.Conn() == conn {
		return false
	}
	l.inbound[address] = conn
	return true
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, link := range l.outbound {
		link.Close()
	}
}

// openConns returns the connections to addresses that are open, in the order of the addresses.
func (l *links) openConns(addresses []string) []*rpc.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var conns []*rpc.Conn
	for _, address := range addresses {
		if conn := l.conn(address); conn != nil {
			conns = append(conns, conn)
		}
	}
	return conns
}

// greet tells a peer who is at this end of a connection: nothing else is heeded before.
func (c *Core) greet(conn *rpc.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running && c.node.ready() {
		_ = conn.Notify(methodHeartbeat, c.node.heartbeat(c.now()))
	}
}

// register has the core's messages handled.
func (c *Core) register() {
	for _, kind := range kinds {
		c.config.Mux.Handle(kind.method, func(conn *rpc.Conn, payload []byte, _ rpc.Reply) {
			message := kind.empty()
			if _, err := message.UnmarshalMsg(payload); err != nil {
				c.config.Log.Warn("message that can't be read", "peer", conn.RemoteAddress(), "method", kind.method, "error", err)
				return
			}
			c.receive(conn, message)
		})
	}
	rpc.Handle(c.config.Mux, methodForward, c.onForward)
}

func (c *Core) receive(conn *rpc.Conn, message msgp.Unmarshaler) {
	if received, ok := message.(*heartbeat); ok {
		if conn.Tag() != received.Member {
			conn.SetTag(received.Member)
			if c.links.registerInbound(received.Member.Address, conn) {
				c.greet(conn)
			}
		}
	}
	from, ok := conn.Tag().(view.Member)
	if !ok {
		return
	}
	c.step(func(now time.Duration) { c.node.Receive(now, from, message) })
}
