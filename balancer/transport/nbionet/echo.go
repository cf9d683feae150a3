package nbionet

import (
	"fmt"
	"net"
	"os"
	"syscall"

	"github.com/lesismal/nbio"
)

// echo is a connection of an engine to itself.
type echo struct {
	fd      int // the far end
	pending []func()
}

// Echo has f called in a turn once all that had arrived by now, on any connection of this engine, has been handed over (up
// to readsATurn buffers of each). Its caller has the turn. It is a byte that goes through the poller twice: what was
// there before the first pass is brought in the same round as that at the latest, and the second is of a later round.
func (e *Engine) Echo(f func()) error {
	if e.echo == nil {
		near, far, err := pair()
		if err != nil {
			return fmt.Errorf("echo: %w", err)
		}
		e.echo = &echo{fd: far}
		hold(near, &conn{nb: near, open: true, handler: e.echo})
		if err := e.add(near); err != nil {
			return fmt.Errorf("echo: %w", err)
		}
	}
	e.echo.send(func() { e.echo.send(f) })
	return nil
}

// pair returns the two ends of a connection: one for the poller, and the descriptor of the other.
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

// send writes a byte. One that finds no room is not sent: so many are on their way already, and its f is lost with it.
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
