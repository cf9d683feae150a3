package node

import (
	"errors"
	"fmt"
	"strings"

	"ravendale/balancer/http1"
	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
)

// process is one process, and its ports.
type process struct {
	*player
	loop      *scheduler.Loop
	node      *Node
	takes     bool                                   // clients
	successor func(transport.Conn) transport.Handler // takes the call of a process that takes over
	twin      *pipe                                  // to the other one, the newest
	links     []*pipe                                // to all others

	loops   []*scheduler.Loop // of the cores, if it has several
	targets []accept
	choose  func() int
	deaf    bool // its poller stands still
}

func (p *process) Operators(string, int, func(transport.Conn) transport.Handler) error { return nil }

func (p *process) SetLimit(int) {}

func (p *process) Pause(paused bool) { p.takes = !paused }

func (p *process) Peers(string, int, func(transport.Conn) transport.Handler) (func(), error) {
	return nil, errors.ErrUnsupported
}

func (p *process) Successors(_ string, accept func(transport.Conn) transport.Handler) error {
	p.successor = accept
	return nil
}

func (p *process) Clients(_ string, _, _ int, to []accept, choose func() int) error {
	p.takes, p.targets, p.choose = true, to, choose
	return nil
}

func (p *process) Echo(f func()) error {
	if !p.deaf {
		p.loop.Post(f)
	}
	return nil
}

func (p *process) Core(i int) transport.Network { return &network{p, p.loops[i]} }

// network is that of one core.
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
	given   []*peer // connections that came
}

func (c *pipe) SendConn(b []byte, conn transport.Conn) transport.Given {
	client := conn.(*peer)
	c.far.loop.Post(func() { c.far.given = append(c.far.given, client) })
	c.Write(b)
	return client
}

func (c *pipe) Given() transport.Given {
	client := c.given[0]
	c.given = c.given[1:]
	return client
}

func (p *process) Adopt(core int, g transport.Given, accept accept) error {
	c := g.(*peer)
	c.p, c.loop = p, append(p.loops, p.loop)[max(core, 0)]
	c.handler = accept(c)
	return nil
}

// toFar has the other end hear of something.
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

// join connects a new process to the one before it, or finds none there.
func (p *process) join(h transport.Handler) transport.Conn {
	p.twin = &pipe{loop: p.loop, handler: h}
	p.links = append(p.links, p.twin)
	if len(p.procs) == 1 {
		p.twin.far = p.twin
		p.loop.Post(func() { h.Closed(errors.New("refused")) })
		return p.twin
	}
	old := p.procs[1]
	old.twin = &pipe{loop: old.loop, far: p.twin}
	old.links = append(old.links, old.twin)
	p.twin.far = old.twin
	old.loop.Post(func() { old.twin.handler = old.successor(old.twin) })
	p.loop.Post(h.Connected)
	return p.twin
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

// peer is the far end of one connection, and the near end's transport.Conn.
type peer struct {
	p       *process
	loop    *scheduler.Loop // of the near end
	name    string
	handler transport.Handler
	dialled bool
	up      bool
	stuck   bool
	deaf    bool // the near end throws away what comes
	ended   bool // and has said that nothing follows
	lost    int  // bytes never handed to the system
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

// said sums up what the near end sent since it was last asked.
func (c *peer) said() string {
	for c.dialled {
		r, err := c.reqs.Next()
		if r == nil || err != nil {
			break
		}
		text := strings.Replace(r.Method+" "+r.Target, long(""), "", 1)
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

// do has f called in a turn of the near end's loop.
func (c *peer) do(f func()) {
	c.loop.Post(f)
	c.p.turn()
}
