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

// The address must be kept whole: nbio's own dialler connects to 0.0.0.0 instead.
func TestDialReachesTheVeryAddressAndCarriesBytes(t *testing.T) {
	ln, err := net.Listen("tcp", "127.9.8.7:0")
	if err != nil {
		t.Skip("no loopback address 127.9.8.7 here: ", err)
	}
	defer func() { _ = ln.Close() }()
	e, o, _ := start(t)
	n := newEnd()
	big := bytes.Repeat([]byte("0123456789abcdef"), 64<<10)
	o.on(func() { n.net = e.Dial(ln.Addr().String(), n) })
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	<-n.connected
	o.on(func() { n.net.Write(big) })
	got := make([]byte, len(big))
	if _, err := io.ReadFull(far, got); err != nil || !bytes.Equal(got, big) {
		t.Fatalf("%d bytes came otherwise: %v", len(big), err)
	}
	o.on(func() {
		if left := n.net.Unwritten(); left != 0 {
			t.Errorf("%d bytes count as unwritten", left)
		}
	})
	_ = far.Close()
	if err := <-n.closed; err == nil {
		t.Error("closed without a reason")
	}
}

func TestAFailedDialIsReportedOnce(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	e, o, _ := start(t)
	n := newEnd()
	o.on(func() { n.net = e.Dial(addr, n) })
	if err := <-n.closed; err == nil || len(n.connected) > 0 {
		t.Errorf("error %v, connected %d times", err, len(n.connected))
	}
}

// latch is an owner whose next post, once it is armed, waits for the test.
type latch struct {
	owner
	armed       atomic.Bool
	begun, goOn chan struct{}
}

func (l *latch) Post(f func()) {
	if l.armed.CompareAndSwap(true, false) {
		close(l.begun)
		<-l.goOn
	}
	l.owner.Post(f)
}

// A dial that comes up while its engine closes is handed to nobody: its far end sees it closed, and the engine's end does not
// wait for it. What nbio tells of the connection before holds up the engine's end until then.
func TestADialThatComesUpWhileItsEngineClosesIsClosed(t *testing.T) {
	far, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = far.Close() }()
	l := &latch{owner: owner{scheduler.NewLoop(scheduler.SystemClock())}, begun: make(chan struct{}), goOn: make(chan struct{})}
	e := New(Options{Loop: l, ConnectTimeout: 5 * time.Second})
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	defer close(stop)
	go l.Run(stop)
	before := newEnd()
	l.on(func() { before.net = e.Dial(far.Addr().String(), before) })
	<-before.connected
	if _, err := far.Accept(); err != nil {
		t.Fatal(err)
	}

	l.armed.Store(true)
	closed := make(chan struct{})
	go func() { e.Close(); close(closed) }()
	<-l.begun // nbio has begun to end, and waits for the connection before
	late := &conn{e: e, handler: newEnd()}
	if c, err := e.dial(context.Background(), far.Addr().String(), late); c != nil || !errors.Is(err, net.ErrClosed) {
		t.Errorf("handed over: %v, %v", c != nil, err)
	}
	close(l.goOn)
	<-closed
	c, err := far.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Error("the far end sees: ", err)
	}
}

// A dial under way is given up at once when its engine closes, and that is told. Without that it goes on until its time is over.
func TestADialEndsWithItsEngine(t *testing.T) {
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
	filler, err := net.Dial("tcp", ln.Addr().String()) // no other comes up
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = filler.Close() }()
	e, o, _ := start(t)
	n := newEnd()
	o.on(func() { n.net = e.Dial(ln.Addr().String(), n) })
	e.Close()
	if err := <-n.closed; !errors.Is(err, context.Canceled) || len(n.connected) > 0 {
		t.Errorf("error %v, connected %d times", err, len(n.connected))
	}
}

// What comes after an error is read a little further, so that the other side sees the answer and the end of it, and
// goes to nobody.
func TestAFinishedConnectionIsNotReadOn(t *testing.T) {
	e, o, accepted := start(t)
	c, err := net.Dial("tcp", e.gates[0].Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	n := <-accepted
	o.on(func() { n.net.Write([]byte("no")); n.net.Finish() })
	if got, err := io.ReadAll(c); err != nil || string(got) != "no" {
		t.Errorf("got %q, %v", got, err)
	}
	flood := make([]byte, 64<<10)
	for err == nil { // until the engine closes: the test hangs here if it never does
		_, err = c.Write(flood)
	}
	<-n.closed //nolint:errcheck // that it comes is what is waited for: the reason may be none
	if len(n.data) > 0 {
		t.Error("bytes that are not wanted were handed on")
	}
}

// A client that sends at full speed waits for the owner, and its bytes not in memory: nothing is read while a turn lasts.
func TestReadingWaitsForTheOwner(t *testing.T) {
	e, o, accepted := start(t)
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
		t.Error("bytes were handed on while another had the turn")
	}
	got := 0
	close(goOn)
	for got < written {
		got += len(<-n.data)
	}
}

// What had arrived when an echo was asked for has been handed over when it comes.
func TestAnEchoComesAfterWhatWasThere(t *testing.T) {
	e, o, accepted := start(t)
	c, err := net.Dial("tcp", e.gates[0].Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	n := <-accepted
	for range 200 {
		echoed := make(chan int, 1)
		o.on(func() { // nothing is read meanwhile
			if _, err := c.Write([]byte("told")); err != nil {
				t.Error(err)
			}
			if err := e.Echo(func() { echoed <- len(n.data) }); err != nil {
				t.Error(err)
			}
		})
		if <-echoed != 1 {
			t.Fatal("the echo came before what had arrived")
		}
		<-n.data
	}
}

// unread waits until the engine has read all that a client of this process sent, as the system's table of connections has it.
func unread(t *testing.T, c net.Conn) {
	t.Helper()
	row := fmt.Sprintf("0100007F:%04X 0100007F:%04X 01 ", c.RemoteAddr().(*net.TCPAddr).Port, c.LocalAddr().(*net.TCPAddr).Port)
	for till := time.Now().Add(20 * time.Second); time.Now().Before(till); {
		table, err := os.ReadFile("/proc/net/tcp")
		_, queues, found := strings.Cut(string(table), row)
		if err != nil || !found {
			t.Fatal("no such connection: ", err)
		}
		if queues[:17] == "00000000:00000000" {
			return
		}
	}
	t.Fatal("what was sent is not read")
}

// A close over unread bytes destroys what the system still holds back of small writes, so it must hold back none: on
// connections that were accepted, on an own or an inherited listener, dialled, and given by another process.
func TestSmallWritesAreNotHeldBack(t *testing.T) {
	e, o, accepted, near, far, _ := linked(t)
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
				n := newEnd()
				n.net = c
				accepted <- n
				return n
			})
		}
		dialled := newEnd()
		o.on(func() { dialled.net = e.Dial(inherited.Addr().String(), dialled) })
		<-dialled.connected
		held := <-accepted
		o.on(func() {
			check("dialled", dialled.net)
			check(which, held.net)
			near.net.(transport.ConnSender).SendConn([]byte("with it"), held.net).Drop()
		})
		<-far.data
		adopted := newEnd()
		o.on(func() {
			err = e.Adopt(far.net.(transport.ConnSender).Given(), nil, func(c transport.Conn) transport.Handler {
				check("given", c)
				adopted.net = c
				return adopted
			})
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// nbio clears the mark of a stop as its poller begins to run: an engine that was closed before that spun for ever.
func TestAnEngineThatIsClosedAtOnceEnds(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // what is started waits until this goroutine does
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

// pollers counts nbio's loops in this process.
func pollers() int {
	stacks := make([]byte, 4<<20)
	return strings.Count(string(stacks[:runtime.Stack(stacks, true)]), ").readWriteLoop(")
}
