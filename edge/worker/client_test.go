package worker

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// startWorker runs a worker that calls play for each connection, with the connection's number.
func startWorker(t *testing.T, play func(number int, conn net.Conn, reader *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				play(number, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}

func readRequest(reader *bufio.Reader) (*http.Request, []byte, error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(request.Body)
	return request, body, err
}

// constantWorker runs a worker that sends the same response to each request.
func constantWorker(t *testing.T, response string) string {
	return startWorker(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for {
			if _, _, err := readRequest(reader); err != nil {
				return
			}
			if _, err := io.WriteString(conn, response); err != nil {
				return
			}
		}
	})
}

// patientClient returns a client without a connect timeout, for busy machines.
func patientClient() *Client {
	client := NewClient()
	client.dial = dialWithTimeout(0)
	return client
}

func delivery(address string) *Delivery {
	return &Delivery{
		Worker: "i-1", Address: address, Instance: "i-1", Method: "POST", Host: "a.example", Target: "/p//q/../r?x=%2f&&y",
		RequestID: "id-1", Body: []byte("hello"), Limit: time.Minute,
	}
}

func deliver(client *Client, d *Delivery) Result {
	result := make(chan Result, 1)
	client.Start(d, func(r Result) { result <- r })
	return <-result
}

// Ends of responses to the request id-1.
const (
	complete = "Request-Id: id-1\r\nContent-Length: 2\r\n\r\nok"
	mine     = "Request-Id: id-1\r\n"
)

func TestOutcomes(t *testing.T) {
	cases := map[string]struct {
		response string
		want     Outcome
	}{
		"done":                            {"HTTP/1.1 200 OK\r\nSignature: s\r\n" + complete, Done},
		"done, no content":                {"HTTP/1.1 204 No Content\r\nSignature: s\r\n" + mine + "\r\n", Done},
		"done, in chunks":                 {"HTTP/1.1 200 OK\r\nSignature: s\r\n" + mine + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", Done},
		"done, after an interim":          {"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nSignature: s\r\n" + complete, Done},
		"no signature":                    {"HTTP/1.1 200 OK\r\n" + complete, Broken},
		"of another request":              {"HTTP/1.1 200 OK\r\nSignature: s\r\nRequest-Id: id-2\r\nContent-Length: 0\r\n\r\n", Broken},
		"of no request":                   {"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 0\r\n\r\n", Broken},
		"failed":                          {"HTTP/1.1 500 Failed\r\n" + complete, Failed},
		"failed, another request":         {"HTTP/1.1 500 Failed\r\nRequest-Id: id-2\r\nContent-Length: 0\r\n\r\n", Broken},
		"rejected":                        {"HTTP/1.1 422 Never\r\n" + complete, Rejected},
		"rejected, another request":       {"HTTP/1.1 422 Never\r\nRequest-Id: id-2\r\nContent-Length: 0\r\n\r\n", Broken},
		"full":                            {"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n" + complete, AtCapacity},
		"over the rate limit":             {"HTTP/1.1 429 Slow\r\nNot-Executed: 1\r\n" + complete, AtCapacity},
		"running elsewhere":               {"HTTP/1.1 409 Runs\r\nNot-Executed: 1\r\n" + complete, Duplicate},
		"not run":                         {"HTTP/1.1 400 Bad\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", NotRun},
		"another instance":                {"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n", WrongWorker},
		"503 without Not-Executed":        {"HTTP/1.1 503 Full\r\n" + complete, Broken},
		"stopped at its deadline":         {"HTTP/1.1 504 Late\r\n" + complete, Broken},
		"200 that says not run":           {"HTTP/1.1 200 OK\r\nNot-Executed: 1\r\nSignature: s\r\n" + complete, Done},
		"malformed":                       {"HTTP/1.1 2x0 OK\r\n\r\n", Broken},
		"malformed chunks":                {"HTTP/1.1 200 OK\r\nSignature: s\r\n" + mine + "Transfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n", Broken},
		"chunk longer than its size":      {"HTTP/1.1 200 OK\r\nSignature: s\r\n" + mine + "Transfer-Encoding: chunked\r\n\r\n2\r\nokay\r\n0\r\n\r\n", Broken},
		"truncated within the body":       {"HTTP/1.1 200 OK\r\nSignature: s\r\n" + mine + "Content-Length: 9\r\n\r\nok", TimedOut},
		"truncated before the last chunk": {"HTTP/1.1 200 OK\r\nSignature: s\r\n" + mine + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", TimedOut},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := patientClient()
			defer client.Close()
			d := delivery(constantWorker(t, c.response))
			if c.want == TimedOut {
				d.Limit = 100 * time.Millisecond
			}
			result := deliver(client, d)
			assert.Equal(t, c.want, result.Outcome)
			if c.want == Done {
				assert.Equal(t, "s", result.Signature)
			}
		})
	}
}

const doneResponse = "HTTP/1.1 200 OK\r\nSignature: s\r\nRequest-Id: id-1\r\nContent-Length: 0\r\n"

func TestTruncatedResponse(t *testing.T) {
	for _, part := range []string{"", "HTTP/1.1 200", doneResponse, "HTTP/1.1 200 OK\r\nSignature: s\r\nRequest-Id: id-1\r\nContent-Length: 5\r\n\r\nhe",
		"HTTP/1.1 200 OK\r\nSignature: s\r\nRequest-Id: id-1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"} {
		t.Run(fmt.Sprintf("%d bytes", len(part)), func(t *testing.T) {
			client := patientClient()
			defer client.Close()
			address := startWorker(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
				_, _, _ = readRequest(reader)
				_, _ = io.WriteString(conn, part)
			})
			assert.Equal(t, Broken, deliver(client, delivery(address)).Outcome)
			assert.Zero(t, client.pools["i-1"].open)
		})
	}
}

func TestRequestIsSentUnchanged(t *testing.T) {
	seen := make(chan string, 1)
	address := startWorker(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		head := ""
		for line := ""; line != "\r\n"; head += line {
			line, _ = reader.ReadString('\n')
		}
		body := make([]byte, 5)
		_, _ = io.ReadFull(reader, body)
		seen <- head + string(body)
		_, _ = io.WriteString(conn, doneResponse+"\r\n")
	})
	client := patientClient()
	defer client.Close()
	d := delivery(address)
	d.OrderKey, d.ContentType = "k", "text/x"
	require.Equal(t, Done, deliver(client, d).Outcome)
	assert.Equal(t, "POST /p//q/../r?x=%2f&&y HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id-1\r\nOrder-Key: k\r\n"+
		"Content-Type: text/x\r\nExpect-Instance: i-1\r\nDeadline-Ms: 60000\r\nContent-Length: 5\r\n\r\nhello", <-seen)
}

func TestLargeBodyIsSentCompletely(t *testing.T) {
	size := make(chan int, 1)
	address := startWorker(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		_, body, _ := readRequest(reader)
		size <- len(body)
		_, _ = io.WriteString(conn, doneResponse+"\r\n")
	})
	client := patientClient()
	defer client.Close()
	d := delivery(address)
	d.Body = make([]byte, 200<<10)
	require.Equal(t, Done, deliver(client, d).Outcome)
	assert.Equal(t, 200<<10, <-size)
}

func TestConnectionIsReused(t *testing.T) {
	var conns atomic.Int32
	address := startWorker(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		conns.Add(1)
		for {
			if _, _, err := readRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(conn, doneResponse+"\r\n")
		}
	})
	client := patientClient()
	defer client.Close()
	for range 5 {
		require.Equal(t, Done, deliver(client, delivery(address)).Outcome)
	}
	assert.EqualValues(t, 1, conns.Load())
}

// awaitReadable waits until each idle connection to the worker has bytes to read or is closed by the worker.
func awaitReadable(t *testing.T, client *Client) {
	t.Helper()
	client.mu.Lock()
	idle := slices.Clone(client.pools["i-1"].idle)
	client.mu.Unlock()
	for _, conn := range idle {
		require.NoError(t, conn.raw.Read(func(fd uintptr) bool {
			var one [1]byte
			_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK)
			return !errors.Is(err, unix.EAGAIN)
		}))
	}
}

// Bytes after a response belong to no request: the connection is closed without reading them.
func TestSecondResponseIsNotUsedForNextRequest(t *testing.T) {
	for _, later := range []bool{false, true} {
		t.Run(fmt.Sprintf("later %v", later), func(t *testing.T) {
			var requests atomic.Int32
			answered := make(chan struct{})
			address := startWorker(t, func(number int, conn net.Conn, reader *bufio.Reader) {
				const stray = "HTTP/1.1 422 Never\r\nRequest-Id: id-1\r\nContent-Length: 0\r\n\r\n"
				for {
					if _, _, err := readRequest(reader); err != nil {
						return
					}
					requests.Add(1)
					response := doneResponse + "\r\n"
					if number == 0 && !later {
						response += stray
					}
					_, _ = io.WriteString(conn, response)
					if number == 0 && later {
						<-answered
						_, _ = io.WriteString(conn, stray)
					}
				}
			})
			client := patientClient()
			defer client.Close()
			require.Equal(t, Done, deliver(client, delivery(address)).Outcome)
			close(answered)
			awaitReadable(t, client)
			assert.Equal(t, Done, deliver(client, delivery(address)).Outcome)
			assert.EqualValues(t, 2, requests.Load())
		})
	}
}

func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	address := startWorker(t, func(number int, conn net.Conn, reader *bufio.Reader) {
		if _, _, err := readRequest(reader); err == nil {
			_, _ = io.WriteString(conn, doneResponse+"\r\n")
		}
	})
	client := patientClient()
	defer client.Close()
	for range 3 {
		require.Equal(t, Done, deliver(client, delivery(address)).Outcome)
		awaitReadable(t, client)
	}
}

// onFakeTime runs a test in a synctest bubble, with a single connection in memory: play is the worker's side of it. The
// channel over is closed when play has returned.
func onFakeTime(t *testing.T, play func(conn net.Conn, reader *bufio.Reader), test func(t *testing.T, client *Client, over <-chan struct{})) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		over := make(chan struct{})
		go func() {
			defer close(over)
			defer func() { _ = far.Close() }()
			play(far, bufio.NewReader(far))
		}()
		client := patientClient()
		defer client.Close()
		client.dial = func(context.Context, string) (*connection, error) { return &connection{socket: near}, nil }
		test(t, client, over)
	})
}

func TestIdleConnectionIsClosedBeforeWorkerTimeout(t *testing.T) {
	var idleFor time.Duration
	onFakeTime(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _, _ = readRequest(reader)
		answered := time.Now()
		_, _ = io.WriteString(conn, doneResponse+"Keep-Alive: timeout=0.2\r\n\r\n")
		_, err := reader.ReadByte()
		assert.Equal(t, io.EOF, err)
		idleFor = time.Since(answered)
	}, func(t *testing.T, client *Client, over <-chan struct{}) {
		require.Equal(t, Done, deliver(client, delivery("")).Outcome)
		<-over
		assert.Equal(t, 150*time.Millisecond, idleFor, "the worker's timeout less a quarter")
	})
}

func TestKeepAliveField(t *testing.T) {
	assert.Equal(t, 3*time.Second, keepAlive(""))
	assert.Equal(t, 9*time.Second, keepAlive("max=5, timeout=10"))
	assert.Equal(t, 750*time.Millisecond, keepAlive("Timeout=1"))
	assert.Equal(t, time.Duration(0), keepAlive("timeout=0"))
	assert.Equal(t, 3*time.Second, keepAlive("timeout=-4"))
	assert.Equal(t, 3*time.Second, keepAlive("timeout=x"))
}

func TestUnresponsiveWorkerTimesOutAtLimit(t *testing.T) {
	onFakeTime(t, func(_ net.Conn, reader *bufio.Reader) {
		_, _, _ = readRequest(reader)
		_, _ = reader.ReadByte()
	}, func(t *testing.T, client *Client, _ <-chan struct{}) {
		d := delivery("")
		d.Limit = 150 * time.Millisecond
		result := deliver(client, d)
		assert.Equal(t, TimedOut, result.Outcome)
		assert.Equal(t, d.Limit+responseMargin, result.Took)
	})
}

func TestResetIsBroken(t *testing.T) {
	address := startWorker(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		_, _, _ = readRequest(reader)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	client := patientClient()
	defer client.Close()
	assert.Equal(t, Broken, deliver(client, delivery(address)).Outcome)
}

func TestClosedPortIsUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	client := patientClient()
	defer client.Close()
	assert.Equal(t, Unreachable, deliver(client, delivery(address)).Outcome)
	assert.Zero(t, client.pools["i-1"].open)
}

func TestCancelClosesConnection(t *testing.T) {
	began, closed := make(chan struct{}), make(chan struct{})
	address := startWorker(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		_, _, _ = readRequest(reader)
		close(began)
		_, _ = reader.ReadByte()
		close(closed)
	})
	client := patientClient()
	defer client.Close()
	result := make(chan Result, 1)
	d := delivery(address)
	call := client.Start(d, func(r Result) { result <- r })
	<-began
	call.Cancel()
	assert.Equal(t, Cancelled, (<-result).Outcome)
	<-closed
}

func TestPoolLimit(t *testing.T) {
	hold := make(chan struct{})
	address := startWorker(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		_, _, _ = readRequest(reader)
		<-hold
		_, _ = io.WriteString(conn, doneResponse+"\r\n")
	})
	client := patientClient()
	defer client.Close()
	client.SetLimits(map[string]Share{"i-1": {Max: 2}})
	results := make(chan Result, 3)
	for range 3 {
		d := delivery(address)
		client.Start(d, func(r Result) { results <- r })
	}
	assert.Equal(t, NoConnection, (<-results).Outcome)
	close(hold)
	assert.Equal(t, Done, (<-results).Outcome)
	assert.Equal(t, Done, (<-results).Outcome)
}

func TestConnectionsToRemovedWorkersAreClosed(t *testing.T) {
	closed := make(chan struct{})
	address := startWorker(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		_, _, _ = readRequest(reader)
		_, _ = io.WriteString(conn, doneResponse+"\r\n")
		_, _ = reader.ReadByte()
		close(closed)
	})
	client := patientClient()
	defer client.Close()
	client.SetLimits(map[string]Share{"i-1": {Max: 0}})
	require.Equal(t, Done, deliver(client, delivery(address)).Outcome)
	client.SetLimits(map[string]Share{"i-2": {Max: 0}})
	<-closed
	assert.Nil(t, client.pools["i-1"])
}

// The message may have been assigned to another sender while the connection was being made.
func TestRevokedDeliveryIsNotSent(t *testing.T) {
	address, requests := scriptedWorker(t, map[[2]int]string{{1, 0}: "HTTP/1.1 200 OK\r\nSignature: s\r\n" + complete})
	client := NewClient()
	defer client.Close()
	d := delivery(address)
	d.Revoked = func() bool { return true }
	require.Equal(t, NotRun, deliver(client, d).Outcome)
	require.Zero(t, requests.Load())
	d.Revoked = func() bool { return false }
	require.Equal(t, Done, deliver(client, d).Outcome)
}
