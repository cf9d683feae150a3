package nbionet

import (
	"bytes"
	"context"
	"errors"
	"net"
	"path/filepath"
	"syscall"
	"testing"

	"ravendale/balancer/transport"
)

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
