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

// testTimeout ends a test that hangs. The tests that use a rig run a whole scheduler on real connections, with scripted clients,
// backend servers and discovery, which delay, close and reset connections in an order that causes faults. They wait for events,
// not for fixed times.
const testTimeout = 20 * time.Second

// rig is a scheduler on the loopback interface with its scripted environment.
type rig struct {
	t     *testing.T
	addr  string // the scheduler's address
	disc  *listener
	log   *logBuffer
	node  *Node
	stop  context.CancelFunc
	ended chan error
}

// logBuffer collects the log of the scheduler.
type logBuffer struct {
	mu   sync.Mutex
	more sync.Cond
	text strings.Builder
}

func newLogBuffer() *logBuffer {
	l := &logBuffer{}
	l.more.L = &l.mu
	return l
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.more.Broadcast()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// waitLogged waits until the log contains the given text.
func (r *rig) waitLogged(words string) {
	r.t.Helper()
	late := false
	timer := time.AfterFunc(testTimeout, func() {
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

// listener is the listener of a scripted peer; it accepts a connection only when accept is called.
type listener struct {
	t  *testing.T
	ln *net.TCPListener
}

// listen opens a listener with a backlog of one connection. While one connection waits there, the operating system drops the SYN
// of the next, which is established at the earliest a second later, when the SYN is sent again.
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

// fillBacklog opens one connection that waits in the backlog, so that no other is established until release is called.
func (l *listener) fillBacklog() (release func()) {
	l.t.Helper()
	filler := dial(l.t, l.addr())
	return func() {
		l.t.Helper()
		_ = l.accept().Close()
		_ = filler.Close()
	}
}

// waitSYN waits until a connection to the listener is in the state SYN-SENT, according to /proc/net/tcp.
func (l *listener) waitSYN() {
	l.t.Helper()
	synSent := fmt.Sprintf("0100007F:%04X 02 ", l.ln.Addr().(*net.TCPAddr).Port)
	for till := time.Now().Add(testTimeout); ; {
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil || time.Now().After(till) {
			l.t.Fatal("no connection attempt: ", err)
		}
		if strings.Contains(string(table), synSent) {
			return
		}
	}
}

// accept waits for a connection.
func (l *listener) accept() *conversation {
	l.t.Helper()
	_ = l.ln.SetDeadline(time.Now().Add(testTimeout))
	c, err := l.ln.AcceptTCP()
	if err != nil {
		l.t.Fatal("no connection: ", err)
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
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { _ = c.Close() })
	return &conversation{c.(*net.TCPConn), t, bufio.NewReader(c)}
}

func dial(t *testing.T, addr string) *conversation {
	t.Helper()
	c, err := net.DialTimeout("tcp", addr, testTimeout)
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

// request reads a complete request.
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

// answer reads a complete response, and returns its status and body.
func (c *conversation) answer() (status int, body string) {
	c.t.Helper()
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatal("no response: ", err)
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		c.t.Fatal("incomplete response: ", err)
	}
	return r.StatusCode, string(b)
}

// expectEOF fails the test unless the other side closes the connection without a reset and without sending more.
func (c *conversation) expectEOF() {
	c.t.Helper()
	rest, err := io.ReadAll(c.in)
	if err != nil || len(rest) > 0 {
		c.t.Fatalf("the connection ended with %q, %v", rest, err)
	}
}

// isReset reports whether a connection that the other side has closed was reset as well. Once the end was read, further reads don't
// show that.
func (c *conversation) isReset() bool {
	c.t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		c.t.Fatal(err)
	}
	state, errno := 0, error(nil)
	_ = raw.Control(func(fd uintptr) {
		state, errno = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO) // the first byte is the state
	})
	if errno != nil {
		c.t.Fatal(errno)
	}
	return state&0xff != 8 // TCP_CLOSE_WAIT
}

// reset closes the connection with a reset.
func (c *conversation) reset() {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// waitRead waits until the other side, a scheduler in this process, has read everything that was sent, according to
// /proc/net/tcp.
func (c *conversation) waitRead() {
	c.t.Helper()
	row := fmt.Sprintf("0100007F:%04X 0100007F:%04X 01 ", c.RemoteAddr().(*net.TCPAddr).Port, c.LocalAddr().(*net.TCPAddr).Port)
	for till := time.Now().Add(testTimeout); time.Now().Before(till); {
		table, err := os.ReadFile("/proc/net/tcp")
		_, queues, found := strings.Cut(string(table), row)
		if err != nil || !found {
			c.t.Fatal("no such connection: ", err)
		}
		if queues[:17] == "00000000:00000000" {
			return
		}
	}
	c.t.Fatal("data that was sent is still unread")
}

// ask sends a request for a job.
func (c *conversation) ask(id, class string, ms int) {
	c.t.Helper()
	c.send(job(id, class, ms))
}

func job(id, class string, ms int) string {
	return fmt.Sprintf("POST /api?user=00000000000000aa HTTP/1.1\r\nHost: s\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining-Ms: %d\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nhi",
		fullID(id), class, ms)
}

// listed is a server's entry in the list.
func listed(name string, at *listener) string {
	return strings.Replace(entry(name, "in_service"), name+":9000", at.addr(), 1)
}

// startRig starts a scheduler with the given settings and known servers.
func startRig(t *testing.T, settings string, known ...string) *rig {
	t.Helper()
	return startRigOnCores(t, 0, settings, known...)
}

// startRigOnCores is startRig for a scheduler on several cores, or on one without a loop for each if cores is 0.
func startRigOnCores(t *testing.T, cores int, settings string, known ...string) *rig {
	t.Helper()
	r := &rig{t: t, disc: listen(t), log: newLogBuffer(), ended: make(chan error, 1)}
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
	if cores > 0 {
		cfg.Cores = cores
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

// keepBusy sends requests so that the scheduler's loop is never idle. After a pause it sends nothing until it has read all input,
// which would hide what happens on a connection that is established late.
func (r *rig) keepBusy() {
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

// callback sends a call-back of a server about a job.
func (r *rig) callback(from, id, state string) {
	r.t.Helper()
	c := dial(r.t, r.addr)
	body := fmt.Sprintf(`{"id":%q,"from":%q,"state":%q,"result":"x"}`, fullID(id), from, state)
	c.send(fmt.Sprintf("POST /callback HTTP/1.1\r\nHost: s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body))
	if status, _ := c.answer(); status != 204 {
		r.t.Fatalf("a call-back was answered with status %d", status)
	}
}

// completeJob makes a server accept a job on a connection and report it as done, and checks that the client receives the result.
func (r *rig) completeJob(w *conversation, from, id string, client *conversation) {
	r.t.Helper()
	w.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
	r.callback(from, id, "done")
	if status, body := client.answer(); status != 200 || body != "x" {
		r.t.Errorf("request %s was answered with status %d and body %q", id, status, body)
	}
}

// watch accepts the scheduler's watch and sends the head of the response.
func (r *rig) watch() *conversation {
	r.t.Helper()
	c := r.disc.accept()
	if got := c.request(); got.URL.Path != "/v1/endpoints" {
		r.t.Fatalf("discovery received a request for %s", got.URL)
	}
	c.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	return c
}

// chunk sends a chunk of a chunked response.
func (c *conversation) chunk(text string) {
	c.t.Helper()
	c.send(fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
}

// waitOwed waits until the given number of requests wait for their answers.
func (r *rig) waitOwed(requests int) {
	r.t.Helper()
	owed := make(chan int)
	for till := time.Now().Add(testTimeout); time.Now().Before(till); {
		r.node.loop.Post(func() { owed <- r.node.core.Owed() })
		if <-owed == requests {
			return
		}
	}
	r.t.Fatalf("timed out waiting until %d requests wait for their answers", requests)
}
