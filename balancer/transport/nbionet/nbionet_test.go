package nbionet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
)

// Dial must connect to the given address: nbio's own dialler connects to 0.0.0.0 instead.
func TestDialConnectsToGivenAddress(t *testing.T) {
	ln, err := net.Listen("tcp", "127.9.8.7:0")
	if err != nil {
		t.Skip("no loopback address 127.9.8.7 here: ", err)
	}
	defer func() { _ = ln.Close() }()
	e, o, _ := startEngine(t)
	n := newTestHandler()
	big := bytes.Repeat([]byte("0123456789abcdef"), 64<<10)
	o.run(func() { n.conn = e.Dial(ln.Addr().String(), n) })
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	<-n.connected
	o.run(func() { n.conn.Write(big) })
	got := make([]byte, len(big))
	if _, err := io.ReadFull(far, got); err != nil || !bytes.Equal(got, big) {
		t.Fatalf("%d bytes were not received unchanged: %v", len(big), err)
	}
	o.run(func() {
		if left := n.conn.Unwritten(); left != 0 {
			t.Errorf("%d bytes count as unwritten", left)
		}
	})
	_ = far.Close()
	if err := <-n.closed; err == nil {
		t.Error("closed without a reason")
	}
}

func TestFailedDialIsReportedOnce(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	e, o, _ := startEngine(t)
	n := newTestHandler()
	o.run(func() { n.conn = e.Dial(addr, n) })
	if err := <-n.closed; err == nil || len(n.connected) > 0 {
		t.Errorf("error %v, connected %d times", err, len(n.connected))
	}
}

// blockingOwner is an owner whose next Post, once armed, blocks until the test resumes it.
type blockingOwner struct {
	owner
	armed           atomic.Bool
	blocked, resume chan struct{}
}

func (l *blockingOwner) Post(f func()) {
	if l.armed.CompareAndSwap(true, false) {
		close(l.blocked)
		<-l.resume
	}
	l.owner.Post(f)
}

// A connection that is established while its engine closes is not passed to the owner: its other end sees it closed,
// and Close does not wait for it. Until then, the test delays Close by blocking nbio's event of an earlier connection.
func TestDialDuringCloseIsClosed(t *testing.T) {
	far, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = far.Close() }()
	l := &blockingOwner{owner: owner{scheduler.NewLoop(scheduler.SystemClock())}, blocked: make(chan struct{}), resume: make(chan struct{})}
	e := New(Options{Loop: l, ConnectTimeout: 5 * time.Second})
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	defer close(stop)
	go l.Run(stop)
	before := newTestHandler()
	l.run(func() { before.conn = e.Dial(far.Addr().String(), before) })
	<-before.connected
	if _, err := far.Accept(); err != nil {
		t.Fatal(err)
	}

	l.armed.Store(true)
	closed := make(chan struct{})
	go func() { e.Close(); close(closed) }()
	<-l.blocked // nbio's shutdown has begun and waits for the earlier connection
	late := &conn{engine: e, handler: newTestHandler()}
	if c, err := e.dial(context.Background(), far.Addr().String(), late); c != nil || !errors.Is(err, net.ErrClosed) {
		t.Errorf("connection passed on: %v, %v", c != nil, err)
	}
	close(l.resume)
	<-closed
	c, err := far.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Error("the other end's read returns: ", err)
	}
}

// Closing an engine cancels a dial in progress at once and reports that. Otherwise the dial would continue until its
// timeout.
func TestCloseCancelsDial(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) })
	}
	if err != nil {
		t.Fatal(err)
	}
	filler, err := net.Dial("tcp", ln.Addr().String()) // fills the accept queue: no other connection is established
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = filler.Close() }()
	e, o, _ := startEngine(t)
	n := newTestHandler()
	o.run(func() { n.conn = e.Dial(ln.Addr().String(), n) })
	e.Close()
	if err := <-n.closed; !errors.Is(err, context.Canceled) || len(n.connected) > 0 {
		t.Errorf("error %v, connected %d times", err, len(n.connected))
	}
}

// After Finish, some received data is still read and discarded, so that the other end can receive the answer and its end.
func TestFinishedConnectionDiscardsData(t *testing.T) {
	e, o, accepted := startEngine(t)
	c, err := net.Dial("tcp", e.gates[0].Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	n := <-accepted
	o.run(func() { n.conn.Write([]byte("no")); n.conn.Finish() })
	if got, err := io.ReadAll(c); err != nil || string(got) != "no" {
		t.Errorf("got %q, %v", got, err)
	}
	flood := make([]byte, 64<<10)
	for err == nil { // until the engine closes the connection: otherwise the test hangs here
		_, err = c.Write(flood)
	}
	<-n.closed //nolint:errcheck // waits for the call; its error may be nil
	if len(n.data) > 0 {
		t.Error("discarded data was passed to the handler")
	}
}

// Nothing is read while another turn lasts, so that a fast sender is held back instead of its data piling up in memory.
func TestReadWaitsForTurn(t *testing.T) {
	e, o, accepted := startEngine(t)
	c, err := net.Dial("tcp", e.gates[0].Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	n := <-accepted
	inTurn, goOn := make(chan struct{}), make(chan struct{})
	o.Post(func() { close(inTurn); <-goOn })
	<-inTurn
	if err := c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	written, flood := 0, make([]byte, 1<<20)
	for err == nil {
		var some int
		some, err = c.Write(flood)
		written += some
	}
	if len(n.data) > 0 {
		t.Error("data was passed to the handler during another turn")
	}
	got := 0
	close(goOn)
	for got < written {
		got += len(<-n.data)
	}
}

// Data that arrived before the call of Echo is passed on before Echo's callback.
func TestEchoFollowsArrivedData(t *testing.T) {
	e, o, accepted := startEngine(t)
	c, err := net.Dial("tcp", e.gates[0].Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	n := <-accepted
	for range 200 {
		echoed := make(chan int, 1)
		o.run(func() { // nothing is read during this turn
			if _, err := c.Write([]byte("told")); err != nil {
				t.Error(err)
			}
			if err := e.Echo(func() { echoed <- len(n.data) }); err != nil {
				t.Error(err)
			}
		})
		if <-echoed != 1 {
			t.Fatal("Echo's callback ran before the arrived data was passed on")
		}
		<-n.data
	}
}

// waitUntilRead waits until the engine has read all data that a client in this process sent, according to /proc/net/tcp.
func waitUntilRead(t *testing.T, c net.Conn) {
	t.Helper()
	row := fmt.Sprintf("0100007F:%04X 0100007F:%04X 01 ", c.RemoteAddr().(*net.TCPAddr).Port, c.LocalAddr().(*net.TCPAddr).Port)
	for till := time.Now().Add(20 * time.Second); time.Now().Before(till); {
		table, err := os.ReadFile("/proc/net/tcp")
		_, queues, found := strings.Cut(string(table), row)
		if err != nil || !found {
			t.Fatal("connection not found in /proc/net/tcp: ", err)
		}
		if queues[:17] == "00000000:00000000" {
			return
		}
	}
	t.Fatal("the sent data was not read")
}

// Closing a connection with unread data discards small writes that the system has delayed (Nagle's algorithm), so
// TCP_NODELAY must be set on all connections: accepted from an own or an inherited listener, dialled, and passed by
// another process.
func TestNoDelayIsSet(t *testing.T) {
	e, o, accepted, near, far, _ := unixPair(t)
	check := func(which string, c transport.Conn) {
		t.Helper()
		if on, err := syscall.GetsockoptInt(c.(*conn).nb.Hash(), syscall.IPPROTO_TCP, syscall.TCP_NODELAY); err != nil || on != 1 {
			t.Errorf("%s: TCP_NODELAY is %d, %v", which, on, err)
		}
	}
	file, err := e.gates[0].ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	fd, err := syscall.Dup(int(file.Fd()))
	_ = file.Close()
	if err != nil {
		t.Fatal(err)
	}
	inherited, err := Listen("ignored", fd)
	if err != nil {
		t.Fatal(err)
	}
	for _, which := range []string{"accepted", "inherited"} {
		if which == "inherited" {
			e.gates[0].Pause()
			e.Serve(inherited, 4, func(c transport.Conn) transport.Handler {
				n := newTestHandler()
				n.conn = c
				accepted <- n
				return n
			})
		}
		dialled := newTestHandler()
		o.run(func() { dialled.conn = e.Dial(inherited.Addr().String(), dialled) })
		<-dialled.connected
		held := <-accepted
		o.run(func() {
			check("dialled", dialled.conn)
			check(which, held.conn)
			near.conn.(transport.ConnSender).SendConn([]byte("with it"), held.conn).Drop()
		})
		<-far.data
		adopted := newTestHandler()
		o.run(func() {
			err = e.Adopt(far.conn.(transport.ConnSender).ReceivedConn(), nil, func(c transport.Conn) transport.Handler {
				check("given", c)
				adopted.conn = c
				return adopted
			})
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// nbio clears its stop flag when its poller begins to run: the poller of an engine closed before that ran forever.
func TestCloseRightAfterStart(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // started goroutines don't run until this one blocks
	before := pollers()
	for range 20 {
		e := New(Options{Loop: owner{scheduler.NewLoop(scheduler.SystemClock())}, ConnectTimeout: time.Second})
		if err := e.Start(); err != nil {
			t.Fatal(err)
		}
		e.Close()
	}
	if now := pollers(); now > before {
		t.Errorf("%d pollers run, %d before", now, before)
	}
}

// pollers returns the number of nbio's poller loops in this process.
func pollers() int {
	stacks := make([]byte, 4<<20)
	return strings.Count(string(stacks[:runtime.Stack(stacks, true)]), ").readWriteLoop(")
}
