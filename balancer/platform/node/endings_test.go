package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
)

// slowDials changes settings to a deployment with a long connect timeout, a short idle timeout, no cancellation, and classes whose
// jobs are given up unless they start in time.
var slowDials = strings.NewReplacer(`"connect-timeout-us":250000`, `"connect-timeout-us":15000000`, `"idle-close-us":5000000`, `"idle-close-us":250000`,
	`"may-cancel":true`, `"may-cancel":false`, `"aim-us":40`, `"aim-us":2`, `"aim-us":41`, `"aim-us":2`, `"late-worth":0.5`, `"late-worth":0`)

// A connection that is established after its request was answered, or its client left, must carry nothing, even in a deployment
// without cancellation: an attempt that has not begun needs none. In a deployment without cancellation, twelve requests of a
// day were forwarded after their final answers.
func TestNothingSentForEndedRequest(t *testing.T) {
	for at, settings := range map[string]string{"no cancel": slowDials.Replace(settings),
		"cancel":     strings.Replace(slowDials.Replace(settings), `"may-cancel":false`, `"may-cancel":true`, 1),
		"pushed":     slowDials.Replace(deployments[longJobs]),
		"held bytes": strings.Replace(slowDials.Replace(settings), `"name":"read","effect":"idempotent"`, `"name":"read","effect":"deduplicated","group":"all","window-us":9000000`, 1)} {
		for _, left := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, client left %v", at, left), func(t *testing.T) {
				t.Parallel()
				server := listen(t)
				release := server.fillBacklog()
				r := startRig(t, settings, listed("w1", server))
				r.keepBusy()
				r.watch()
				c := dial(t, r.addr)
				c.ask("a1", "read", 5000)
				server.waitSYN() // and the connection is not established
				if left {
					_ = c.Close()
				} else if status, _ := c.answer(); status != 503 {
					t.Fatalf("answered %d", status)
				}
				release()
				server.accept().expectEOF() // the connection is kept for later requests, and closed when idle
			})
		}
	}
}

// A repeat of a keyed job must not be sent if its connection is established when servers no longer drop repeats: it could run
// twice. On the first deployment, with a window of 1 s, one was sent 0.94 s after the first attempt, on a connection that took
// up to 250 ms to be established.
func TestRetryNotSentAfterWindow(t *testing.T) {
	for at, settings := range map[string]string{shortJobs: settings, longJobs: deployments[longJobs]} {
		t.Run(at, func(t *testing.T) {
			t.Parallel()
			for _, window := range []string{`"window-us":5000000`, `"window-us":40000000`} {
				settings = strings.Replace(slowDials.Replace(settings), window, `"window-us":600000`, 1)
			}
			server := listen(t)
			r := startRig(t, settings, listed("w1", server))
			r.keepBusy()
			r.watch()
			c := dial(t, r.addr)
			c.ask("a1", "keyed", 5000)
			first := server.accept()
			release := server.fillBacklog()
			first.request()
			first.reset() // the request may have run, and is sent again
			server.waitSYN()
			release() // the connection is established when the SYN is sent again, after a second
			server.accept().expectEOF()
			if status, _ := c.answer(); status != 503 {
				t.Errorf("answered %d", status)
			}
		})
	}
}

// A list may be indented and arrive in any pieces. A malformed list must end the watch, with the reason and the address in the log,
// and have no other effect: the earlier list stays in use, and requests are served. When the stream was parsed by line, each
// indented list ended its watch.
func TestIndentedAndMalformedLists(t *testing.T) {
	for at, settings := range map[string]string{shortJobs: settings, longJobs: deployments[longJobs]} {
		t.Run(at, func(t *testing.T) {
			t.Parallel()
			old, fresh := listen(t), listen(t)
			r := startRig(t, settings, listed("w1", old))
			watch := r.watch()
			var list bytes.Buffer
			text := fmt.Sprintf(`{"seq":43,"whole":true,"hosts":[%s]}`, listed("w2", fresh))
			if err := json.Indent(&list, []byte(text), "", "  "); err != nil {
				t.Fatal(err)
			}
			half := list.Len() / 2
			watch.chunk(list.String()[:half])
			watch.chunk(list.String()[half:])
			watch.chunk("\n[\n")
			watch.expectEOF()
			r.waitLogged(`msg="watch ended" why="unexpected '[' where a JSON object should begin" answered=true discovery=` + r.disc.addr())
			c := dial(t, r.addr)
			c.ask("a1", "read", 5000)
			server := fresh.accept() // and not w1, which is not in the indented list
			server.request()
			r.completeJob(server, "w2", "a1", c)
		})
	}
}

// A request that arrives while the scheduler ends an idle connection must be read and discarded: the client then receives the
// previous response and a regular end of the connection, and retries. Closing with unread data reset the connection.
func TestRequestCrossingConnectionEnd(t *testing.T) {
	for at, settings := range map[string]string{shortJobs: settings, longJobs: deployments[longJobs]} {
		for how, end := range map[string]func(*Node){"drain": func(n *Node) { n.clients.Drain() }, "no room": func(n *Node) { n.clients.Limit(1) }} {
			t.Run(at+", "+how, func(t *testing.T) {
				t.Parallel()
				server := listen(t)
				r := startRig(t, settings, listed("w1", server))
				c := dial(t, r.addr)
				c.ask("a1", "read", 5000)
				w := server.accept()
				w.request()
				w.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
				r.callback("w1", "a1", "done")
				// While the test holds the turn, the poller waits to deliver other's request, so that c's request stays unread.
				other := dial(t, r.addr)
				ready := func() { other.send("GET /ready HTTP/1.1\r\n\r\n") }
				ready()
				other.answer()
				func() {
					r.node.loop.Begin()
					defer r.node.loop.End()
					ready()
					other.waitRead()
					c.ask("a2", "read", 5000)
					end(r.node)
				}()
				if status, body := c.answer(); status != 200 || body != "x" {
					t.Errorf("answered %d %q", status, body)
				}
				c.expectEOF()
				if c.isReset() {
					t.Error("the connection was reset")
				}
				r.node.loop.Post(func() { r.node.end("nothing more may be sent") })
				w.expectEOF()
			})
		}
	}
}

// Two clients wait for a server to be listed, and one leaves before that. Only the other's request may be sent, as soon as a server
// is listed, whether the first client closed its connection, reset it, or sent endless data after its request.
func TestNothingSentForClientThatLeftWaiting(t *testing.T) {
	for at, settings := range map[string]string{shortJobs: settings, longJobs: deployments[longJobs]} {
		for how, leave := range map[string]func(*conversation){"end": func(c *conversation) { _ = c.Close() }, "reset": (*conversation).reset,
			"flood": func(c *conversation) {
				for range 12 { // half of the amount that is read and ignored
					c.send(strings.Repeat("x", 48<<10))
				}
				c.reset()
			}} {
			t.Run(at+", "+how, func(t *testing.T) {
				t.Parallel()
				server := listen(t)
				r := startRig(t, settings)
				watch := r.watch()
				watch.chunk("\n")
				first, second := dial(t, r.addr), dial(t, r.addr)
				first.ask("a1", "read", 5000)
				r.waitOwed(1)
				second.ask("a2", "read", 5000)
				r.waitOwed(2)
				leave(first)
				r.waitOwed(1)
				watch.chunk(fmt.Sprintf(`{"seq":42,"whole":true,"hosts":[%s]}`+"\n", listed("w1", server)))
				w := server.accept()
				if got := w.request(); got.Header.Get("X-Txn") != fullID("a2") {
					t.Fatalf("%s was sent on", got.Header.Get("X-Txn"))
				}
				r.node.loop.Post(func() { r.node.end("nothing more may be sent") })
				w.expectEOF()
			})
		}
	}
}

// The connection of a client that never stops sending after its request must be closed, and the client counts as gone; another
// waiting client is served.
func TestEndlessDataClosesConnection(t *testing.T) {
	for at, settings := range map[string]string{shortJobs: settings, longJobs: deployments[longJobs]} {
		t.Run(at, func(t *testing.T) {
			t.Parallel()
			server := listen(t)
			r := startRig(t, settings)
			watch := r.watch()
			watch.chunk("\n")
			first, second := dial(t, r.addr), dial(t, r.addr)
			first.ask("a1", "read", 5000)
			second.ask("a2", "read", 5000)
			r.waitOwed(2)
			var err error
			for flood := strings.Repeat("x", 64<<10); err == nil; {
				_, err = io.WriteString(first, flood)
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatal("the scheduler read endless data without closing the connection")
			}
			r.waitOwed(1)
			r.waitLogged(`msg="client sent too much ahead of its answer; no longer reading" client=` + first.LocalAddr().String() + " id=" + fullID("a1"))
			watch.chunk(fmt.Sprintf(`{"seq":42,"whole":true,"hosts":[%s]}`+"\n", listed("w1", server)))
			w := server.accept()
			if got := w.request(); got.Header.Get("X-Txn") != fullID("a2") {
				t.Fatalf("%s was sent on", got.Header.Get("X-Txn"))
			}
			r.completeJob(w, "w1", "a2", second)
		})
	}
}

// A malformed response of a backend server must end its connection and the attempt, with the reason and the address in the log. A
// repeatable request is sent again, another request in progress is served, and no request stays unanswered.
func TestMalformedServerResponses(t *testing.T) {
	for at, settings := range map[string]string{shortJobs: settings, longJobs: deployments[longJobs]} {
		for how, spoilt := range map[string]struct{ text, why string }{
			"no status":    {"HTTP/1.1 abc\r\n\r\n", "status"},
			"broken head":  {"HTTP/1.1 202 Accepted\r\nContent-Length\r\n\r\n", "header"},
			"endless head": {"HTTP/1.1 202 Accepted\r\nX: " + strings.Repeat("y", 32<<10), "head"},
			"endless body": {"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n" + strings.Repeat("y", 128<<10), "body"},
		} {
			t.Run(at+", "+how, func(t *testing.T) {
				t.Parallel()
				server := listen(t)
				r := startRig(t, settings, listed("w1", server))
				first, second := dial(t, r.addr), dial(t, r.addr)
				first.ask("a1", "read", 5000)
				w1 := server.accept()
				w1.request()
				second.ask("a2", "read", 5000)
				w2 := server.accept()
				w2.request()
				_, _ = io.WriteString(w1, spoilt.text) // fails if the scheduler closes the connection before all is written
				r.waitLogged(`msg="invalid HTTP response from a backend server" addr=` + server.addr())
				r.waitLogged(spoilt.why)
				w3 := server.accept()
				if got := w3.request(); got.Header.Get("X-Txn") != fullID("a1") {
					t.Errorf("%s was sent again", got.Header.Get("X-Txn"))
				}
				r.completeJob(w3, "w1", "a1", first)
				r.completeJob(w2, "w1", "a2", second)
				r.waitOwed(0)
			})
		}
	}
}
