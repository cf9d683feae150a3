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

// patient is a limit that no answer of these tests comes near.
const patient = 30 * time.Second

// longBody is more than the buffers of a connection take.
const longBody = 8 << 20

// answerWithLength writes an answer with a length.
func answerWithLength(status, requestID, more string) string {
	return "HTTP/1.1 " + status + "\r\nRequest-Id: " + requestID + "\r\n" + more + "Content-Length: 0\r\n\r\n"
}

func done(requestID string) string {
	return answerWithLength("200 OK", requestID, "Signature: "+requestID+"\r\n")
}

func failed(requestID string) string { return answerWithLength("500 Failed", requestID, "") }

func full(requestID string) string {
	return answerWithLength("503 Full", requestID, "Not-Executed: true\r\n")
}

func named(address, requestID string) *Delivery {
	d := delivery(address)
	d.RequestID, d.Limit = requestID, patient
	return d
}

// scripted plays a worker that answers the requests of each connection by a script: connection, place of the request on it.
func scripted(t *testing.T, answers map[[2]int]string) (address string, requests *atomic.Int32) {
	requests = new(atomic.Int32)
	address = script(t, func(number int, conn net.Conn, reader *bufio.Reader) {
		for index := 0; ; index++ {
			if _, _, err := readRequest(reader); err != nil {
				return
			}
			requests.Add(1)
			if _, err := io.WriteString(conn, answers[[2]int{number, index}]); err != nil {
				return
			}
		}
	})
	return address, requests
}

// idleConnection is the only one that the client keeps.
func idleConnection(t *testing.T, client *Client) *connection {
	client.mu.Lock()
	defer client.mu.Unlock()
	require.Len(t, client.pools["i-1"].idle, 1)
	return client.pools["i-1"].idle[0]
}

// lateAnswer has a worker answer an earlier request a second time, just as another has come.
func lateAnswer(t *testing.T, m mutations) (second Result, requests int32) {
	address, count := scripted(t, map[[2]int]string{
		{0, 0}: done("id-1"),
		{0, 1}: answerWithLength("422 Never", "id-1", "") + done("id-2"),
		{1, 0}: done("id-2"),
	})
	client := patientClient()
	defer client.Close()
	client.mutations = m
	require.Equal(t, Done, deliver(client, named(address, "id-1")).Outcome)
	second = deliver(client, named(address, "id-2"))
	assert.Zero(t, client.pools["i-1"].open, "a connection with answers that belong to nobody is not kept")
	return second, count.Load()
}

func TestLateAnswerIsSkipped(t *testing.T) {
	result, requests := lateAnswer(t, mutations{})
	assert.Equal(t, Done, result.Outcome)
	assert.Equal(t, "id-2", result.Signature)
	assert.EqualValues(t, 2, requests, "it is not sent again")
}

func TestMutationThatAcceptsForeignAnswersIsCaught(t *testing.T) {
	result, _ := lateAnswer(t, mutations{acceptsForeign: true})
	assert.Equal(t, Rejected, result.Outcome, "the other message's end")
}

// secondAnswer has a worker answer an attempt twice, the second time as the next attempt has come.
func secondAnswer(t *testing.T, m mutations, first string) (second Result) {
	address, _ := scripted(t, map[[2]int]string{
		{0, 0}: first,
		{0, 1}: first, // and the run goes on
		{1, 0}: done("id-1"),
	})
	client := patientClient()
	defer client.Close()
	client.mutations = m
	deliver(client, named(address, "id-1"))
	return deliver(client, named(address, "id-1"))
}

// All attempts of a message have the same id: only the connection distinguishes their answers.
func TestSecondAnswerToAnAttemptIsNotTakenForThatToTheNext(t *testing.T) {
	for name, first := range map[string]string{
		"failed": failed("id-1"), "full": full("id-1"), "repeat": answerWithLength("409 Runs", "id-1", "Not-Executed: true\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, Done, secondAnswer(t, mutations{}, first).Outcome)
		})
	}
}

func TestMutationThatResendsOnAConnectionIsCaught(t *testing.T) {
	assert.Equal(t, Failed, secondAnswer(t, mutations{resendsOnConnection: true}, failed("id-1")).Outcome, "counted twice")
}

// The limit holds though the only connection may not carry the message again.
func TestConnectionThatMayNotSendAMessageIsReplaced(t *testing.T) {
	address, _ := scripted(t, map[[2]int]string{{0, 0}: failed("id-1"), {1, 0}: done("id-1"), {1, 1}: done("id-2")})
	client := patientClient()
	defer client.Close()
	client.SetLimits(map[string]Share{"i-1": {Max: 1}})
	assert.Equal(t, Failed, deliver(client, named(address, "id-1")).Outcome)
	assert.Equal(t, Done, deliver(client, named(address, "id-1")).Outcome)
	assert.Equal(t, Done, deliver(client, named(address, "id-2")).Outcome, "on the connection that has replaced it")
	assert.Equal(t, 1, client.pools["i-1"].open)
}

func TestConnectionIsNotKeptWithTooManyMessagesToBeSentAgain(t *testing.T) {
	var conns atomic.Int32
	address := script(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
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
		require.Equal(t, Failed, deliver(client, named(address, fmt.Sprint(i))).Outcome)
	}
	assert.EqualValues(t, 2, conns.Load())
}

// An answer without an id is this request's on a new connection, and anybody's on one that was used.
func TestAnswerWithoutAnID(t *testing.T) {
	const unnamed = "HTTP/1.1 503 Full\r\nNot-Executed: true\r\nContent-Length: 0\r\n\r\n"
	address, _ := scripted(t, map[[2]int]string{{0, 0}: unnamed, {0, 1}: unnamed})
	client := patientClient()
	defer client.Close()
	assert.Equal(t, AtCapacity, deliver(client, named(address, "id-1")).Outcome)
	assert.Equal(t, Broken, deliver(client, named(address, "id-2")).Outcome)
}

func TestAnswerOfTwoRequestsIsNobodys(t *testing.T) {
	address, _ := scripted(t, map[[2]int]string{{0, 0}: answerWithLength("200 OK", "id-1", "Signature: s\r\nRequest-Id: id-2\r\n")})
	client := patientClient()
	defer client.Close()
	assert.Equal(t, Broken, deliver(client, named(address, "id-1")).Outcome)
}

// What comes after an answer, or between requests, belongs to no request: the connection is given up.
func TestConnectionWithSomethingToReadIsNotUsed(t *testing.T) {
	more := map[string]string{
		"a second answer": answerWithLength("422 Never", "id-2", ""), "no answer": "x\r\n", "a rest": strings.Repeat("x", 3*readBuffer),
	}
	for name, extra := range more {
		t.Run("at once, "+name, func(t *testing.T) {
			address, _ := scripted(t, map[[2]int]string{{0, 0}: done("id-1") + extra, {0, 1}: failed("id-2"), {1, 0}: done("id-2")})
			client := patientClient()
			defer client.Close()
			require.Equal(t, Done, deliver(client, named(address, "id-1")).Outcome)
			assert.Equal(t, Done, deliver(client, named(address, "id-2")).Outcome)
		})
		t.Run("later, "+name, func(t *testing.T) {
			kept := make(chan struct{})
			address := script(t, func(number int, conn net.Conn, reader *bufio.Reader) {
				request, _, err := readRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, done(request.Header.Get("Request-Id")))
				if number == 0 {
					<-kept
					_, _ = io.WriteString(conn, extra)
				}
				_, _ = io.Copy(io.Discard, reader)
			})
			client := patientClient()
			defer client.Close()
			require.Equal(t, Done, deliver(client, named(address, "id-1")).Outcome)
			close(kept)
			awaitReadable(t, client)
			assert.Equal(t, Done, deliver(client, named(address, "id-2")).Outcome)
		})
	}
}

// The deadline of the exchange before says nothing of an idle connection.
func TestIdleConnectionIsUsedAfterTheDeadlineOfItsLastExchange(t *testing.T) {
	address, requests := scripted(t, map[[2]int]string{{0, 0}: done("id-1"), {0, 1}: done("id-2")})
	client := patientClient()
	defer client.Close()
	require.Equal(t, Done, deliver(client, named(address, "id-1")).Outcome)
	require.NoError(t, idleConnection(t, client).socket.SetDeadline(time.Now().Add(-time.Second)))
	require.Equal(t, Done, deliver(client, named(address, "id-2")).Outcome)
	assert.EqualValues(t, 2, requests.Load())
}

// early plays a worker that answers as soon as it has a request's head, and then does what is asked.
func early(t *testing.T, answer string, then func(conn net.Conn)) string {
	return script(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for line := ""; line != "\r\n"; {
			var err error
			if line, err = reader.ReadString('\n'); err != nil {
				return
			}
		}
		_, _ = io.WriteString(conn, answer)
		then(conn)
	})
}

// A worker may turn a long request away before it is in.
func TestAnswerThatComesBeforeTheRequestIsIn(t *testing.T) {
	ends := map[string]func(conn net.Conn){
		"it closes":         func(net.Conn) {},
		"it reads the rest": func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) },
		"it ends its side": func(conn net.Conn) {
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		},
	}
	answers := map[string]struct {
		answer string
		want   Outcome
	}{
		"full": {full("id-1"), AtCapacity}, "failed": {failed("id-1"), Failed}, "refused": {answerWithLength("422 Never", "id-1", ""), Rejected},
		"of another": {done("id-2"), Broken}, "without a length": {"HTTP/1.1 503 Full\r\nRequest-Id: id-1\r\nNot-Executed: 1\r\n\r\n", AtCapacity},
		"garbled": {"HTTP/1.1 9\r\n\r\n", Broken},
	}
	for ending, then := range ends {
		for name, c := range answers {
			if name == "without a length" && ending != "it ends its side" {
				continue // it has no end, or a reset may come before it
			}
			t.Run(name+", "+ending, func(t *testing.T) {
				client := patientClient()
				defer client.Close()
				d := named(early(t, c.answer, then), "id-1")
				d.Body = make([]byte, longBody)
				assert.Equal(t, c.want, deliver(client, d).Outcome)
			})
		}
	}
}

// A worker that reads nothing does not hold its answer up, nor a cancel.
func TestWorkerThatDoesNotReadIsHeardAndLeft(t *testing.T) {
	finished := make(chan struct{})
	defer close(finished)
	answered := make(chan struct{})
	address := early(t, full("id-1"), func(net.Conn) {
		close(answered)
		<-finished
	})
	client := patientClient()
	defer client.Close()
	d := named(address, "id-1")
	d.Body = make([]byte, longBody)
	assert.Equal(t, AtCapacity, deliver(client, d).Outcome)
	<-answered
	assert.Zero(t, client.pools["i-1"].open, "the request did not go out whole")

	heard := make(chan struct{})
	d.Address = early(t, "", func(net.Conn) {
		close(heard)
		<-finished
	})
	result := make(chan Result, 1)
	call := client.Start(d, func(r Result) { result <- r })
	<-heard
	call.Cancel()
	assert.Equal(t, Cancelled, (<-result).Outcome)
}

// An answer without a length ends with its connection: by a close it is complete, by a reset it is not.
func TestAnswerWithoutALength(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nSignature: s\r\n\r\nsome"
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset %t", reset), func(t *testing.T) {
			address := script(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
				if _, _, err := readRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(conn, answer)
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
			assert.Equal(t, want, deliver(client, named(address, "id-1")).Outcome)
			assert.Zero(t, client.pools["i-1"].open)
		})
	}
}

// The end of an answer that comes after the time given to the worker, and the slack, is not waited for, and no later request gets it.
func TestAnswerThatIsIncompleteAtTheDeadlineIsUnknown(t *testing.T) {
	rest := make(chan struct{})
	address := script(t, func(number int, conn net.Conn, reader *bufio.Reader) {
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
	d := named(address, "id-1")
	d.Limit = time.Millisecond
	require.Equal(t, TimedOut, deliver(client, d).Outcome)
	assert.Zero(t, client.pools["i-1"].open)
	close(rest)
	assert.Equal(t, Done, deliver(client, named(address, "id-1")).Outcome)
}

// Where a worker takes fewer connections than there are senders, one that is idle is soon another's to make.
func TestIdleConnectionIsKeptShortlyWhereTheyAreScarce(t *testing.T) {
	address, _ := scripted(t, map[[2]int]string{{0, 0}: done("id-1"), {1, 0}: done("id-1")})
	for _, scarce := range []bool{false, true} {
		client := patientClient()
		client.SetLimits(map[string]Share{"i-1": {Max: 1, Scarce: scarce}})
		require.Equal(t, Done, deliver(client, named(address, "id-1")).Outcome)
		client.mu.Lock()
		for _, conn := range client.pools["i-1"].idle {
			assert.Equal(t, !scarce, conn.expiresAt-client.now() > scarceIdleTimeout)
		}
		client.mu.Unlock()
		client.Close()
	}
}
