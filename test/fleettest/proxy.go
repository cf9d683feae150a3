package fleettest

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// fault is what happens to the bytes of one direction of a link.
type fault struct {
	Blackhole bool          // they are kept back, and nobody is told: a machine that vanished, a switch that drops
	Delay     time.Duration // each chunk comes so much later, in its order
	Corrupt   bool          // one bit of the next chunk is flipped
	Duplicate bool          // the next chunk comes twice
	Reset     bool          // the connection is reset at the next chunk, half of it written
}

// proxy stands on the link from one member to another, in both directions: the bytes of the one who dials, and what comes back.
type proxy struct {
	ln     net.Listener
	to     string
	mu     sync.Mutex
	cond   *sync.Cond
	faults [2]fault // out, back
	conns  map[net.Conn]bool
	closed bool
	hits   [2]atomic.Int64 // chunks that a fault did something to
	bytes  atomic.Int64
}

const (
	forward  = 0
	backward = 1
)

func newProxy(listen, to string) (*proxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &proxy{ln: ln, to: to, conns: make(map[net.Conn]bool)}
	p.cond = sync.NewCond(&p.mu)
	go p.run()
	return p, nil
}

func (p *proxy) run() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	d, err := net.Dial("tcp", p.to)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		reset(c)
		reset(d)
		return
	}
	p.conns[c], p.conns[d] = true, true
	p.mu.Unlock()
	go p.pump(c, d, backward)
	p.pump(d, c, forward)
}

func reset(c net.Conn) {
	if t, is := c.(*net.TCPConn); is {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// pump moves bytes, as the direction's fault has it when they come.
func (p *proxy) pump(to, from net.Conn, way int) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		f, open := p.wait(way, n > 0)
		if !open {
			break
		}
		chunk := b[:n]
		if n > 0 {
			p.bytes.Add(int64(n))
			if f.Delay > 0 {
				p.hits[way].Add(1)
				time.Sleep(f.Delay)
			}
			switch {
			case f.Corrupt:
				chunk[n/2] ^= 1
			case f.Duplicate:
				_, _ = to.Write(chunk)
			case f.Reset:
				_, _ = to.Write(chunk[:n/2])
				reset(to)
				reset(from)
			}
			if f.Corrupt || f.Duplicate || f.Reset {
				p.hits[way].Add(1)
				p.once(way)
			}
			if _, err := to.Write(chunk); err != nil {
				break
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				reset(to) // a reset on one side is one on the other
			}
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	p.mu.Lock()
	delete(p.conns, to)
	delete(p.conns, from)
	p.mu.Unlock()
}

// wait keeps bytes back while the direction is cut.
func (p *proxy) wait(way int, any bool) (fault, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.faults[way].Blackhole && !p.closed {
		if any {
			p.hits[way].Add(1)
			any = false
		}
		p.cond.Wait()
	}
	return p.faults[way], !p.closed
}

// once ends what happens to a single chunk.
func (p *proxy) once(way int) {
	p.mu.Lock()
	f := &p.faults[way]
	f.Corrupt, f.Duplicate, f.Reset = false, false, false
	p.mu.Unlock()
}

// set puts another fault on a direction.
func (p *proxy) set(way int, f fault) {
	p.mu.Lock()
	p.faults[way] = f
	p.mu.Unlock()
	p.cond.Broadcast()
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		reset(c)
	}
	p.mu.Unlock()
	p.cond.Broadcast()
	_ = p.ln.Close()
}
