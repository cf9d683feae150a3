package worker

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// longLimit is a limit that no response in these tests comes near.
const longLimit = 30 * time.Second

// longBody is the length of a body that exceeds the socket buffers of a connection.
const longBody = 8 << 20

// responseWithLength returns a response with a Content-Length of 0 and more header fields.
func responseWithLength(status, requestID, more string) string {
	return "HTTP/1.1 " + status + "\r\nRequest-Id: " + requestID + "\r\n" + more + "Content-Length: 0\r\n\r\n"
}

func done(requestID string) string {
	return responseWithLength("200 OK", requestID, "Signature: "+requestID+"\r\n")
}

func failed(requestID string) string { return responseWithLength("500 Failed", requestID, "") }

func full(requestID string) string {
	return responseWithLength("503 Full", requestID, "Not-Executed: true\r\n")
}

func deliveryWithID(address, requestID string) *Delivery {
	d := delivery(address)
	d.RequestID, d.Limit = requestID, longLimit
	return d
}

// scriptedWorker runs a worker with scripted responses, by the number of the connection and the index of the request on
// it.
func scriptedWorker(t *testing.T, responses map[[2]int]string) (address string, requests *atomic.Int32) {
	requests = new(atomic.Int32)
	address = startWorker(t, func(number int, conn net.Conn, reader *bufio.Reader) {
		for index := 0; ; index++ {
			if _, _, err := readRequest(reader); err != nil {
				return
			}
			requests.Add(1)
			if _, err := io.WriteString(conn, responses[[2]int{number, index}]); err != nil {
				return
			}
		}
	})
	return address, requests
}

// idleConnection returns the only idle connection of the client.
func idleConnection(t *testing.T, client *Client) *connection {
	client.mu.Lock()
	defer client.mu.Unlock()
	require.Len(t, client.pools["i-1"].idle, 1)
	return client.pools["i-1"].idle[0]
}

// lateResponse runs a worker that responds to an earlier request a second time when it receives the next request.
func lateResponse(t *testing.T, m mutations) (second Result, requests int32) {
	address, count := scriptedWorker(t, map[[2]int]string{
		{0, 0}: done("id-1"),
		{0, 1}: responseWithLength("422 Never", "id-1", "") + done("id-2"),
		{1, 0}: done("id-2"),
	})
	client := patientClient()
	defer client.Close()
	client.mutations = m
	require.Equal(t, Done, deliver(client, deliveryWithID(address, "id-1")).Outcome)
	second = deliver(client, deliveryWithID(address, "id-2"))
	assert.Zero(t, client.pools["i-1"].open, "a connection with unexpected responses is not kept")
	return second, count.Load()
}

func TestLateResponseIsSkipped(t *testing.T) {
	result, requests := lateResponse(t, mutations{})
	assert.Equal(t, Done, result.Outcome)
	assert.Equal(t, "id-2", result.Signature)
	assert.EqualValues(t, 2, requests, "it is not sent again")
}

func TestMutationAcceptsForeignIsDetected(t *testing.T) {
	result, _ := lateResponse(t, mutations{acceptsForeign: true})
	assert.Equal(t, Rejected, result.Outcome, "the outcome of the other message")
}

// secondResponse runs a worker that responds to an attempt twice, the second time when it receives the next attempt.
func secondResponse(t *testing.T, m mutations, first string) (second Result) {
	address, _ := scriptedWorker(t, map[[2]int]string{
		{0, 0}: first,
		{0, 1}: first, // while the run of the second attempt goes on
		{1, 0}: done("id-1"),
	})
	client := patientClient()
	defer client.Close()
	client.mutations = m
	deliver(client, deliveryWithID(address, "id-1"))
	return deliver(client, deliveryWithID(address, "id-1"))
}

// All attempts of a message have the same request ID: only the connection distinguishes their responses.
func TestRetryIgnoresSecondResponseToEarlierAttempt(t *testing.T) {
	for name, first := range map[string]string{
		"failed": failed("id-1"), "full": full("id-1"), "repeat": responseWithLength("409 Runs", "id-1", "Not-Executed: true\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, Done, secondResponse(t, mutations{}, first).Outcome)
		})
	}
}

func TestMutationResendsOnConnectionIsDetected(t *testing.T) {
	assert.Equal(t, Failed, secondResponse(t, mutations{resendsOnConnection: true}, failed("id-1")).Outcome, "counted twice")
}

// The connection limit holds although a retry must not use the only connection: the connection is replaced.
func TestConnectionIsReplacedForRetry(t *testing.T) {
	address, _ := scriptedWorker(t, map[[2]int]string{{0, 0}: failed("id-1"), {1, 0}: done("id-1"), {1, 1}: done("id-2")})
	client := patientClient()
	defer client.Close()
	client.SetLimits(map[string]Share{"i-1": {Max: 1}})
	assert.Equal(t, Failed, deliver(client, deliveryWithID(address, "id-1")).Outcome)
	assert.Equal(t, Done, deliver(client, deliveryWithID(address, "id-1")).Outcome)
	assert.Equal(t, Done, deliver(client, deliveryWithID(address, "id-2")).Outcome, "on the new connection")
	assert.Equal(t, 1, client.pools["i-1"].open)
}

func TestConnectionWithTooManyUnresolvedMessagesIsClosed(t *testing.T) {
	var conns atomic.Int32
	address := startWorker(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		conns.Add(1)
		for {
			request, _, err := readRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, failed(request.Header.Get("Request-Id")))
		}
	})
	client := patientClient()
	defer client.Close()
	for i := range 2*maxUnresolved + 2 {
		require.Equal(t, Failed, deliver(client, deliveryWithID(address, fmt.Sprint(i))).Outcome)
	}
	assert.EqualValues(t, 2, conns.Load())
}

// A response without a Request-Id certainly belongs to the request on a new connection, but not on one that was used
// before.
func TestResponseWithoutRequestID(t *testing.T) {
	const unnamed = "HTTP/1.1 503 Full\r\nNot-Executed: true\r\nContent-Length: 0\r\n\r\n"
	address, _ := scriptedWorker(t, map[[2]int]string{{0, 0}: unnamed, {0, 1}: unnamed})
	client := patientClient()
	defer client.Close()
	assert.Equal(t, AtCapacity, deliver(client, deliveryWithID(address, "id-1")).Outcome)
	assert.Equal(t, Broken, deliver(client, deliveryWithID(address, "id-2")).Outcome)
}

func TestResponseWithTwoRequestIDsIsBroken(t *testing.T) {
	address, _ := scriptedWorker(t, map[[2]int]string{{0, 0}: responseWithLength("200 OK", "id-1", "Signature: s\r\nRequest-Id: id-2\r\n")})
	client := patientClient()
	defer client.Close()
	assert.Equal(t, Broken, deliver(client, deliveryWithID(address, "id-1")).Outcome)
}

// Bytes received after a response, or between requests, belong to no request: the connection is closed.
func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	more := map[string]string{
		"a second response": responseWithLength("422 Never", "id-2", ""), "no response": "x\r\n", "a rest": strings.Repeat("x", 3*readBuffer),
	}
	for name, extra := range more {
		t.Run("with the response, "+name, func(t *testing.T) {
			address, _ := scriptedWorker(t, map[[2]int]string{{0, 0}: done("id-1") + extra, {0, 1}: failed("id-2"), {1, 0}: done("id-2")})
			client := patientClient()
			defer client.Close()
			require.Equal(t, Done, deliver(client, deliveryWithID(address, "id-1")).Outcome)
			assert.Equal(t, Done, deliver(client, deliveryWithID(address, "id-2")).Outcome)
		})
		t.Run("later, "+name, func(t *testing.T) {
			returned := make(chan struct{})
			address := startWorker(t, func(number int, conn net.Conn, reader *bufio.Reader) {
				request, _, err := readRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, done(request.Header.Get("Request-Id")))
				if number == 0 {
					<-returned
					_, _ = io.WriteString(conn, extra)
				}
				_, _ = io.Copy(io.Discard, reader)
			})
			client := patientClient()
			defer client.Close()
			require.Equal(t, Done, deliver(client, deliveryWithID(address, "id-1")).Outcome)
			close(returned)
			awaitReadable(t, client)
			assert.Equal(t, Done, deliver(client, deliveryWithID(address, "id-2")).Outcome)
		})
	}
}

// An expired deadline of the previous exchange does not make an idle connection unusable.
func TestIdleConnectionIsReusedAfterDeadlineOfLastExchange(t *testing.T) {
	address, requests := scriptedWorker(t, map[[2]int]string{{0, 0}: done("id-1"), {0, 1}: done("id-2")})
	client := patientClient()
	defer client.Close()
	require.Equal(t, Done, deliver(client, deliveryWithID(address, "id-1")).Outcome)
	require.NoError(t, idleConnection(t, client).socket.SetDeadline(time.Now().Add(-time.Second)))
	require.Equal(t, Done, deliver(client, deliveryWithID(address, "id-2")).Outcome)
	assert.EqualValues(t, 2, requests.Load())
}

// earlyWorker runs a worker that responds as soon as it has received the header of a request, and then calls a function.
func earlyWorker(t *testing.T, response string, then func(conn net.Conn)) string {
	return startWorker(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for line := ""; line != "\r\n"; {
			var err error
			if line, err = reader.ReadString('\n'); err != nil {
				return
			}
		}
		_, _ = io.WriteString(conn, response)
		then(conn)
	})
}

// A worker may respond to a long request before it has received all of it.
func TestResponseBeforeRequestIsComplete(t *testing.T) {
	ends := map[string]func(conn net.Conn){
		"it closes":         func(net.Conn) {},
		"it reads the rest": func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) },
		"it closes its side": func(conn net.Conn) {
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		},
	}
	responses := map[string]struct {
		response string
		want     Outcome
	}{
		"full": {full("id-1"), AtCapacity}, "failed": {failed("id-1"), Failed}, "rejected": {responseWithLength("422 Never", "id-1", ""), Rejected},
		"of another": {done("id-2"), Broken}, "without a length": {"HTTP/1.1 503 Full\r\nRequest-Id: id-1\r\nNot-Executed: 1\r\n\r\n", AtCapacity},
		"garbled": {"HTTP/1.1 9\r\n\r\n", Broken},
	}
	for ending, then := range ends {
		for name, c := range responses {
			if name == "without a length" && ending != "it closes its side" {
				continue // the response has no end, or a reset may precede it
			}
			t.Run(name+", "+ending, func(t *testing.T) {
				client := patientClient()
				defer client.Close()
				d := deliveryWithID(earlyWorker(t, c.response, then), "id-1")
				d.Body = make([]byte, longBody)
				assert.Equal(t, c.want, deliver(client, d).Outcome)
			})
		}
	}
}

// A worker that does not read the request blocks neither its own response nor a cancel.
func TestWorkerThatDoesNotReadRequest(t *testing.T) {
	finished := make(chan struct{})
	defer close(finished)
	answered := make(chan struct{})
	address := earlyWorker(t, full("id-1"), func(net.Conn) {
		close(answered)
		<-finished
	})
	client := patientClient()
	defer client.Close()
	d := deliveryWithID(address, "id-1")
	d.Body = make([]byte, longBody)
	assert.Equal(t, AtCapacity, deliver(client, d).Outcome)
	<-answered
	assert.Zero(t, client.pools["i-1"].open, "the request was not sent completely")

	started := make(chan struct{})
	d.Address = earlyWorker(t, "", func(net.Conn) {
		close(started)
		<-finished
	})
	result := make(chan Result, 1)
	call := client.Start(d, func(r Result) { result <- r })
	<-started
	call.Cancel()
	assert.Equal(t, Cancelled, (<-result).Outcome)
}

// A response without a length ends with its connection: it is complete after a close, but not after a reset.
func TestResponseWithoutLength(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nSignature: s\r\n\r\nsome"
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset %t", reset), func(t *testing.T) {
			address := startWorker(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
				if _, _, err := readRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(conn, response)
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			client := patientClient()
			defer client.Close()
			want := Done
			if reset {
				want = Broken
			}
			assert.Equal(t, want, deliver(client, deliveryWithID(address, "id-1")).Outcome)
			assert.Zero(t, client.pools["i-1"].open)
		})
	}
}

// A response that is incomplete after the delivery's limit and responseMargin times out, and no later request gets the
// rest of it.
func TestIncompleteResponseAtDeadlineTimesOut(t *testing.T) {
	rest := make(chan struct{})
	address := startWorker(t, func(number int, conn net.Conn, reader *bufio.Reader) {
		if _, _, err := readRequest(reader); err != nil {
			return
		}
		complete := done("id-1")
		if number > 0 {
			_, _ = io.WriteString(conn, complete)
			return
		}
		_, _ = io.WriteString(conn, complete[:len(complete)-1])
		<-rest
		_, _ = io.WriteString(conn, complete[len(complete)-1:])
	})
	client := patientClient()
	defer client.Close()
	d := deliveryWithID(address, "id-1")
	d.Limit = time.Millisecond
	require.Equal(t, TimedOut, deliver(client, d).Outcome)
	assert.Zero(t, client.pools["i-1"].open)
	close(rest)
	assert.Equal(t, Done, deliver(client, deliveryWithID(address, "id-1")).Outcome)
}

// If a worker accepts fewer connections than there are senders, an idle connection is closed early so that another
// sender can connect.
func TestScarceIdleConnectionExpiresEarly(t *testing.T) {
	address, _ := scriptedWorker(t, map[[2]int]string{{0, 0}: done("id-1"), {1, 0}: done("id-1")})
	for _, scarce := range []bool{false, true} {
		client := patientClient()
		client.SetLimits(map[string]Share{"i-1": {Max: 1, Scarce: scarce}})
		require.Equal(t, Done, deliver(client, deliveryWithID(address, "id-1")).Outcome)
		client.mu.Lock()
		for _, conn := range client.pools["i-1"].idle {
			assert.Equal(t, !scarce, conn.expiresAt-client.now() > scarceIdleTimeout)
		}
		client.mu.Unlock()
		client.Close()
	}
}
