package node

import (
	"errors"
	"fmt"
	"strings"

	"ravendale/balancer/http1"
	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
)

// process is a simulated process; it implements its own ports.
type process struct {
	*player
	loop      *scheduler.Loop
	node      *Node
	accepts   bool                                   // accepts clients
	successor func(transport.Conn) transport.Handler // accepts the connection of a process that takes over
	link      *pipe                                  // link to another process, the newest one
	links     []*pipe                                // links to all other processes

	loops   []*scheduler.Loop // of the cores, if it has several
	targets []accept
	choose  func() int
	deaf    bool // its poller is paused
}

func (p *process) Operators(string, int, func(transport.Conn) transport.Handler) error { return nil }

func (p *process) SetLimit(int) {}

func (p *process) Pause(paused bool) { p.accepts = !paused }

func (p *process) Peers(string, int, func(transport.Conn) transport.Handler) (func(), error) {
	return nil, errors.ErrUnsupported
}

func (p *process) Successors(_ string, accept func(transport.Conn) transport.Handler) error {
	p.successor = accept
	return nil
}

func (p *process) Clients(_ string, _, _ int, to []accept, choose func() int) error {
	p.accepts, p.targets, p.choose = true, to, choose
	return nil
}

func (p *process) Echo(f func()) error {
	if !p.deaf {
		p.loop.Post(f)
	}
	return nil
}

func (p *process) Core(i int) transport.Network { return &network{p, p.loops[i]} }

// network is the network of one core.
type network struct {
	*process
	loop *scheduler.Loop
}

func (n *network) Dial(addr string, h transport.Handler) transport.Conn {
	c := n.process.Dial(addr, h)
	if c, ok := c.(*peer); ok {
		c.loop = n.loop
	}
	return c
}

// pipe is one end of the connection between two processes.
type pipe struct {
	loop    *scheduler.Loop
	handler transport.Handler
	far     *pipe
	shut    bool
	given   []*peer // client connections that were passed with SendConn
}

func (c *pipe) SendConn(b []byte, conn transport.Conn) transport.PassedConn {
	client := conn.(*peer)
	c.far.loop.Post(func() { c.far.given = append(c.far.given, client) })
	c.Write(b)
	return client
}

func (c *pipe) ReceivedConn() transport.PassedConn {
	client := c.given[0]
	c.given = c.given[1:]
	return client
}

func (p *process) Adopt(core int, g transport.PassedConn, accept accept) error {
	c := g.(*peer)
	c.p, c.loop = p, append(p.loops, p.loop)[max(core, 0)]
	c.handler = accept(c)
	return nil
}

// toFar calls f with the handler of the other end, in its loop.
func (c *pipe) toFar(f func(transport.Handler)) {
	c.far.loop.Post(func() {
		if !c.far.shut {
			f(c.far.handler)
		}
	})
}

func (c *pipe) Write(b []byte) {
	half := len(b) / 2
	for _, part := range [][]byte{b[:half], b[half:]} {
		c.toFar(func(h transport.Handler) { h.Data(part) })
	}
}

func (c *pipe) Close() {
	c.shut = true
	c.toFar(func(h transport.Handler) { h.Closed(errors.New("closed")) })
}

func (c *pipe) Finish() {}

func (c *pipe) Ignore() {}

func (c *pipe) Unwritten() int { return 0 }

func (c *pipe) Peer() string { return "" }

// join connects a new process to the previous one, or refuses the connection if there is none.
func (p *process) join(h transport.Handler) transport.Conn {
	p.link = &pipe{loop: p.loop, handler: h}
	p.links = append(p.links, p.link)
	if len(p.procs) == 1 {
		p.link.far = p.link
		p.loop.Post(func() { h.Closed(errors.New("refused")) })
		return p.link
	}
	old := p.procs[1]
	old.link = &pipe{loop: old.loop, far: p.link}
	old.links = append(old.links, old.link)
	p.link.far = old.link
	old.loop.Post(func() { old.link.handler = old.successor(old.link) })
	p.loop.Post(h.Connected)
	return p.link
}

// Dial implements transport.Network.
func (p *process) Dial(addr string, h transport.Handler) transport.Conn {
	if strings.HasPrefix(addr, "/") {
		return p.join(h)
	}
	host, _, _ := strings.Cut(addr, ":")
	p.dials[host]++
	c := &peer{p: p, loop: p.loop, name: fmt.Sprintf("%s/%d", host, p.dials[host]), handler: h, dialled: true}
	p.peers[c.name] = c
	return c
}

func (p *process) do(f func()) {
	p.loop.Post(f)
	p.turn()
}

// peer is the remote end of one connection, and also the node's transport.Conn for it.
type peer struct {
	p       *process
	loop    *scheduler.Loop // the node's loop for the connection
	name    string
	handler transport.Handler
	dialled bool
	up      bool
	stuck   bool
	deaf    bool // the node discards received data
	ended   bool // the node has shut down its sending side; reset by said
	lost    int  // bytes that were never passed to the operating system
	shut    bool
	reqs    http1.Requests
	resps   http1.Responses
	seen    []string
}

func (c *peer) Write(b []byte) {
	switch {
	case c.stuck:
		c.lost += len(b)
	case c.dialled:
		c.reqs.Feed(b)
	default:
		c.resps.Feed(b)
	}
}

func (c *peer) Close() { c.shut = true }

func (c *peer) Finish() { c.deaf, c.ended = true, true }

func (c *peer) Ignore() { c.deaf = true }

func (c *peer) Drop() {}

func (c *peer) Unwritten() int { return c.lost }

func (c *peer) Peer() string { return c.name }

// said returns a summary of what the node has sent since the last call.
func (c *peer) said() string {
	for c.dialled {
		r, err := c.reqs.Next()
		if r == nil || err != nil {
			break
		}
		text := strings.Replace(r.Method+" "+r.Target, fullID(""), "", 1)
		for _, name := range []string{"X-Txn", "X-Remaining-Ms", "Idempotency-Key"} {
			if v := strings.TrimLeft(r.Header.Get(name), "0"); v != "" {
				text += " " + v
			}
		}
		c.seen = append(c.seen, strings.TrimSpace(text+" "+string(r.Body)))
	}
	for !c.dialled {
		r, err := c.resps.Next()
		if r == nil || err != nil {
			break
		}
		text := fmt.Sprint(r.Status)
		if r.Header.Get("Retry-After") != "" {
			text += " retry"
		}
		if r.Status == 200 {
			text += " " + strings.Join(strings.Fields(string(r.Body)), " ")
		}
		if r.Close {
			text += " close"
		}
		c.seen = append(c.seen, text)
	}
	if c.ended && !c.shut {
		c.seen = append(c.seen, "end")
	}
	if c.ended = false; c.shut {
		c.seen = append(c.seen, "closed")
	}
	text := strings.Join(c.seen, "; ")
	c.seen = nil
	if text == "" {
		return "nothing"
	}
	return text
}

// do calls f in a turn of the connection's loop.
func (c *peer) do(f func()) {
	c.loop.Post(f)
	c.p.turn()
}
