package worker

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/httpclient"
	"ravendale/test/standin/answers"
)

// claims are answers from which something would be concluded if they were valid.
var claims = map[string]answers.Answer{
	"done":         {Status: http.StatusOK, Fields: "Request-Id: id-1\r\nSignature: s\r\n", Body: "content"},
	"failed":       {Status: http.StatusInternalServerError, Fields: "Request-Id: id-1\r\n", Body: "content"},
	"rejected":     {Status: http.StatusUnprocessableEntity, Fields: "Request-Id: id-1\r\n", Body: "content"},
	"wrong worker": {Status: http.StatusMisdirectedRequest, Fields: "Request-Id: id-1\r\n", Body: "content"},
	"full":         {Status: http.StatusServiceUnavailable, Fields: "Request-Id: id-1\r\nNot-Executed: true\r\n", Body: "content"},
	"over rate":    {Status: http.StatusTooManyRequests, Fields: "Request-Id: id-1\r\nNot-Executed: true\r\n", Body: "content"},
	"duplicate":    {Status: http.StatusConflict, Fields: "Request-Id: id-1\r\nNot-Executed: true\r\n", Body: "content"},
	"unnamed full": {Status: http.StatusServiceUnavailable, Fields: "Not-Executed: true\r\n", Body: "content"},
}

// outcomes are the outcomes that the claims stand for.
var outcomes = map[string]Outcome{
	"done": Done, "failed": Failed, "rejected": Rejected, "wrong worker": WrongWorker, "full": AtCapacity, "over rate": AtCapacity,
	"duplicate": Duplicate, "unnamed full": AtCapacity,
}

// answeringWorker runs a worker that sends one answer on each connection. The channel over receives a value once a
// connection has ended; closes says that the worker ends it.
func answeringWorker(t *testing.T, text string, closes bool) (address string, over <-chan struct{}) {
	t.Helper()
	ended := make(chan struct{}, 1)
	address = startWorker(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		if _, _, err := readRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		if closes {
			_ = conn.(*net.TCPConn).CloseWrite()
		}
		_, _ = io.Copy(io.Discard, reader)
		ended <- struct{}{}
	})
	return address, ended
}

// A malformed response says nothing, whatever its status: the message may have run. Its connection is closed.
func TestMalformedResponsesAreBroken(t *testing.T) {
	for claim, answer := range claims {
		for _, form := range answers.Malformed() {
			t.Run(claim+"/"+form.Name, func(t *testing.T) {
				t.Parallel()
				client := patientClient()
				defer client.Close()
				address, over := answeringWorker(t, form.Encode(answer), false)
				result := deliver(client, delivery(address))
				assert.Equal(t, Broken, result.Outcome)
				assert.True(t, result.Outcome.MayHaveRun())
				assert.Empty(t, result.Signature)
				<-over
				client.mu.Lock()
				defer client.mu.Unlock()
				assert.Zero(t, client.pools["i-1"].open)
			})
		}
	}
}

func TestValidResponsesCount(t *testing.T) {
	for claim, answer := range claims {
		for _, form := range answers.Valid() {
			t.Run(claim+"/"+form.Name, func(t *testing.T) {
				t.Parallel()
				client := patientClient()
				defer client.Close()
				address, _ := answeringWorker(t, form.Encode(answer), form.Closes)
				result := deliver(client, delivery(address))
				assert.Equal(t, outcomes[claim], result.Outcome)
				if claim == "done" {
					assert.Equal(t, "s", result.Signature)
				}
			})
		}
	}
}

// A connection is used again after a valid response, unless the response or its outcome says otherwise.
func TestConnectionIsReusedAfterValidResponse(t *testing.T) {
	for _, form := range answers.Valid() {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			client := patientClient()
			defer client.Close()
			address, _ := answeringWorker(t, form.Encode(claims["done"]), form.Closes)
			require.Equal(t, Done, deliver(client, delivery(address)).Outcome)
			client.mu.Lock()
			defer client.mu.Unlock()
			closes := form.Closes || strings.HasPrefix(form.Encode(claims["done"]), "HTTP/1.0")
			assert.Equal(t, !closes, len(client.pools["i-1"].idle) == 1)
		})
	}
}

// The fields that say what became of a message are no lists: a response that repeats one is malformed, also if both are equal.
func TestRepeatedFieldIsBroken(t *testing.T) {
	for _, field := range []string{"Request-Id: id-1\r\n", "Signature: s\r\n", "Not-Executed: true\r\n"} {
		for claim, answer := range claims {
			t.Run(claim+"/"+strings.TrimSpace(field), func(t *testing.T) {
				t.Parallel()
				client := patientClient()
				defer client.Close()
				answer.Fields = strings.ReplaceAll(answer.Fields, field, "") + field + strings.ToLower(field)
				address, _ := answeringWorker(t, answers.Plain(answer), false)
				assert.Equal(t, Broken, deliver(client, delivery(address)).Outcome)
				client.mu.Lock()
				defer client.mu.Unlock()
				assert.Zero(t, client.pools["i-1"].open)
			})
		}
	}
}

// A HEAD is answered without a body, whatever length is announced.
func TestResponseToHeadHasNoBody(t *testing.T) {
	for _, length := range []string{"0", "7"} {
		t.Run(fmt.Sprintf("length %s", length), func(t *testing.T) {
			address, _ := scriptedWorker(t, map[[2]int]string{
				{0, 0}: "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nSignature: s\r\nContent-Length: " + length + "\r\n\r\n",
				{0, 1}: "HTTP/1.1 200 OK\r\nRequest-Id: id-2\r\nSignature: s\r\nContent-Length: " + length + "\r\n\r\n",
			})
			client := patientClient()
			defer client.Close()
			for _, id := range []string{"id-1", "id-2"} {
				d := deliveryWithID(address, id)
				d.Method, d.Body = http.MethodHead, nil
				assert.Equal(t, Done, deliver(client, d).Outcome)
			}
		})
	}
}

// FuzzResponses checks that a response from which something is concluded has a head of printable text in lines that end with
// CR LF, and that net/http, an independent reader, sees the same status and fields in it.
func FuzzResponses(f *testing.F) {
	for _, form := range append(answers.Valid(), answers.Malformed()...) {
		f.Add(form.Encode(claims["done"]))
		f.Add(form.Encode(claims["full"]))
	}
	f.Fuzz(func(t *testing.T, text string) {
		a, err := readResponse(httpclient.NewReader(strings.NewReader(text), readBuffer), http.MethodPost)
		if err != nil || classify(a, "id-1", true) == Broken {
			return
		}
		head, _, _ := strings.Cut(text, "\r\n\r\n")
		for _, line := range strings.Split(head, "\r\n") {
			if strings.ContainsFunc(line, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }) {
				t.Fatalf("%q counts", text)
			}
		}
		reader := bufio.NewReader(strings.NewReader(text))
		for {
			seen, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
			if err != nil {
				return // net/http rejects some forms that are valid, such as minor versions above 1
			}
			if seen.StatusCode < http.StatusOK {
				continue
			}
			assert.Equal(t, seen.StatusCode, a.status)
			assert.Equal(t, seen.Header.Get("Request-Id"), a.requestID)
			assert.Equal(t, seen.Header.Get("Signature"), a.signature)
			assert.Equal(t, seen.Header.Get("Not-Executed") != "", a.notExecuted)
			return
		}
	})
}
