package node

import (
	"errors"
	"fmt"
	"io"
	"syscall"
	"testing"

	"ravendale/balancer/platform"
	"ravendale/test/standin/answers"
)

// expectEnd fails the test unless the other side closes the connection, with or without a reset, and sends nothing more.
func (c *conversation) expectEnd() {
	c.t.Helper()
	rest, err := io.ReadAll(c.in)
	if err != nil && !errors.Is(err, syscall.ECONNRESET) || len(rest) > 0 {
		c.t.Fatalf("the connection went on with %q, %v", rest, err)
	}
}

// serverAnswer is an answer of a backend server with a status, and with the field of those that did not run if it is 503.
func serverAnswer(status int) answers.Answer {
	answer := answers.Answer{Status: status, Body: "content"}
	if status == 503 {
		answer.Fields = platform.HeaderNotRun + ": 1\r\n"
	}
	return answer
}

// mode is a way in which a scheduler runs.
type mode struct {
	cores    int // 0: one loop for all
	settings string
}

var modes = map[string]mode{
	"asked lists":  {0, settings},
	"pushed lists": {0, deployments[longJobs]},
	"two cores":    {2, settings},
}

// acceptedAnswer accepts a request.
const acceptedAnswer = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"

// startedJob is a scheduler with one server, w1, to which it has sent the request a1 of a client.
type startedJob struct {
	*rig
	server         *listener
	client, worker *conversation
}

// startJob starts a scheduler, and has a client send it a request of a class.
func startJob(t *testing.T, m mode, class string) *startedJob {
	t.Helper()
	j := &startedJob{server: listen(t)}
	j.rig = startRigOnCores(t, m.cores, m.settings, listed("w1", j.server))
	j.client = dial(t, j.addr)
	j.client.ask("a1", class, 5000)
	j.worker = j.server.accept()
	j.worker.request()
	return j
}

// withdraw makes the server accept the request and the client leave, and waits for the DELETE that follows.
func (j *startedJob) withdraw() {
	j.t.Helper()
	j.worker.send(acceptedAnswer)
	j.waitOwed(1)
	_ = j.client.Close()
	j.worker.expectDelete()
}

func (c *conversation) expectDelete() {
	c.t.Helper()
	if got := c.request(); got.Method != "DELETE" {
		c.t.Fatalf("got a %s", got.Method)
	}
}

// expectNoPromise fails the test unless the client learns that its request may have run.
func (j *startedJob) expectNoPromise() {
	j.t.Helper()
	if status, body := j.client.answer(); status != 504 || body != "" {
		j.t.Errorf("the client got %d %q", status, body)
	}
}

// expectResult fails the test unless the client gets the result of a call-back.
func (j *startedJob) expectResult() {
	j.t.Helper()
	if status, body := j.client.answer(); status != 200 || body != "x" {
		j.t.Errorf("the client got %d %q", status, body)
	}
}

// A request that may run only once, and whose server sent a malformed answer, may have run: the client must get no promise that
// it did not run, and no server must get it again. The connection must not be used again.
func TestMalformedAnswerPromisesNothing(t *testing.T) {
	for name, m := range modes {
		for _, status := range []int{202, 400, 503} {
			for _, form := range answers.Malformed() {
				t.Run(fmt.Sprintf("%s/%d/%s", name, status, form.Name), func(t *testing.T) {
					t.Parallel()
					j := startJob(t, m, "pay")
					j.worker.send(form.Encode(serverAnswer(status)))
					j.worker.expectEnd()
					j.expectNoPromise()
				})
			}
		}
	}
}

// A request that may be repeated is sent again on another connection, and the result comes from the server that ran it.
func TestMalformedAnswerIsRetriedOnAnotherConnection(t *testing.T) {
	for name, m := range modes {
		for _, form := range answers.Malformed() {
			t.Run(fmt.Sprintf("%s/%s", name, form.Name), func(t *testing.T) {
				t.Parallel()
				j := startJob(t, m, "read")
				j.worker.send(form.Encode(serverAnswer(202)))
				j.worker.expectEnd()
				again := j.server.accept()
				again.request()
				j.completeJob(again, "w1", "a1", j.client)
			})
		}
	}
}

// A malformed answer to a DELETE ends its connection, and the DELETE is sent again on a new one.
func TestMalformedAnswerToWithdrawalEndsConnection(t *testing.T) {
	for _, form := range answers.Malformed() {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			j := startJob(t, modes["asked lists"], "read")
			j.withdraw()
			j.worker.send(form.Encode(serverAnswer(200)))
			j.worker.expectEnd()
			again := j.server.accept()
			again.expectDelete()
			again.send("HTTP/1.1 204 No Content\r\n\r\n")
		})
	}
}

// Servers in service answer a DELETE with a 204 that has a length of 0. It is forbidden, but taken: the connection is kept and
// carries the next request.
func TestWithdrawalAnsweredWithLengthOfZeroKeepsConnection(t *testing.T) {
	for name, m := range modes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			j := startJob(t, m, "read")
			j.withdraw()
			j.worker.send("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n")
			j.worker.waitRead()
			next := dial(t, j.addr)
			next.ask("a2", "read", 5000)
			j.worker.request()
			j.completeJob(j.worker, "w1", "a2", next)
		})
	}
}

// Each valid answer of a server that accepts a request is taken.
func TestValidAnswerIsTaken(t *testing.T) {
	for name, m := range modes {
		for _, form := range answers.Valid() {
			if form.Closes {
				continue // an answer to a request is taken only with a length or in chunks
			}
			t.Run(fmt.Sprintf("%s/%s", name, form.Name), func(t *testing.T) {
				t.Parallel()
				j := startJob(t, m, "pay")
				j.worker.send(form.Encode(serverAnswer(202)))
				j.callback("w1", "a1", "done")
				j.expectResult()
			})
		}
	}
}

// The field of an answer that says that a request did not run is no list: an answer that repeats it is malformed.
func TestRepeatedNotRunFieldPromisesNothing(t *testing.T) {
	j := startJob(t, modes["asked lists"], "pay")
	j.worker.send("HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nx-turned-away: 0\r\nContent-Length: 0\r\n\r\n")
	j.worker.expectEnd()
	j.expectNoPromise()
}

// A list in an answer whose head or framing is malformed is not used, and the next watch is answered as usual. What is malformed
// after the list, in later chunks or in the trailer, comes when the list has been taken: a watch is a stream.
func TestMalformedListIsNotUsed(t *testing.T) {
	for mode, settings := range map[string]string{"asked lists": settings, "pushed lists": deployments[longJobs]} {
		for _, form := range answers.MalformedHeads() {
			t.Run(mode+"/"+form.Name, func(t *testing.T) {
				t.Parallel()
				old, malformed := listen(t), listen(t)
				r := startRig(t, settings, listed("w1", old))
				list := fmt.Sprintf(`{"seq":43,"whole":true,"hosts":[%s]}`+"\n", listed("w2", malformed))
				watch := r.disc.accept()
				watch.request()
				watch.send(form.Encode(answers.Answer{Status: 200, Body: list}))
				watch.expectEnd()
				r.waitLogged(`msg="watch ended"`)
				client := dial(t, r.addr)
				client.ask("a1", "pay", 5000)
				w := old.accept()
				w.request()
				r.completeJob(w, "w1", "a1", client)
			})
		}
	}
}

// A call-back in a request that is malformed ends nothing, and neither is it acknowledged.
func TestMalformedCallbackIsNotTaken(t *testing.T) {
	body := fmt.Sprintf(`{"id":%q,"from":"w1","state":"failed"}`, fullID("a1"))
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunk := fmt.Sprintf("%x", len(body))
	chunked := "POST /callback HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, text := range map[string]string{
		"version":                        "POST /callback HTTP/1.junk\r\nHost: s\r\n" + length + "\r\n" + body,
		"line ends with LF":              "POST /callback HTTP/1.1\r\nHost: s\n" + length + "\r\n" + body,
		"CR before the request line":     "\rPOST /callback HTTP/1.1\r\nHost: s\r\n" + length + "\r\n" + body,
		"blank in a name":                "POST /callback HTTP/1.1\r\nHost: s\r\nX A: b\r\n" + length + "\r\n" + body,
		"control byte in a name":         "POST /callback HTTP/1.1\r\nHost: s\r\nX\x01A: b\r\n" + length + "\r\n" + body,
		"control byte in a value":        "POST /callback HTTP/1.1\r\nHost: s\r\nX-A: b\x01\r\n" + length + "\r\n" + body,
		"length and coding":              "POST /callback HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n" + length + "\r\n" + body,
		"blank before a chunk size":      chunked + " " + chunk + "\r\n" + body + "\r\n0\r\n\r\n",
		"chunk extension without a name": chunked + chunk + ";=\r\n" + body + "\r\n0\r\n\r\n",
		"LF in a chunk size line":        chunked + chunk + ";a\nb\r\n" + body + "\r\n0\r\n\r\n",
		"no colon in the trailer":        chunked + chunk + "\r\n" + body + "\r\n0\r\nX-A\r\n\r\n",
		"length in the trailer":          chunked + chunk + "\r\n" + body + "\r\n0\r\nContent-Length: 5\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			j := startJob(t, modes["asked lists"], "pay")
			j.worker.send(acceptedAnswer)
			j.waitOwed(1)
			caller := dial(t, j.addr)
			caller.send(text)
			if status, _ := caller.answer(); status != 400 && status != 505 {
				t.Errorf("the call-back was answered %d", status)
			}
			caller.expectEnd()
			j.callback("w1", "a1", "done")
			j.expectResult()
		})
	}
}
