package httpclient

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/balancer/http1"
	"ravendale/test/standin/answers"
)

// testTimeout is longer than anything in these tests takes.
const testTimeout = 30 * time.Second

// startServer runs a server that calls play for each connection, with the connection's number.
func startServer(t *testing.T, play func(number int, conn *net.TCPConn, reader *bufio.Reader)) (address string, connections *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	connections = new(atomic.Int32)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			number := int(connections.Add(1)) - 1
			go func() {
				defer func() { _ = conn.Close() }()
				play(number, conn.(*net.TCPConn), bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String(), connections
}

// readRequest reads a complete request.
func readRequest(reader *bufio.Reader) error {
	request, err := http.ReadRequest(reader)
	if err == nil {
		_, err = io.Copy(io.Discard, request.Body)
	}
	return err
}

// answerAll answers each request on a connection with a text.
func answerAll(text string) func(int, *net.TCPConn, *bufio.Reader) {
	return func(_ int, conn *net.TCPConn, reader *bufio.Reader) {
		for {
			if err := readRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(conn, text)
		}
	}
}

var okAnswer = answers.Answer{Status: http.StatusOK, Fields: "X-A: b\r\n", Body: "content"}

func newClient(t *testing.T, address string) *Client {
	client := New(Options{Address: address, IdleTimeout: time.Hour, MaxBody: 1 << 20})
	t.Cleanup(client.Close)
	return client
}

func get() *Request { return &Request{Method: http.MethodGet, Target: "/a?b=c", Host: "h"} }

func post() *Request {
	return &Request{Method: http.MethodPost, Target: "/a", Host: "h", Body: []byte("body"), Header: http1.Header{{Name: "X-A", Value: "b c"}}}
}

func TestValidResponsesAreReturned(t *testing.T) {
	for _, form := range answers.Valid() {
		t.Run(form.Name, func(t *testing.T) {
			address, connections := startServer(t, func(_ int, conn *net.TCPConn, reader *bufio.Reader) {
				for {
					if err := readRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(conn, form.Encode(okAnswer))
					if form.Closes {
						return
					}
				}
			})
			client := newClient(t, address)
			for range 2 {
				response, err := client.Do(t.Context(), post())
				require.NoError(t, err)
				assert.Equal(t, http.StatusOK, response.Status)
				assert.Equal(t, "b", response.Header.Get("X-A"))
				assert.Equal(t, "content", string(response.Body))
			}
			want := int32(1)
			if form.Closes || strings.HasPrefix(form.Encode(okAnswer), "HTTP/1.0") {
				want = 2
			}
			assert.Equal(t, want, connections.Load())
		})
	}
}

// A malformed response is an error, and its connection is closed: the next request comes on another one.
func TestMalformedResponsesAreErrors(t *testing.T) {
	for _, form := range answers.Malformed() {
		t.Run(form.Name, func(t *testing.T) {
			over := make(chan struct{})
			address, connections := startServer(t, func(number int, conn *net.TCPConn, reader *bufio.Reader) {
				if err := readRequest(reader); err != nil {
					return
				}
				if number > 0 {
					_, _ = io.WriteString(conn, answers.Plain(okAnswer))
					return
				}
				_, _ = io.WriteString(conn, form.Encode(okAnswer))
				_, _ = io.Copy(io.Discard, reader)
				close(over)
			})
			client := newClient(t, address)
			_, err := client.Do(t.Context(), get())
			var malformed *http1.Error
			require.ErrorAs(t, err, &malformed)
			<-over
			assert.EqualValues(t, 1, connections.Load(), "a malformed response is not asked for again")
			response, err := client.Do(t.Context(), get())
			require.NoError(t, err)
			assert.Equal(t, "content", string(response.Body))
		})
	}
}

func TestTruncatedResponseIsError(t *testing.T) {
	text := answers.Plain(okAnswer)
	for _, end := range []int{1, len("HTTP/1.1"), len(text) - len("content"), len(text) - 1} {
		t.Run(fmt.Sprint(end), func(t *testing.T) {
			address, connections := startServer(t, func(_ int, conn *net.TCPConn, reader *bufio.Reader) {
				_ = readRequest(reader)
				_, _ = io.WriteString(conn, text[:end])
			})
			_, err := newClient(t, address).Do(t.Context(), get())
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			assert.EqualValues(t, 1, connections.Load())
		})
	}
}

// A response that ends with the connection is truncated if the connection is reset.
func TestResetWithinResponseIsError(t *testing.T) {
	address, _ := startServer(t, func(_ int, conn *net.TCPConn, reader *bufio.Reader) {
		_ = readRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\ncont")
		_ = conn.SetLinger(0)
	})
	_, err := newClient(t, address).Do(t.Context(), post())
	require.Error(t, err)
}

func TestBodyLimit(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n12345678",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n12345678\r\n0\r\n\r\n",
		"close":  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n12345678",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startServer(t, func(_ int, conn *net.TCPConn, reader *bufio.Reader) {
				_ = readRequest(reader)
				_, _ = io.WriteString(conn, text)
			})
			client := New(Options{Address: address, MaxBody: 8})
			response, err := client.Do(t.Context(), get())
			require.NoError(t, err)
			assert.Equal(t, "12345678", string(response.Body))
			_, err = New(Options{Address: address, MaxBody: 7}).Do(t.Context(), get())
			var tooLong *http1.Error
			require.ErrorAs(t, err, &tooLong)
		})
	}
}

// A connection that the server closes while it is kept is replaced before the next request.
func TestClosedConnectionIsReplaced(t *testing.T) {
	closed := make(chan struct{}, 1)
	address, connections := startServer(t, func(_ int, conn *net.TCPConn, reader *bufio.Reader) {
		_ = readRequest(reader)
		_, _ = io.WriteString(conn, answers.Plain(okAnswer))
		_ = conn.Close()
		closed <- struct{}{}
	})
	client := newClient(t, address)
	for i := range 3 {
		_, err := client.Do(t.Context(), post())
		require.NoError(t, err)
		<-closed
		assert.EqualValues(t, i+1, connections.Load())
	}
}

// A server may close a connection when the next request is on its way: only a request that changes nothing is repeated.
func TestRequestIsRepeatedIfItChangesNothing(t *testing.T) {
	address, connections := startServer(t, func(_ int, conn *net.TCPConn, reader *bufio.Reader) {
		_ = readRequest(reader)
		_, _ = io.WriteString(conn, answers.Plain(okAnswer))
		_ = readRequest(reader)
	})
	client := newClient(t, address)
	_, err := client.Do(t.Context(), get())
	require.NoError(t, err)
	_, err = client.Do(t.Context(), get())
	require.NoError(t, err)
	require.EqualValues(t, 2, connections.Load())
	_, err = client.Do(t.Context(), post())
	require.ErrorIs(t, err, io.EOF)
	require.EqualValues(t, 2, connections.Load())
}

// Bytes that arrive between two requests belong to neither: the connection is closed without reading them.
func TestSecondResponseIsNotTakenForNext(t *testing.T) {
	stray := answers.Plain(answers.Answer{Status: http.StatusOK, Body: "stray"})
	for _, later := range []bool{false, true} {
		t.Run(fmt.Sprintf("later %v", later), func(t *testing.T) {
			answered, sent := make(chan struct{}), make(chan struct{})
			address, connections := startServer(t, func(number int, conn *net.TCPConn, reader *bufio.Reader) {
				_ = readRequest(reader)
				text := answers.Plain(okAnswer)
				if number == 0 && !later {
					text += stray
				}
				_, _ = io.WriteString(conn, text)
				if number == 0 && later {
					<-answered
					_, _ = io.WriteString(conn, stray)
				}
				if number == 0 {
					close(sent)
				}
				_, _ = io.Copy(io.Discard, reader)
			})
			client := newClient(t, address)
			_, err := client.Do(t.Context(), get())
			require.NoError(t, err)
			close(answered)
			<-sent
			awaitReadable(t, client)
			response, err := client.Do(t.Context(), get())
			require.NoError(t, err)
			assert.Equal(t, "content", string(response.Body))
			assert.EqualValues(t, 2, connections.Load())
		})
	}
}

// awaitReadable waits until the connection that the client keeps, if it does, has bytes to read.
func awaitReadable(t *testing.T, client *Client) {
	t.Helper()
	if client.conn == nil {
		return
	}
	for isIdleConn(client.conn.socket) {
		require.NoError(t, t.Context().Err())
	}
}

func TestConnectionIsNotKeptBeyondIdleTimeout(t *testing.T) {
	address, connections := startServer(t, answerAll(answers.Plain(okAnswer)))
	client := newClient(t, address)
	_, err := client.Do(t.Context(), get())
	require.NoError(t, err)
	client.conn.lastUsed = client.conn.lastUsed.Add(-2 * time.Hour)
	_, err = client.Do(t.Context(), get())
	require.NoError(t, err)
	assert.EqualValues(t, 2, connections.Load())
}

func TestRequestIsSentAsGiven(t *testing.T) {
	seen := make(chan string, 1)
	address, _ := startServer(t, func(_ int, conn *net.TCPConn, reader *bufio.Reader) {
		var text bytes.Buffer
		_ = readRequest(bufio.NewReader(io.TeeReader(reader, &text)))
		_, _ = io.WriteString(conn, answers.Plain(okAnswer))
		seen <- text.String()
	})
	_, err := New(Options{Address: address, MaxBody: 100}).Do(t.Context(), post())
	require.NoError(t, err)
	assert.Equal(t, "POST /a HTTP/1.1\r\nHost: h\r\nX-A: b c\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody", <-seen)
	_, err = newClient(t, address).Do(t.Context(), get())
	require.NoError(t, err)
	assert.Equal(t, "GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n", <-seen)
}

func TestRequestThatWouldBeReadAsAnotherIsNotSent(t *testing.T) {
	address, connections := startServer(t, answerAll(answers.Plain(okAnswer)))
	for _, request := range []*Request{
		{Method: "GET", Target: "/a b", Host: "h"}, {Method: "GET", Target: "/a\r\nX: y", Host: "h"}, {Method: "GET", Target: "/a", Host: "h\r\nX: y"},
		{Method: "GET", Target: "/a", Host: "h", Header: http1.Header{{Name: "X", Value: "y\r\nZ: z"}}},
		{Method: "GET", Target: "/a", Host: "h", Header: http1.Header{{Name: "X Y", Value: "y"}}}, {Method: "", Target: "/a", Host: "h"},
		{Method: "GET", Target: "", Host: "h"},
	} {
		_, err := newClient(t, address).Do(t.Context(), request)
		assert.ErrorIs(t, err, errInvalidRequest, "%+v", request)
	}
	assert.Zero(t, connections.Load())
}

// A server may answer a long request before it has read all of it.
func TestResponseBeforeRequestIsComplete(t *testing.T) {
	release := make(chan struct{})
	address, _ := startServer(t, func(_ int, conn *net.TCPConn, _ *bufio.Reader) {
		_, _ = io.WriteString(conn, answers.Plain(answers.Answer{Status: http.StatusRequestEntityTooLarge, Body: "too long"}))
		<-release
	})
	defer close(release)
	request := post()
	request.Body = make([]byte, 16<<20)
	client := newClient(t, address)
	response, err := client.Do(t.Context(), request)
	require.NoError(t, err)
	assert.Equal(t, http.StatusRequestEntityTooLarge, response.Status)
	assert.Nil(t, client.conn, "the connection holds a part of the request")
}

func TestExchangeEndsWithContextAndTimeout(t *testing.T) {
	release := make(chan struct{})
	address, _ := startServer(t, func(_ int, _ *net.TCPConn, reader *bufio.Reader) {
		_ = readRequest(reader)
		<-release
	})
	defer close(release)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err := newClient(t, address).Do(ctx, get())
	require.ErrorIs(t, err, context.DeadlineExceeded)
	began := time.Now()
	_, err = New(Options{Address: address, ExchangeTimeout: 10 * time.Millisecond, MaxBody: 1}).Do(t.Context(), get())
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Less(t, time.Since(began), testTimeout)
}

func TestFailedConnectIsDialError(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	_, err = newClient(t, listener.Addr().String()).Do(t.Context(), post())
	var operation *net.OpError
	require.True(t, errors.As(err, &operation))
	require.Equal(t, "dial", operation.Op)
}
