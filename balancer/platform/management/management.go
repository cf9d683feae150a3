package management

import (
	"errors"
	"net/url"
	"slices"
	"strings"
	"time"

	"ravendale/balancer/deadline"
	"ravendale/balancer/http1"
	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
)

const (
	// patience is how long a caller may take for its call where nobody else wants its place.
	patience = 5 * time.Second
	// lingerFor is how long a caller has to close the connection after its answer.
	lingerFor = 500 * time.Millisecond
)

// Options say what an endpoint works with.
type Options struct {
	Loop        *scheduler.Loop
	Ready       func() bool                        // this process takes clients
	Figures     func() []byte                      // rendered, in whatever form
	SetDetached func(worker string, out bool) bool // takes a worker out, or puts it back; false: it is unknown
	Away        func(away bool)                    // sends clients away, or has them back
	MaxOpen     int                                // above so many callers the one that came first makes room
}

// Endpoint serves the callers.
type Endpoint struct {
	o     Options
	calls []*call // oldest first
}

// New returns an endpoint.
func New(o Options) *Endpoint { return &Endpoint{o: o} }

// call is one connection.
type call struct {
	d     *Endpoint
	net   transport.Conn
	in    http1.Requests
	done  bool // it has its answer
	timer *deadline.Deadline
}

// Opened takes a connection that was accepted. It guards the endpoint's few descriptors against callers that connect and
// say nothing: the oldest is shed, those that have had their answer first.
func (d *Endpoint) Opened(n transport.Conn) transport.Handler {
	c := &call{d: d, net: n}
	d.calls = append(d.calls, c)
	c.timer = d.o.Loop.After(patience, c.drop)
	if len(d.calls) > d.o.MaxOpen {
		oldest := max(slices.IndexFunc(d.calls, func(c *call) bool { return c.done }), 0)
		d.calls[oldest].drop()
	}
	return c
}

func (c *call) Connected() {}

func (c *call) Data(b []byte) {
	if c.done {
		return
	}
	c.in.Feed(b)
	req, err := c.in.Next()
	var bad *http1.Error
	switch {
	case errors.As(err, &bad):
		c.answer(bad.Status, []byte(bad.Reason+"\n"))
	case err != nil:
		c.answer(400, []byte(err.Error()+"\n"))
	case req != nil:
		c.answer(c.d.serve(req))
	}
}

// serve executes a call. What is asked may come any number of times.
func (d *Endpoint) serve(req *http1.Request) (status int, content []byte) {
	path, _, _ := strings.Cut(req.Target, "?")
	method, act := "POST", func() (int, []byte) { return 404, []byte("there is no such call\n") }
	ok := []byte("ok\n")
	switch {
	case path == "/_ready":
		method, act = "GET", func() (int, []byte) {
			if !d.o.Ready() {
				return 503, []byte("not ready\n")
			}
			return 200, ok
		}
	case path == "/_vars":
		method, act = "GET", func() (int, []byte) { return 200, d.o.Figures() }
	case path == "/_lameduck/on", path == "/_lameduck/off":
		act = func() (int, []byte) {
			d.o.Away(path == "/_lameduck/on")
			return 200, ok
		}
	case strings.HasPrefix(path, "/_workers/"):
		verb, id, _ := strings.Cut(strings.TrimPrefix(path, "/_workers/"), "/")
		if worker, err := url.PathUnescape(id); err == nil && (verb == "detach" || verb == "attach") {
			act = func() (int, []byte) {
				if !d.o.SetDetached(worker, verb == "detach") {
					return 404, []byte("no such worker\n")
				}
				return 200, ok
			}
		}
	default:
		method = req.Method
	}
	if req.Method != method {
		return 405, []byte("that call comes by " + method + "\n")
	}
	return act()
}

func (c *call) answer(status int, content []byte) {
	c.done = true
	c.net.Write(http1.AppendResponse(nil, status, http1.Header{{Name: "Connection", Value: "close"}}, content))
	c.net.Finish()
	c.d.o.Loop.Deadlines.Drop(c.timer)
	c.timer = c.d.o.Loop.After(lingerFor, c.drop)
}

func (c *call) drop() {
	c.Closed(nil)
	c.net.Close()
}

// Closed implements transport.Handler.
func (c *call) Closed(error) {
	c.d.o.Loop.Deadlines.Drop(c.timer)
	if i := slices.Index(c.d.calls, c); i >= 0 {
		c.d.calls = slices.Delete(c.d.calls, i, i+1)
	}
}
