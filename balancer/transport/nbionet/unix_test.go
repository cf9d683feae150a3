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

// unixPair returns an engine and both ends of a Unix socket connection to itself; clients receives its accepted TCP
// connections.
func unixPair(t *testing.T) (e *Engine, o owner, clients chan *testHandler, near, far *testHandler, path string) {
	t.Helper()
	e, o, clients = startEngine(t)
	path = filepath.Join(t.TempDir(), "s")
	ln, err := ListenUnix(path)
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan *testHandler, 1)
	e.Serve(ln, 2, func(c transport.Conn) transport.Handler {
		n := newTestHandler()
		n.conn = c
		accepted <- n
		return n
	})
	near = newTestHandler()
	o.run(func() { near.conn = e.Dial(path, near) })
	<-near.connected
	return e, o, clients, near, <-accepted, path
}

// A write to a Unix socket of any size arrives completely. nbio itself loses the part that the system does not accept
// at once.
func TestUnixSocketLargeWrite(t *testing.T) {
	e, o, _, near, far, path := unixPair(t)
	text := bytes.Repeat([]byte("0123456789abcdef"), 256<<10)
	held, goOn := make(chan struct{}), make(chan struct{})
	o.Post(func() { near.conn.Write(text); close(held); <-goOn }) // nothing is read during this turn
	<-held
	close(goOn)
	var got []byte
	for len(got) < len(text) {
		got = append(got, <-far.data...)
	}
	if !bytes.Equal(got, text) {
		t.Errorf("%d bytes were not received unchanged", len(text))
	}
	o.run(func() { far.conn.Write([]byte("back")) })
	if back := <-near.data; string(back) != "back" {
		t.Errorf("got %q", back)
	}
	o.run(func() { near.conn.Close() })
	if err := <-far.closed; err == nil {
		t.Error("closed without a reason")
	}
	none := newTestHandler()
	o.run(func() { none.conn = e.Dial(path+"x", none) })
	if err := <-none.closed; err == nil || len(none.connected) > 0 {
		t.Error("a dial without a listener succeeded")
	}
}

// The connection to a process that does not read is closed once maxQueued is exceeded.
func TestUnixSocketQueueLimit(t *testing.T) {
	e, o, _ := startEngine(t)
	path := filepath.Join(t.TempDir(), "s")
	ln, err := ListenUnix(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	n := newTestHandler()
	o.run(func() { n.conn = e.Dial(path, n) })
	<-n.connected
	text := make([]byte, 1<<20)
	o.run(func() {
		for range maxQueued>>20 + 4 {
			n.conn.Write(text)
		}
	})
	if err := <-n.closed; !errors.Is(err, errQueueFull) {
		t.Error(err)
	}
	o.run(func() {
		if left := n.conn.Unwritten(); left > maxQueued+len(text) {
			t.Errorf("%d bytes wait", left)
		}
	})
}

// A connection is passed to another process along with data, in order, and its client does not notice.
func TestPassConnection(t *testing.T) {
	e, o, accepted, near, far, _ := unixPair(t)
	client, err := net.Dial("tcp", e.gates[0].Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	held, adopted := <-accepted, newTestHandler()
	o.run(func() { near.conn.(transport.ConnSender).SendConn([]byte("with it"), held.conn).Drop() })
	text := <-far.data
	o.run(func() {
		err = e.Adopt(far.conn.(transport.ConnSender).ReceivedConn(), nil, func(c transport.Conn) transport.Handler {
			adopted.conn = c
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
		t.Errorf("received %q, %q and %q, %v", text, buf[:n], more, err)
	}
	_ = client.Close()
	if err := <-adopted.closed; err == nil {
		t.Error("closed without a reason")
	}
	if len(held.closed)+len(held.data) > 0 {
		t.Error("the sender's handler was called after the connection was passed")
	}
}

// dataHook is a testHandler that calls a function in the turn in which data arrives.
type dataHook struct {
	*testHandler
	hook func()
}

func (e dataHook) Data(b []byte) {
	e.hook()
	e.testHandler.Data(b)
}

// An event that epoll reported for a closed connection must not close another connection that has reused the descriptor
// number. The poller fetches the events of received data and of two closed connections in one call. While it passes on
// the data, the two connections are closed or written to, and a third one is dialled, which gets both numbers: one
// during the dial, and one to stay.
func TestDescriptorReuseDuringEvents(t *testing.T) {
	for how, endConn := range map[string]func(c transport.Conn){
		"closed":  func(c transport.Conn) { c.Close() },
		"written": func(c transport.Conn) { c.Write([]byte("too late")) },
	} {
		t.Run(how, func(t *testing.T) {
			e, o, accepted := startEngine(t)
			far, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = far.Close() }()
			var clients []*net.TCPConn
			var held []*testHandler
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
			newConn := &conn{handler: newTestHandler()}
			o.run(func() {
				held[1].conn.(*conn).handler = dataHook{held[1], func() {
					endConn(held[2].conn)
					endConn(held[3].conn)
					newConn.connected(e.dial(context.Background(), far.Addr().String(), newConn))
				}}
			})
			o.Begin() // the poller waits for the turn with the first client's data, and fetches all later events in one call
			_, _ = clients[0].Write([]byte("first"))
			waitUntilRead(t, clients[0])
			_, _ = clients[1].Write([]byte("second"))
			for _, c := range clients[2:] {
				_ = c.SetLinger(0)
				_ = c.Close()
			}
			for last := held[3].conn.(*conn).nb.Hash(); ; { // no lower descriptor number may be free than theirs
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
			handled := make(chan struct{}) // closed after all events fetched by then were handled
			o.run(func() {
				if err := e.Echo(func() { close(handled) }); err != nil {
					t.Error(err)
				}
			})
			<-handled
			o.run(func() {
				if closed, err := newConn.nb.IsClosed(); closed {
					t.Error("the new connection was closed: ", err)
				}
			})
			for _, c := range clients[:2] {
				_ = c.Close()
			}
		})
	}
}

// A passed connection must not stay in epoll, whose events would be attributed to the next connection with its
// descriptor number.
func TestCopyOutRemovesFromEpoll(t *testing.T) {
	fds, _ := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	epoll, _ := syscall.EpollCreate1(0)
	err := syscall.EpollCtl(epoll, syscall.EPOLL_CTL_ADD, fds[0], &syscall.EpollEvent{Events: syscall.EPOLLIN})
	_, err2 := copyOut(fds[0], epoll)
	if again := syscall.EpollCtl(epoll, syscall.EPOLL_CTL_DEL, fds[0], nil); err != nil || err2 != nil || again != syscall.ENOENT {
		t.Error(err, err2, again)
	}
}
