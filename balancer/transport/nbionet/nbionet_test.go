package nbionet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
)

// owner is a loop that runs.
type owner struct{ *scheduler.Loop }

// end hands on what happens to one connection.
type end struct {
	net       transport.Conn
	connected chan struct{}
	data      chan []byte
	closed    chan error
}

func newEnd() *end {
	return &end{connected: make(chan struct{}, 1), data: make(chan []byte, 64), closed: make(chan error, 1)}
}

func (e *end) Connected()       { e.connected <- struct{}{} }
func (e *end) Data(b []byte)    { e.data <- bytes.Clone(b) }
func (e *end) Closed(err error) { e.closed <- err }

// start serves on loopback: what is accepted goes to the channel.
func start(t *testing.T) (*Engine, owner, chan *end) {
	t.Helper()
	o, accepted := owner{scheduler.NewLoop(scheduler.SystemClock())}, make(chan *end, 8)
	e := New(Options{Loop: o, ConnectTimeout: 5 * time.Second, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	ln, err := Listen("127.0.0.1:0", 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	e.Serve(ln, 4, func(c transport.Conn) transport.Handler {
		n := newEnd()
		n.net = c
		accepted <- n
		return n
	})
	stop := make(chan struct{})
	go o.Run(stop)
	t.Cleanup(func() { e.Close(); close(stop) })
	return e, o, accepted
}

// on runs f as the owner and waits for it.
func (o owner) on(f func()) {
	done := make(chan struct{})
	o.Post(func() { f(); close(done) })
	<-done
}

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

// What was accepted for an engine that closes meanwhile is closed, and makes room.
func TestWhatIsAcceptedForAnEngineThatClosesIsClosed(t *testing.T) {
	e, o, _ := start(t)
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
	g.admit()
	e.accepted(late, g, func(transport.Conn) transport.Handler {
		t.Error("it was handed to the owner")
		return newEnd()
	})
	o.on(func() {}) // after the turn of that one
	_ = client.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Error("the client sees: ", err)
	}
	if g.mu.Lock(); g.open != 0 {
		t.Errorf("%d count as open", g.open)
	}
	g.mu.Unlock()
}

func TestAcceptedConnections(t *testing.T) {
	e, o, accepted := start(t)
	for range 10 { // more than may be open at once: a closed one makes room
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
		o.on(func() { n.net.Write([]byte("pong")) })
		back := make([]byte, 4)
		if _, err := io.ReadFull(c, back); err != nil || string(back) != "pong" {
			t.Errorf("got %q, %v", back, err)
		}
		o.on(func() { n.net.Close() })
		if _, err := c.Read(back); !errors.Is(err, io.EOF) { // hung now and then before Close shut the socket down
			t.Errorf("read after the close: %v", err)
		}
		_ = c.Close()
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

// A listener may be inherited, and shared: while its gate pauses, connections wait for whoever else listens, and the
// end of an engine, even of one that never started, does not end it for others.
func TestAnInheritedListenerIsSharedAndPauses(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = held.Close() }()
	e, o, accepted := start(t)
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
	o.on(func() { first.net.Close() })
	g.Pause()
	for out := false; !out; runtime.Gosched() { // of an Accept that had begun: it may still have taken one connection
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

// linked returns an engine and the ends of a Unix socket to itself; clients are what it accepts by TCP.
func linked(t *testing.T) (e *Engine, o owner, clients chan *end, near, far *end, path string) {
	t.Helper()
	e, o, clients = start(t)
	path = filepath.Join(t.TempDir(), "s")
	ln, err := ListenUnix(path)
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan *end, 1)
	e.Serve(ln, 2, func(c transport.Conn) transport.Handler {
		n := newEnd()
		n.net = c
		accepted <- n
		return n
	})
	near = newEnd()
	o.on(func() { near.net = e.Dial(path, near) })
	<-near.connected
	return e, o, clients, near, <-accepted, path
}

// What is written to a Unix socket comes whole, however much it is: nbio alone loses what the system does not take at once.
func TestAUnixSocketCarriesMoreThanItsBuffer(t *testing.T) {
	e, o, _, near, far, path := linked(t)
	text := bytes.Repeat([]byte("0123456789abcdef"), 256<<10)
	held, goOn := make(chan struct{}), make(chan struct{})
	o.Post(func() { near.net.Write(text); close(held); <-goOn }) // nothing is read meanwhile
	<-held
	close(goOn)
	var got []byte
	for len(got) < len(text) {
		got = append(got, <-far.data...)
	}
	if !bytes.Equal(got, text) {
		t.Errorf("%d bytes came otherwise", len(text))
	}
	o.on(func() { far.net.Write([]byte("back")) })
	if back := <-near.data; string(back) != "back" {
		t.Errorf("got %q", back)
	}
	o.on(func() { near.net.Close() })
	if err := <-far.closed; err == nil {
		t.Error("the end was not told")
	}
	none := newEnd()
	o.on(func() { none.net = e.Dial(path+"x", none) })
	if err := <-none.closed; err == nil || len(none.connected) > 0 {
		t.Error("nobody listens there")
	}
}

// Another process that does not read costs no more memory than a bound: its connection ends.
func TestAUnixSocketThatNobodyReadsEnds(t *testing.T) {
	e, o, _ := start(t)
	path := filepath.Join(t.TempDir(), "s")
	ln, err := ListenUnix(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	n := newEnd()
	o.on(func() { n.net = e.Dial(path, n) })
	<-n.connected
	text := make([]byte, 1<<20)
	o.on(func() {
		for range maxQueued>>20 + 4 {
			n.net.Write(text)
		}
	})
	if err := <-n.closed; !errors.Is(err, errBehind) {
		t.Error(err)
	}
	o.on(func() {
		if left := n.net.Unwritten(); left > maxQueued+len(text) {
			t.Errorf("%d bytes wait", left)
		}
	})
}

// A connection goes to another process with what is written beside it, in order, and its client sees nothing of that.
func TestAConnectionIsGivenAway(t *testing.T) {
	e, o, accepted, near, far, _ := linked(t)
	client, err := net.Dial("tcp", e.gates[0].Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	held, adopted := <-accepted, newEnd()
	o.on(func() { near.net.(transport.ConnSender).SendConn([]byte("with it"), held.net).Drop() })
	text := <-far.data
	o.on(func() {
		err = e.Adopt(far.net.(transport.ConnSender).Given(), nil, func(c transport.Conn) transport.Handler {
			adopted.net = c
			c.Write([]byte("answer"))
			return adopted
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 16)
	n, err := client.Read(buf)
	_, _ = client.Write([]byte("more"))
	if more := <-adopted.data; string(text)+string(buf[:n])+string(more) != "with itanswermore" {
		t.Errorf("%q, %q and %q came, %v", text, buf[:n], more, err)
	}
	_ = client.Close()
	if err := <-adopted.closed; err == nil {
		t.Error("closed without a reason")
	}
	if len(held.closed)+len(held.data) > 0 {
		t.Error("whoever gave it away heard of it again")
	}
}

// onData is an end that does something in the turn in which bytes come.
type onData struct {
	*end
	do func()
}

func (e onData) Data(b []byte) {
	e.do()
	e.end.Data(b)
}

// What epoll told of a connection before that was closed must not end another that has its number by then. The poller has both
// events, of bytes and of two ends, from one call; while it hands over the bytes, the two connections are closed or written to,
// and a third is dialled, which gets the numbers of both: one while it is made, and one to stay.
func TestANewcomerOutlivesWhoHadItsNumber(t *testing.T) {
	for how, leave := range map[string]func(c transport.Conn){
		"closed":  func(c transport.Conn) { c.Close() },
		"written": func(c transport.Conn) { c.Write([]byte("too late")) },
	} {
		t.Run(how, func(t *testing.T) {
			e, o, accepted := start(t)
			far, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = far.Close() }()
			var clients []*net.TCPConn
			var held []*end
			dial := func() {
				c, err := net.Dial("tcp", e.gates[0].Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				clients, held = append(clients, c.(*net.TCPConn)), append(held, <-accepted)
			}
			for range 4 {
				dial()
			}
			newcomer := &conn{handler: newEnd()}
			o.on(func() {
				held[1].net.(*conn).handler = onData{held[1], func() {
					leave(held[2].net)
					leave(held[3].net)
					newcomer.connected(e.dial(context.Background(), far.Addr().String(), newcomer))
				}}
			})
			o.Begin() // the poller waits for the turn with the first one's bytes, and what comes meanwhile it gets at once
			_, _ = clients[0].Write([]byte("first"))
			unread(t, clients[0])
			_, _ = clients[1].Write([]byte("second"))
			for _, c := range clients[2:] {
				_ = c.SetLinger(0)
				_ = c.Close()
			}
			for last := held[3].net.(*conn).nb.Hash(); ; { // no lower number is to be free than theirs
				fd, err := syscall.Dup(0)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = syscall.Close(fd) }()
				if fd > last {
					break
				}
			}
			o.End()
			<-held[1].data
			passed := make(chan struct{}) // all that epoll had told by then
			o.on(func() {
				if err := e.Echo(func() { close(passed) }); err != nil {
					t.Error(err)
				}
			})
			<-passed
			o.on(func() {
				if closed, err := newcomer.nb.IsClosed(); closed {
					t.Error("the newcomer was ended: ", err)
				}
			})
			for _, c := range clients[:2] {
				_ = c.Close()
			}
		})
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

// What was given away must not stay in epoll, which would tell its events to whoever has the number next.
func TestACopyLeavesEpoll(t *testing.T) {
	fds, _ := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	epoll, _ := syscall.EpollCreate1(0)
	err := syscall.EpollCtl(epoll, syscall.EPOLL_CTL_ADD, fds[0], &syscall.EpollEvent{Events: syscall.EPOLLIN})
	_, err2 := copyOut(fds[0], epoll)
	if again := syscall.EpollCtl(epoll, syscall.EPOLL_CTL_DEL, fds[0], nil); err != nil || err2 != nil || again != syscall.ENOENT {
		t.Error(err, err2, again)
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
