package node

import (
	"errors"
	"fmt"
	"io"
	"strings"
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

// modes are the ways in which a scheduler runs.
var modes = map[string]struct {
	cores    int
	settings string
}{
	"asked lists":  {0, settings},
	"pushed lists": {0, deployments[longJobs]},
	"two cores":    {2, settings},
}

// A request that may run only once, and whose server sent a spoilt answer, may have run: the client must get no promise that
// it did not run, and no server must get it again. The connection must not be used again.
func TestSpoiltAnswerPromisesNothing(t *testing.T) {
	for mode, m := range modes {
		for _, status := range []int{202, 400, 503} {
			for _, form := range answers.Spoilt() {
				t.Run(fmt.Sprintf("%s/%d/%s", mode, status, form.Name), func(t *testing.T) {
					t.Parallel()
					server := listen(t)
					r := startRigOnCores(t, m.cores, m.settings, listed("w1", server))
					client := dial(t, r.addr)
					client.ask("a1", "pay", 5000)
					w := server.accept()
					w.request()
					w.send(form.Encode(serverAnswer(status)))
					w.expectEnd()
					if status, body := client.answer(); status != 504 || body != "" {
						t.Errorf("the client got %d %q", status, body)
					}
				})
			}
		}
	}
}

// A request that may be repeated is sent again on another connection, and the result comes from the server that ran it.
func TestSpoiltAnswerIsRetriedOnAnotherConnection(t *testing.T) {
	for mode, m := range modes {
		for _, form := range answers.Spoilt() {
			t.Run(fmt.Sprintf("%s/%s", mode, form.Name), func(t *testing.T) {
				t.Parallel()
				server := listen(t)
				r := startRigOnCores(t, m.cores, m.settings, listed("w1", server))
				client := dial(t, r.addr)
				client.ask("a1", "read", 5000)
				w := server.accept()
				w.request()
				w.send(form.Encode(serverAnswer(202)))
				w.expectEnd()
				again := server.accept()
				again.request()
				r.completeJob(again, "w1", "a1", client)
			})
		}
	}
}

// A spoilt answer to a DELETE ends its connection, and the DELETE is sent again on a new one.
func TestSpoiltAnswerToWithdrawalEndsConnection(t *testing.T) {
	for _, form := range answers.Spoilt() {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			server := listen(t)
			r := startRig(t, settings, listed("w1", server))
			client := dial(t, r.addr)
			client.ask("a1", "read", 5000)
			w := server.accept()
			w.request()
			w.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
			r.waitOwed(1)
			_ = client.Close()
			if got := w.request(); got.Method != "DELETE" {
				t.Fatal(got.Method)
			}
			w.send(form.Encode(serverAnswer(200)))
			w.expectEnd()
			again := server.accept()
			if got := again.request(); got.Method != "DELETE" {
				t.Fatal(got.Method)
			}
			again.send("HTTP/1.1 204 No Content\r\n\r\n")
		})
	}
}

// Servers in service answer a DELETE with a 204 that has a length of 0. It is forbidden, but taken: the connection is kept and
// carries the next request.
func TestWithdrawalAnsweredWithLengthOfZeroKeepsConnection(t *testing.T) {
	for mode, m := range modes {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			server := listen(t)
			r := startRigOnCores(t, m.cores, m.settings, listed("w1", server))
			client := dial(t, r.addr)
			client.ask("a1", "read", 5000)
			w := server.accept()
			w.request()
			w.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
			r.waitOwed(1)
			_ = client.Close()
			if got := w.request(); got.Method != "DELETE" {
				t.Fatal(got.Method)
			}
			w.send("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n")
			w.waitRead()
			next := dial(t, r.addr)
			next.ask("a2", "read", 5000)
			w.request()
			r.completeJob(w, "w1", "a2", next)
		})
	}
}

// Each sound answer of a server that accepts a request is taken.
func TestSoundAnswerIsTaken(t *testing.T) {
	for mode, m := range modes {
		for _, form := range answers.Sound() {
			if form.Closes {
				continue // an answer to a request is taken only with a length or in chunks
			}
			t.Run(fmt.Sprintf("%s/%s", mode, form.Name), func(t *testing.T) {
				t.Parallel()
				server := listen(t)
				r := startRigOnCores(t, m.cores, m.settings, listed("w1", server))
				client := dial(t, r.addr)
				client.ask("a1", "pay", 5000)
				w := server.accept()
				w.request()
				w.send(form.Encode(serverAnswer(202)))
				r.callback("w1", "a1", "done")
				if status, body := client.answer(); status != 200 || body != "x" {
					t.Errorf("the client got %d %q", status, body)
				}
			})
		}
	}
}

// The field of an answer that says that a request did not run is no list: an answer that repeats it is spoilt.
func TestRepeatedNotRunFieldPromisesNothing(t *testing.T) {
	server := listen(t)
	r := startRig(t, settings, listed("w1", server))
	client := dial(t, r.addr)
	client.ask("a1", "pay", 5000)
	w := server.accept()
	w.request()
	w.send("HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nx-turned-away: 0\r\nContent-Length: 0\r\n\r\n")
	w.expectEnd()
	if status, body := client.answer(); status != 504 || body != "" {
		t.Errorf("the client got %d %q", status, body)
	}
}

// A list in an answer whose head or framing is spoilt is not used, and the next watch is answered as usual. What is spoilt
// after the list, in later chunks or in the trailer, comes when the list has been taken: a watch is a stream.
func TestSpoiltListIsNotUsed(t *testing.T) {
	for mode, settings := range map[string]string{"asked lists": settings, "pushed lists": deployments[longJobs]} {
		for _, form := range answers.SpoiltHeads() {
			t.Run(mode+"/"+form.Name, func(t *testing.T) {
				t.Parallel()
				old, spoilt := listen(t), listen(t)
				r := startRig(t, settings, listed("w1", old))
				list := fmt.Sprintf(`{"seq":43,"whole":true,"hosts":[%s]}`+"\n", listed("w2", spoilt))
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

// A call-back in a request that is spoilt ends nothing, and neither is it acknowledged.
func TestSpoiltCallbackIsNotTaken(t *testing.T) {
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
			server := listen(t)
			r := startRig(t, settings, listed("w1", server))
			client := dial(t, r.addr)
			client.ask("a1", "pay", 5000)
			w := server.accept()
			w.request()
			w.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
			r.waitOwed(1)
			caller := dial(t, r.addr)
			caller.send(text)
			if status, _ := caller.answer(); status != 400 && status != 505 {
				t.Errorf("the call-back was answered %d", status)
			}
			caller.expectEnd()
			r.callback("w1", "a1", "done")
			if status, body := client.answer(); status != 200 || strings.TrimSpace(body) != "x" {
				t.Errorf("the client got %d %q", status, body)
			}
		})
	}
}
