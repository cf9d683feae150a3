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

// Time limits of connections among members. They carry heartbeats continuously.
const (
	pingAfter   = 800 * time.Millisecond
	peerTimeout = 1600 * time.Millisecond
	pruneEvery  = 5 * time.Second
)

// links holds the connections to other processes of the core. Of two connections between the same processes, the one
// that was opened by the process with the lower address is used; the other one serves while that is not established.
type links struct {
	core     *Core
	options  rpc.Options
	prunedAt time.Time

	mu       sync.Mutex
	closed   bool
	outbound map[string]*rpc.Link
	inbound  map[string]*rpc.Conn
	newest   map[string]uint64 // accept order of the newest inbound connection, by the other process's address
}

func (l *links) init(c *Core) {
	l.core = c
	l.options = rpc.Options{Mux: c.config.Mux, PingAfter: pingAfter, FailureTimeout: peerTimeout}
	l.outbound, l.inbound = make(map[string]*rpc.Link), make(map[string]*rpc.Conn)
	l.newest = make(map[string]uint64)
	l.prunedAt = time.Now()
}

func (l *links) send(messages []outboundMessage) {
	if len(messages) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, message := range messages {
		if conn := l.conn(message.To); conn != nil {
			_ = conn.Notify(methodOf(message.Message), message.Message) // a lost message is sent again
		}
	}
	if time.Since(l.prunedAt) >= pruneEvery {
		l.prune()
	}
}

// conn returns the connection to an address, and opens one if this process should have one and has none.
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
	link := rpc.NewLink(address, l.options, l.core.identify, func(err error) {
		if errors.Is(err, syscall.ECONNREFUSED) {
			l.core.step(func(now time.Duration) { l.core.node.Refused(now, address) })
		}
	})
	l.outbound[address] = link
	return link
}

// prune closes links to addresses that are not known any more.
func (l *links) prune() {
	l.prunedAt = time.Now()
	known := l.core.node.Addresses()
	for address, link := range l.outbound {
		if !slices.Contains(known, address) {
			link.Close()
			delete(l.outbound, address)
		}
	}
	for address := range l.newest {
		if !slices.Contains(known, address) && l.inbound[address] == nil {
			delete(l.newest, address)
		}
	}
}

// registerInbound records a connection that the other process has opened, once its heartbeat names its address. It
// replaces and closes an older one, but never a newer one: after a pause of this process they may be read in any order.
func (l *links) registerInbound(address string, conn *rpc.Conn) (inbound bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if link := l.outbound[address]; link != nil && link.Conn() == conn || conn.AcceptOrder() < l.newest[address] {
		return false
	}
	if replaced := l.inbound[address]; replaced != nil && replaced != conn {
		replaced.Close()
	}
	l.inbound[address], l.newest[address] = conn, conn.AcceptOrder()
	return true
}

// isOutdated reports whether a connection was opened by a process from whose address a newer connection has come since.
// The other end has closed it, or an earlier process had it, so its messages may be older than those that were handled
// already. The protocols tolerate that they are lost: their senders repeat them.
func (l *links) isOutdated(address string, conn *rpc.Conn) bool {
	if conn.AcceptOrder() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return conn.AcceptOrder() < l.newest[address]
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, link := range l.outbound {
		link.Close()
	}
}

// openConns returns the open connections to the given addresses, in the same order.
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

// identify sends a heartbeat, which identifies this process: the peer ignores all messages before it.
func (c *Core) identify(conn *rpc.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running && c.node.ready() {
		_ = conn.Notify(methodHeartbeat, c.node.heartbeat(c.now()))
	}
}

// register registers the handlers of the core's messages.
func (c *Core) register() {
	for _, kind := range messageKinds {
		c.config.Mux.Handle(kind.method, func(conn *rpc.Conn, payload []byte, _ rpc.Reply) {
			message := kind.newMessage()
			if _, err := message.UnmarshalMsg(payload); err != nil {
				c.config.Log.Warn("failed to decode a message", "peer", conn.RemoteAddress(), "method", kind.method, "error", err)
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
				c.identify(conn)
			}
		}
	}
	from, ok := conn.Tag().(view.Member)
	if !ok {
		return
	}
	if c.links.isOutdated(from.Address, conn) {
		conn.Close() // if the other end still has it open, it opens another one
		return
	}
	c.step(func(now time.Duration) { c.node.Receive(now, from, message) })
}
