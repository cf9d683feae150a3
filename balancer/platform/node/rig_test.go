package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ravendale/balancer/config"
)

// These tests play endings on real connections: a whole scheduler among scripted clients, backend servers and a discovery,
// which hold back, break off and reset in the order that does harm. They wait for events; patience only ends a test that hangs.
const patience = 20 * time.Second

// rig is a scheduler on loopback with the world round it.
type rig struct {
	t     *testing.T
	addr  string // of the scheduler
	disc  *listener
	log   *logbook
	node  *Node
	stop  context.CancelFunc
	ended chan error
}

// logbook keeps what was logged.
type logbook struct {
	mu   sync.Mutex
	more sync.Cond
	text strings.Builder
}

func newLogbook() *logbook {
	l := &logbook{}
	l.more.L = &l.mu
	return l
}

func (l *logbook) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.more.Broadcast()
	return l.text.Write(b)
}

func (l *logbook) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// logged waits for words in the log.
func (r *rig) logged(words string) {
	r.t.Helper()
	late := false
	timer := time.AfterFunc(patience, func() {
		r.log.mu.Lock()
		defer r.log.mu.Unlock()
		late = true
		r.log.more.Broadcast()
	})
	defer timer.Stop()
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	for !strings.Contains(r.log.text.String(), words) {
		if late {
			r.t.Fatalf("%q was not logged:\n%s", words, r.log.text.String())
		}
		r.log.more.Wait()
	}
}

// listener is a scripted peer's; it accepts when the script does.
type listener struct {
	t  *testing.T
	ln *net.TCPListener
}

// listen opens a listener whose queue holds one connection that was not accepted: where one waits, the system drops the next
// call's SYN, and that connection comes up a second later at the earliest, when it is sent again.
func listen(t *testing.T) *listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &listener{t, ln.(*net.TCPListener)}
	raw, err := l.ln.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) })
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return l
}

func (l *listener) addr() string { return l.ln.Addr().String() }

// fill has one connection wait in the queue, so that no other comes up until release.
func (l *listener) fill() (release func()) {
	l.t.Helper()
	filler := dial(l.t, l.addr())
	return func() {
		l.t.Helper()
		_ = l.accept().Close()
		_ = filler.Close()
	}
}

// called waits until somebody calls who gets no answer, as the system's table of connections has it.
func (l *listener) called() {
	l.t.Helper()
	synSent := fmt.Sprintf("0100007F:%04X 02 ", l.ln.Addr().(*net.TCPAddr).Port)
	for till := time.Now().Add(patience); ; {
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil || time.Now().After(till) {
			l.t.Fatal("nobody calls: ", err)
		}
		if strings.Contains(string(table), synSent) {
			return
		}
	}
}

// accept waits for a connection.
func (l *listener) accept() *conversation {
	l.t.Helper()
	_ = l.ln.SetDeadline(time.Now().Add(patience))
	c, err := l.ln.AcceptTCP()
	if err != nil {
		l.t.Fatal("nobody connects: ", err)
	}
	return converse(l.t, c)
}

// conversation is one connection of a scripted peer.
type conversation struct {
	*net.TCPConn
	t  *testing.T
	in *bufio.Reader
}

func converse(t *testing.T, c net.Conn) *conversation {
	_ = c.SetDeadline(time.Now().Add(patience))
	t.Cleanup(func() { _ = c.Close() })
	return &conversation{c.(*net.TCPConn), t, bufio.NewReader(c)}
}

func dial(t *testing.T, addr string) *conversation {
	t.Helper()
	c, err := net.DialTimeout("tcp", addr, patience)
	if err != nil {
		t.Fatal(err)
	}
	return converse(t, c)
}

func (c *conversation) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// request reads a request whole.
func (c *conversation) request() *http.Request {
	c.t.Helper()
	r, err := http.ReadRequest(c.in)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	if err != nil {
		c.t.Fatal("no request: ", err)
	}
	return r
}

// answer reads an answer whole, and returns its status and body.
func (c *conversation) answer() (status int, body string) {
	c.t.Helper()
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatal("no answer: ", err)
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		c.t.Fatal("half an answer: ", err)
	}
	return r.StatusCode, string(b)
}

// ends wants the other side to end the connection in order, with nothing more said.
func (c *conversation) ends() {
	c.t.Helper()
	rest, err := io.ReadAll(c.in)
	if err != nil || len(rest) > 0 {
		c.t.Fatalf("the connection ended with %q, %v", rest, err)
	}
}

// isReset says whether a connection that the other side has ended was reset as well; what was read doesn't tell, once an end was.
func (c *conversation) isReset() bool {
	c.t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		c.t.Fatal(err)
	}
	state, errno := 0, error(nil)
	_ = raw.Control(func(fd uintptr) {
		state, errno = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO) // its first byte
	})
	if errno != nil {
		c.t.Fatal(errno)
	}
	return state&0xff != 8 // TCP_CLOSE_WAIT
}

// reset ends the connection at once.
func (c *conversation) reset() {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// taken waits until the other side, a scheduler of this process, has read what was sent, as the system's table of connections
// has it.
func (c *conversation) taken() {
	c.t.Helper()
	row := fmt.Sprintf("0100007F:%04X 0100007F:%04X 01 ", c.RemoteAddr().(*net.TCPAddr).Port, c.LocalAddr().(*net.TCPAddr).Port)
	for till := time.Now().Add(patience); time.Now().Before(till); {
		table, err := os.ReadFile("/proc/net/tcp")
		_, queues, found := strings.Cut(string(table), row)
		if err != nil || !found {
			c.t.Fatal("no such connection: ", err)
		}
		if queues[:17] == "00000000:00000000" {
			return
		}
	}
	c.t.Fatal("what was sent is not read")
}

// ask sends a job.
func (c *conversation) ask(id, class string, ms int) {
	c.t.Helper()
	c.send(job(id, class, ms))
}

func job(id, class string, ms int) string {
	return fmt.Sprintf("POST /api?user=00000000000000aa HTTP/1.1\r\nHost: s\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining-Ms: %d\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nhi",
		long(id), class, ms)
}

// listed is a server's entry in the list.
func listed(name string, at *listener) string {
	return strings.Replace(entry(name, "in_service"), name+":9000", at.addr(), 1)
}

// rigUp starts a scheduler under settings that knows the servers given.
func rigUp(t *testing.T, settings string, known ...string) *rig {
	t.Helper()
	r := &rig{t: t, disc: listen(t), log: newLogbook(), ended: make(chan error, 1)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.addr = ln.Addr().String()
	f, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	fd, err := syscall.Dup(int(f.Fd())) // the scheduler inherits it
	_, _ = f.Close(), ln.Close()
	if err != nil {
		t.Fatal(err)
	}
	file := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"7","known":{"seq":41,"whole":true,"hosts":[%s]},"settings":%s}`,
		r.addr, r.disc.addr(), strings.Join(known, ","), settings)
	env := map[string]string{"PROXY_CONFIG": "f", "PROXY_FD": fmt.Sprint(fd)}
	cfg, err := config.Load(func(name string) string { return env[name] }, func(string) ([]byte, error) { return []byte(file), nil })
	if err != nil {
		t.Fatal(err)
	}
	if r.node, err = New(cfg, slog.New(slog.NewTextHandler(r.log, &slog.HandlerOptions{Level: slog.LevelDebug}))); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	go func() { r.ended <- r.node.Run(ctx) }()
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(r.log)
		}
		r.node.loop.Post(func() { r.node.end("the test is over") })
		if err := <-r.ended; err != nil && !errors.Is(err, os.ErrClosed) {
			t.Error(err)
		}
		r.ended <- nil
	})
	return r
}

// busy keeps the scheduler's loop awake: after a pause it sends nothing until it knows what came meanwhile, and that would hide
// what a connection does that comes up late.
func (r *rig) busy() {
	c, over := dial(r.t, r.addr), make(chan struct{})
	var asking sync.WaitGroup
	asking.Go(func() {
		for tick := time.NewTicker(20 * time.Millisecond); ; {
			select {
			case <-over:
				return
			case <-tick.C:
				_, _ = io.WriteString(c, "GET /ready HTTP/1.1\r\n\r\n")
			}
		}
	})
	r.t.Cleanup(func() { close(over); asking.Wait() })
}

// call has a server say what became of a job.
func (r *rig) call(from, id, state string) {
	r.t.Helper()
	c := dial(r.t, r.addr)
	body := fmt.Sprintf(`{"id":%q,"from":%q,"state":%q,"result":"x"}`, long(id), from, state)
	c.send(fmt.Sprintf("POST /callback HTTP/1.1\r\nHost: s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body))
	if status, _ := c.answer(); status != 204 {
		r.t.Fatalf("a call was answered %d", status)
	}
}

// serves has a server take a job on a connection and say that it is done, which its client hears.
func (r *rig) serves(w *conversation, from, id string, client *conversation) {
	r.t.Helper()
	w.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
	r.call(from, id, "done")
	if status, body := client.answer(); status != 200 || body != "x" {
		r.t.Errorf("%s was answered %d %q", id, status, body)
	}
}

// watch accepts the scheduler's watch and begins to answer it.
func (r *rig) watch() *conversation {
	r.t.Helper()
	c := r.disc.accept()
	if got := c.request(); got.URL.Path != "/v1/endpoints" {
		r.t.Fatalf("discovery was asked for %s", got.URL)
	}
	c.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	return c
}

// piece sends a chunk.
func (c *conversation) piece(text string) {
	c.t.Helper()
	c.send(fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
}

// owes waits until so many requests are owed an answer.
func (r *rig) owes(requests int) {
	r.t.Helper()
	owed := make(chan int)
	for till := time.Now().Add(patience); time.Now().Before(till); {
		r.node.loop.Post(func() { owed <- r.node.core.Owed() })
		if <-owed == requests {
			return
		}
	}
	r.t.Fatalf("never were %d requests owed an answer", requests)
}
