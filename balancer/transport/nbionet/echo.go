package nbionet

import (
	"fmt"
	"net"
	"os"
	"syscall"

	"github.com/lesismal/nbio"
)

// echo is a connection of an engine to itself, on which Echo sends bytes through the poller.
type echo struct {
	fd      int // the end that is not in the poller
	pending []func()
}

// Echo calls f, in a turn, after all data that has arrived by now on any connection of this engine (up to
// maxReadsPerConn buffers per connection) has been passed on. It must be called in a turn. It sends a byte through the
// poller twice: data that arrived before the first pass is read at the latest in the same poll round as the first byte,
// and the second byte is read in a later round.
func (e *Engine) Echo(f func()) error {
	if e.echo == nil {
		near, far, err := pair()
		if err != nil {
			return fmt.Errorf("echo: %w", err)
		}
		e.echo = &echo{fd: far}
		attachSession(near, &conn{nb: near, open: true, handler: e.echo})
		if err := e.add(near); err != nil {
			return fmt.Errorf("echo: %w", err)
		}
	}
	e.echo.send(func() { e.echo.send(f) })
	return nil
}

// pair returns the two ends of a connection: one for the poller, and the other as a descriptor.
func pair() (near *nbio.Conn, far int, err error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, 0, err
	}
	file := os.NewFile(uintptr(fds[0]), "pair")
	defer func() { _ = file.Close() }()
	std, err := net.FileConn(file)
	if err == nil {
		near, err = nbio.NBConn(std)
	}
	if err != nil {
		_ = syscall.Close(fds[1])
		return nil, 0, err
	}
	return near, fds[1], nil
}

// send writes a byte and queues f to be called when the byte is read. If the socket's buffer is full, it does neither: f is
// never called.
func (c *echo) send(f func()) {
	if _, err := syscall.Write(c.fd, []byte{0}); err == nil {
		c.pending = append(c.pending, f)
	}
}

func (c *echo) Connected() {}

func (c *echo) Data(b []byte) {
	due := c.pending[:len(b)]
	c.pending = c.pending[len(b):]
	for _, f := range due {
		f()
	}
}

func (c *echo) Closed(error) {}
