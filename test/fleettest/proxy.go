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

// fault describes what the proxy does to the bytes of one direction of a link.
type fault struct {
	Blackhole bool          // bytes are held back without an error to either side, as when a machine disappears or a switch drops packets
	Delay     time.Duration // each chunk is delayed by this time; the order is kept
	Corrupt   bool          // one bit of the next chunk is flipped
	Duplicate bool          // the next chunk is delivered twice
	Reset     bool          // the connection is reset after half of the next chunk has been written
}

// proxy forwards the connections that one member dials to another, in both directions.
type proxy struct {
	ln             net.Listener
	to             string
	mu             sync.Mutex
	faultsChanged  *sync.Cond
	faults         [2]fault // by direction: forward, backward
	conns          map[net.Conn]bool
	closed         bool
	affectedChunks [2]atomic.Int64 // number of chunks affected by a fault, by direction
	bytes          atomic.Int64
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
	p.faultsChanged = sync.NewCond(&p.mu)
	go p.acceptLoop()
	return p, nil
}

func (p *proxy) acceptLoop() {
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
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// pump copies bytes from one connection to the other and applies the direction's current fault to each chunk.
func (p *proxy) pump(to, from net.Conn, direction int) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		f, open := p.waitWhileBlackholed(direction, n > 0)
		if !open {
			break
		}
		chunk := b[:n]
		if n > 0 {
			p.bytes.Add(int64(n))
			if f.Delay > 0 {
				p.affectedChunks[direction].Add(1)
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
				p.affectedChunks[direction].Add(1)
				p.clearSingleChunkFaults(direction)
			}
			if _, err := to.Write(chunk); err != nil {
				break
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				reset(to) // pass a reset on to the other side
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

// waitWhileBlackholed blocks while the direction is blackholed. It returns the fault to apply, and false if the proxy is closed.
func (p *proxy) waitWhileBlackholed(direction int, hasData bool) (fault, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.faults[direction].Blackhole && !p.closed {
		if hasData {
			p.affectedChunks[direction].Add(1)
			hasData = false
		}
		p.faultsChanged.Wait()
	}
	return p.faults[direction], !p.closed
}

// clearSingleChunkFaults ends the faults that apply to one chunk only.
func (p *proxy) clearSingleChunkFaults(direction int) {
	p.mu.Lock()
	f := &p.faults[direction]
	f.Corrupt, f.Duplicate, f.Reset = false, false, false
	p.mu.Unlock()
}

// setFault replaces the fault of a direction.
func (p *proxy) setFault(direction int, f fault) {
	p.mu.Lock()
	p.faults[direction] = f
	p.mu.Unlock()
	p.faultsChanged.Broadcast()
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		reset(c)
	}
	p.mu.Unlock()
	p.faultsChanged.Broadcast()
	_ = p.ln.Close()
}
