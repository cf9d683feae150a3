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
	// callTimeout is how long a caller may take to send its call, unless another caller needs its place.
	callTimeout = 5 * time.Second
	// lingerFor is how long a caller has to close the connection after the response.
	lingerFor = 500 * time.Millisecond
)

// Options configure an Endpoint.
type Options struct {
	Loop        *scheduler.Loop
	Ready       func() bool                        // whether this process accepts clients
	Figures     func() []byte                      // the metrics, rendered as text
	SetDetached func(worker string, out bool) bool // takes a worker out of service or puts it back; false if it is unknown
	Away        func(away bool)                    // starts or stops sending clients away
	MaxOpen     int                                // number of connections above which the oldest is dropped
}

// Endpoint serves operators' calls.
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
	done  bool // the response was written
	timer *deadline.Deadline
}

// Opened registers an accepted connection and returns its handler. If there are more than MaxOpen, it drops the oldest connection
// that was answered, or else the oldest, so that callers that send nothing can't use up the endpoint's few descriptors.
func (d *Endpoint) Opened(n transport.Conn) transport.Handler {
	c := &call{d: d, net: n}
	d.calls = append(d.calls, c)
	c.timer = d.o.Loop.After(callTimeout, c.drop)
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

// serve executes a call. All calls are idempotent.
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
