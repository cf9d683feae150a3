package nbionet

import (
	"errors"
	"net"
	"sync"

	"ravendale/transport"
)

// local is a connection on a Unix socket, by the standard library and two goroutines. nbio v1.6.8 throws away what the
// system does not take of a write at once to such a socket (conn_unix.go:719 keeps the rest for TCP alone): a state of more
// than the socket's buffer reached the process that took over cut short, which then began without it.
type local struct {
	std  net.Conn
	loop Turns
	gate *Gate

	handler transport.Handler // the owner's, like gone
	gone    bool

	mu     sync.Mutex
	more   sync.Cond
	queue  [][]byte
	queued int
	ended  bool
}

// serveLocal takes a connection over; begin is called in the first turn, and returns its handler.
func (e *Engine) serveLocal(l *local, std net.Conn, begin func() transport.Handler) {
	e.loop.Post(func() {
		if l.std = std; l.gone {
			l.release()
			return
		}
		if l.handler = begin(); l.gone {
			return
		}
		go l.write()
		go l.read()
	})
}

func newLocal(loop Turns, g *Gate) *local {
	l := &local{loop: loop, gate: g}
	l.more.L = &l.mu
	return l
}

func (l *local) read() {
	buf := make([]byte, readBuffer)
	for {
		n, err := l.std.Read(buf)
		if n > 0 && l.loop.Begin() {
			if !l.gone {
				l.handler.Data(buf[:n])
			}
			l.loop.End()
		}
		if err != nil {
			l.loop.Post(func() {
				if !l.gone {
					l.release()
					l.handler.Closed(err)
				}
			})
			return
		}
	}
}

func (l *local) write() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		for len(l.queue) == 0 && !l.ended {
			l.more.Wait()
		}
		if l.ended {
			return
		}
		all := net.Buffers(l.queue)
		l.queue = nil
		l.mu.Unlock()
		n, err := all.WriteTo(l.std)
		l.mu.Lock()
		l.queued -= int(n)
		if err != nil {
			return // the reader tells
		}
	}
}

// maxQueued is how many bytes may wait for the other process. One that does not read is as good as gone.
const maxQueued = 16 << 20

var errBehind = errors.New("the other process does not read")

func (l *local) Write(b []byte) {
	if l.gone {
		return
	}
	l.mu.Lock()
	l.queue = append(l.queue, append([]byte(nil), b...))
	l.queued += len(b)
	behind := l.queued > maxQueued
	l.mu.Unlock()
	l.more.Signal()
	if behind {
		l.release()
		l.loop.Post(func() { l.handler.Closed(errBehind) })
	}
}

func (l *local) Unwritten() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queued
}

func (l *local) Ignore() {}
func (l *local) Finish() {}

// Close ends the connection; the handler hears no more.
func (l *local) Close() {
	if !l.gone {
		l.release()
	}
}

// release gives back what it holds, in the owner's turn.
func (l *local) release() {
	l.gone = true
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	l.more.Signal()
	if l.std != nil {
		_ = l.std.Close()
	}
	if l.gate != nil {
		l.gate.left()
		l.gate = nil
	}
}
