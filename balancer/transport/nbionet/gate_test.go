package nbionet

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"ravendale/balancer/transport"
)

func TestAcceptedConnections(t *testing.T) {
	e, o, accepted := startEngine(t)
	for range 10 { // more than the limit of open connections: closed ones don't count
		c, err := net.Dial("tcp", e.gates[0].Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		n := <-accepted
		if _, err := c.Write([]byte("ping")); err != nil {
			t.Fatal(err)
		}
		if got := <-n.data; string(got) != "ping" {
			t.Errorf("got %q", got)
		}
		o.run(func() { n.conn.Write([]byte("pong")) })
		back := make([]byte, 4)
		if _, err := io.ReadFull(c, back); err != nil || string(back) != "pong" {
			t.Errorf("got %q, %v", back, err)
		}
		o.run(func() { n.conn.Close() })
		if _, err := c.Read(back); !errors.Is(err, io.EOF) { // hung occasionally before Close shut the socket down
			t.Errorf("read after the close: %v", err)
		}
		_ = c.Close()
	}
}

// A listener may be inherited and shared with other processes. While its gate is paused, connections are left to the other
// listeners, and closing an engine, even one that never started, does not close the socket for them.
func TestInheritedListenerIsSharedAndPauses(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = held.Close() }()
	e, o, accepted := startEngine(t)
	file, err := held.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	fd, err := syscall.Dup(int(file.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	_ = file.Close()
	ln, err := Listen("ignored", fd)
	if err != nil {
		t.Fatal(err)
	}
	g := e.Serve(ln, 1, e.gates[0].targets[0].Accept)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", held.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	dial()
	first := <-accepted
	o.run(func() { first.conn.Close() })
	g.Pause()
	for out := false; !out; runtime.Gosched() { // waits for an Accept in progress, which may still accept one connection
		g.mu.Lock()
		out = g.open == 0
		g.mu.Unlock()
	}
	theirs := dial()
	c, err := held.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if c.RemoteAddr().String() != theirs.LocalAddr().String() {
		t.Fatal("accepted another connection")
	}
	g.Resume()
	dial()
	<-accepted
	e.Close()
	dial()
	if c, err = held.Accept(); err != nil {
		t.Fatal("ending the engine ended the shared listener: ", err)
	}
	_ = c.Close()
	New(Options{Loop: o, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}).Close()
}

// A connection accepted for an engine that closes meanwhile is closed and does not count as open.
func TestAcceptDuringCloseIsClosed(t *testing.T) {
	e, o, _ := startEngine(t)
	far, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = far.Close() }()
	client, err := net.Dial("tcp", far.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	late, err := far.Accept()
	if err != nil {
		t.Fatal(err)
	}
	e.Close()
	g := &Gate{}
	g.cond.L = &g.mu
	g.add()
	e.accepted(late, g, func(transport.Conn) transport.Handler {
		t.Error("the connection was passed to the owner")
		return newTestHandler()
	})
	o.run(func() {}) // after the turn that handles the connection
	_ = client.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Error("the client's read returns: ", err)
	}
	if g.mu.Lock(); g.open != 0 {
		t.Errorf("%d connections count as open", g.open)
	}
	g.mu.Unlock()
}
