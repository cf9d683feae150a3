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

// slowDials is a deployment where connections may take their time, idle ones end soon, no work can be taken back, and what has
// not started in time is given up.
var slowDials = strings.NewReplacer(`"connect-timeout-us":250000`, `"connect-timeout-us":15000000`, `"idle-close-us":5000000`, `"idle-close-us":250000`,
	`"may-cancel":true`, `"may-cancel":false`, `"aim-us":40`, `"aim-us":2`, `"aim-us":41`, `"aim-us":2`, `"late-worth":0.5`, `"late-worth":0`)

// A connection that comes up when its request has been answered, or its client has gone, carries nothing, whether or not the
// deployment lets work be cancelled: what has not begun needs no cancel. Seen on a deployment without cancel: twelve requests
// of a day were sent on after their final answers.
func TestNothingIsSentOnForARequestThatIsOver(t *testing.T) {
	for at, settings := range map[string]string{"no cancel": slowDials.Replace(settings),
		"cancel":     strings.Replace(slowDials.Replace(settings), `"may-cancel":false`, `"may-cancel":true`, 1),
		"pushed":     slowDials.Replace(deployments[longJobs]),
		"held bytes": strings.Replace(slowDials.Replace(settings), `"name":"read","effect":"idempotent"`, `"name":"read","effect":"deduplicated","group":"all","window-us":9000000`, 1)} {
		for _, left := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, client left %v", at, left), func(t *testing.T) {
				t.Parallel()
				server := listen(t)
				release := server.fill()
				r := rigUp(t, settings, listed("w1", server))
				r.busy()
				r.watch()
				c := dial(t, r.addr)
				c.ask("a1", "read", 5000)
				server.called() // and the connection does not come up
				if left {
					_ = c.Close()
				} else if status, _ := c.answer(); status != 503 {
					t.Fatalf("answered %d", status)
				}
				release()
				server.accept().ends() // the connection is kept for the next request, and ends idle
			})
		}
	}
}

// A repeat of a keyed job whose connection comes up when servers no longer drop it is not sent: it could run twice. Seen on the
// first deployment with a window of 1 s: sent 0.94 s after the first attempt, on a connection that took up to 250 ms to come
// up.
func TestARetryIsNotSentAfterItsWindow(t *testing.T) {
	for at, settings := range map[string]string{shortJobs: settings, longJobs: deployments[longJobs]} {
		t.Run(at, func(t *testing.T) {
			t.Parallel()
			for _, window := range []string{`"window-us":5000000`, `"window-us":40000000`} {
				settings = strings.Replace(slowDials.Replace(settings), window, `"window-us":600000`, 1)
			}
			server := listen(t)
			r := rigUp(t, settings, listed("w1", server))
			r.busy()
			r.watch()
			c := dial(t, r.addr)
			c.ask("a1", "keyed", 5000)
			first := server.accept()
			release := server.fill()
			first.request()
			first.reset() // it may have run, and is sent again
			server.called()
			release() // the connection comes up when the SYN is sent again, after a second
			server.accept().ends()
			if status, _ := c.answer(); status != 503 {
				t.Errorf("answered %d", status)
			}
		})
	}
}

// A list may come indented, in any pieces; one that is spoilt ends the watch with its reason and place, and nothing else: what
// was listed stands, and who asks is served. Taken by the line, an indented list ended each watch that brought it.
func TestListsComeIndentedAndSpoilt(t *testing.T) {
	for at, settings := range map[string]string{shortJobs: settings, longJobs: deployments[longJobs]} {
		t.Run(at, func(t *testing.T) {
			t.Parallel()
			old, fresh := listen(t), listen(t)
			r := rigUp(t, settings, listed("w1", old))
			watch := r.watch()
			var list bytes.Buffer
			text := fmt.Sprintf(`{"seq":43,"whole":true,"hosts":[%s]}`, listed("w2", fresh))
			if err := json.Indent(&list, []byte(text), "", "  "); err != nil {
				t.Fatal(err)
			}
			half := list.Len() / 2
			watch.piece(list.String()[:half])
			watch.piece(list.String()[half:])
			watch.piece("\n[\n")
			watch.ends()
			r.logged(`msg="watch ended" why="'[' where an object was to begin" answered=true discovery=` + r.disc.addr())
			c := dial(t, r.addr)
			c.ask("a1", "read", 5000)
			server := fresh.accept() // and not w1, which the indented list lacks
			server.request()
			r.serves(server, "w2", "a1", c)
		})
	}
}

// A request that crosses the end of a resting connection is read and goes nowhere: the client sees the answer before, and then
// an end in order, and asks anew. Closed over it, the connection was reset.
func TestARequestThatCrossesTheEndOfItsConnection(t *testing.T) {
	for at, settings := range map[string]string{shortJobs: settings, longJobs: deployments[longJobs]} {
		for how, end := range map[string]func(*Node){"drain": func(n *Node) { n.clients.Drain() }, "no room": func(n *Node) { n.clients.Limit(1) }} {
			t.Run(at+", "+how, func(t *testing.T) {
				t.Parallel()
				server := listen(t)
				r := rigUp(t, settings, listed("w1", server))
				c := dial(t, r.addr)
				c.ask("a1", "read", 5000)
				w := server.accept()
				w.request()
				w.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
				r.call("w1", "a1", "done")
				// While the test has the turn the poller waits with what other sent, and so what c sends stays unread.
				other := dial(t, r.addr)
				ready := func() { other.send("GET /ready HTTP/1.1\r\n\r\n") }
				ready()
				other.answer()
				func() {
					r.node.loop.Begin()
					defer r.node.loop.End()
					ready()
					other.taken()
					c.ask("a2", "read", 5000)
					end(r.node)
				}()
				if status, body := c.answer(); status != 200 || body != "x" {
					t.Errorf("answered %d %q", status, body)
				}
				c.ends()
				if c.isReset() {
					t.Error("the connection was reset")
				}
				r.node.loop.Post(func() { r.node.end("nothing more may be sent") })
				w.ends()
			})
		}
	}
}

// Of two who wait for a server, one has gone before there is any: only the other's request is sent on, at once where a server
// comes, whether the first ended its connection in order, reset it, or sent without end behind its request.
func TestNothingIsSentOnForAClientThatLeftWhileItWaited(t *testing.T) {
	for at, settings := range map[string]string{shortJobs: settings, longJobs: deployments[longJobs]} {
		for how, leave := range map[string]func(*conversation){"end": func(c *conversation) { _ = c.Close() }, "reset": (*conversation).reset,
			"flood": func(c *conversation) {
				for range 12 { // half of what is read of what is ignored
					c.send(strings.Repeat("x", 48<<10))
				}
				c.reset()
			}} {
			t.Run(at+", "+how, func(t *testing.T) {
				t.Parallel()
				server := listen(t)
				r := rigUp(t, settings)
				watch := r.watch()
				watch.piece("\n")
				first, second := dial(t, r.addr), dial(t, r.addr)
				first.ask("a1", "read", 5000)
				r.owes(1)
				second.ask("a2", "read", 5000)
				r.owes(2)
				leave(first)
				r.owes(1)
				watch.piece(fmt.Sprintf(`{"seq":42,"whole":true,"hosts":[%s]}`+"\n", listed("w1", server)))
				w := server.accept()
				if got := w.request(); got.Header.Get("X-Txn") != long("a2") {
					t.Fatalf("%s was sent on", got.Header.Get("X-Txn"))
				}
				r.node.loop.Post(func() { r.node.end("nothing more may be sent") })
				w.ends()
			})
		}
	}
}

// A client that never stops sending behind its request is closed, and has left; who waits beside it is served.
func TestAFloodWithoutEndIsClosed(t *testing.T) {
	for at, settings := range map[string]string{shortJobs: settings, longJobs: deployments[longJobs]} {
		t.Run(at, func(t *testing.T) {
			t.Parallel()
			server := listen(t)
			r := rigUp(t, settings)
			watch := r.watch()
			watch.piece("\n")
			first, second := dial(t, r.addr), dial(t, r.addr)
			first.ask("a1", "read", 5000)
			second.ask("a2", "read", 5000)
			r.owes(2)
			var err error
			for flood := strings.Repeat("x", 64<<10); err == nil; {
				_, err = io.WriteString(first, flood)
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatal("it was taken on and on")
			}
			r.owes(1)
			r.logged("msg=flooded client=" + first.LocalAddr().String() + " id=" + long("a1"))
			watch.piece(fmt.Sprintf(`{"seq":42,"whole":true,"hosts":[%s]}`+"\n", listed("w1", server)))
			w := server.accept()
			if got := w.request(); got.Header.Get("X-Txn") != long("a2") {
				t.Fatalf("%s was sent on", got.Header.Get("X-Txn"))
			}
			r.serves(w, "w1", "a2", second)
		})
	}
}

// What a backend server answers that can't be read ends its connection and that attempt, with the reason and the address in the
// log; the request that may be repeated is, one that waits meanwhile is served, and nothing stays behind.
func TestSpoiltAnswersOfServers(t *testing.T) {
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
				r := rigUp(t, settings, listed("w1", server))
				first, second := dial(t, r.addr), dial(t, r.addr)
				first.ask("a1", "read", 5000)
				w1 := server.accept()
				w1.request()
				second.ask("a2", "read", 5000)
				w2 := server.accept()
				w2.request()
				_, _ = io.WriteString(w1, spoilt.text) // the end of it may meet a connection that has ended
				r.logged(`msg="an answer of a backend server can't be read" addr=` + server.addr())
				r.logged(spoilt.why)
				w3 := server.accept()
				if got := w3.request(); got.Header.Get("X-Txn") != long("a1") {
					t.Errorf("%s was sent again", got.Header.Get("X-Txn"))
				}
				r.serves(w3, "w1", "a1", first)
				r.serves(w2, "w1", "a2", second)
				r.owes(0)
			})
		}
	}
}
