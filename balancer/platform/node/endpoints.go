package node

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"ravendale"
	"ravendale/balancer/platform/backend"
	"ravendale/balancer/platform/frontend"
	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
)

// accept takes a connection that was accepted.
type accept = func(transport.Conn) transport.Handler

// adopter is ports.Adopt.
type adopter = func(core int, g transport.Given, accept accept) error

// clientSide is all that the node has of frontends, one or several; the decider's loop calls it.
type clientSide interface {
	Drain()
	Retire(bool)
	SendAway(bool)
	Away() bool
	Limit(accepted int)
	// Clients and Finishing ask every frontend, and reply once all have answered.
	Clients(reply func(connections int))
	Finishing(reply func(bool))
	// Give has the connection of a request given away by a function, and forgets it if that returns true. It returns false
	// where the connection is not to be given.
	Give(ex *scheduler.Exchange, give func(client transport.Conn, closes bool) bool) bool
	// Adopt has a request answered on a connection that came from another process.
	Adopt(g transport.Given, ex *scheduler.Exchange, closes bool, serve adopter) error
	// Targets are where connections go, and Choose says to which the next one; it is called by another goroutine.
	Targets() []accept
	Choose() int
}

// serverSide is all that it has of backends.
type serverSide interface {
	scheduler.Backend
	Limit(conns int)
	// PassCallback takes a call that another process passed on; unknown is called where that attempt is not out here.
	PassCallback(body []byte, unknown func())
}

// oneFrontend is the client side on one core: the frontend itself.
type oneFrontend struct {
	*frontend.Frontend
	limits *frontend.ConnLimits
}

func (f oneFrontend) Limit(accepted int) {
	f.limits.Limit(accepted)
	f.ShedIdle()
}
func (f oneFrontend) Clients(reply func(int))    { reply(f.Frontend.Clients()) }
func (f oneFrontend) Finishing(reply func(bool)) { reply(f.Frontend.Finishing()) }
func (f oneFrontend) Targets() []accept          { return []accept{f.Opened} }
func (f oneFrontend) Choose() int                { return 0 }

func (f oneFrontend) Give(ex *scheduler.Exchange, give func(transport.Conn, bool) bool) bool {
	client, closes, can := f.Transferable(ex)
	if !can || !give(client, closes) {
		return false
	}
	f.Release(ex)
	return true
}

func (f oneFrontend) Adopt(g transport.Given, ex *scheduler.Exchange, closes bool, serve adopter) error {
	return serve(-1, g, func(c transport.Conn) transport.Handler { return f.Frontend.Adopt(c, ex, closes) })
}

// waiting are sends that were decided while it is not known what discovery has written.
type waiting []*scheduler.Dispatch

func (w *waiting) join(d *scheduler.Dispatch) { *w = append(*w, d) }

func (w *waiting) leave(d *scheduler.Dispatch) {
	*w = slices.DeleteFunc(*w, func(other *scheduler.Dispatch) bool { return other == d })
}

// retract ends one, and returns false if it does not wait.
func (w *waiting) retract(d *scheduler.Dispatch) bool {
	if !slices.Contains(*w, d) {
		return false
	}
	w.leave(d)
	d.End(ravendale.NotSent, nil)
	return true
}

// avoid ends those to a server that drains or has gone.
func (w *waiting) avoid(worker string) {
	var avoided []*scheduler.Dispatch
	*w = slices.DeleteFunc(*w, func(d *scheduler.Dispatch) bool {
		if d.Worker == worker {
			avoided = append(avoided, d)
		}
		return d.Worker == worker
	})
	for _, d := range avoided {
		d.End(ravendale.NotSent, nil)
	}
}

// flush sends them all.
func (w *waiting) flush(send func(*scheduler.Dispatch)) {
	all := *w
	*w = nil
	for _, d := range all {
		send(d)
	}
}

// oneBackend is the server side on one core. After the process stood still, clients' requests and connections that were
// made may be taken before discovery's update, by then too old to be broken: so after a gap nothing begins until all that had
// come is taken.
type oneBackend struct {
	*backend.Backend
	conns        *backend.Conns
	deaf         bool // until an echo comes
	unsupported  bool // the system has no such thing
	mayBeginFunc func() bool
	waiting      waiting
}

// askAgain is when an echo is asked for again that has not come: one whose byte was lost would keep the process from sending
// for ever.
const askAgain = 100 * time.Millisecond

// gap is called in a turn that comes long after the one before.
func (b *oneBackend) gap(loop *scheduler.Loop, echo func(func()) error, failed func(error)) {
	if !b.deaf && !b.unsupported {
		b.deaf = true
		b.listen(loop, echo, failed)
	}
}

// listen asks for an echo until one comes.
func (b *oneBackend) listen(loop *scheduler.Loop, echo func(func()) error, failed func(error)) {
	again := loop.After(askAgain, func() { b.listen(loop, echo, failed) })
	hears := func() {
		loop.Deadlines.Drop(again)
		b.deaf = false
		b.waiting.flush(b.Backend.Send)
	}
	if err := echo(hears); err != nil {
		// Asking again each time cost a call and a line; descriptors, which may be short too, come back.
		b.unsupported = errors.Is(err, syscall.EAFNOSUPPORT) || errors.Is(err, errors.ErrUnsupported)
		failed(err)
		hears()
	}
}

func (b *oneBackend) mayBegin() bool { return !b.deaf }

func (b *oneBackend) Send(d *scheduler.Dispatch) {
	d.MayBegin = b.mayBeginFunc
	if b.deaf {
		b.waiting.join(d)
	} else {
		b.Backend.Send(d)
	}
}

func (b *oneBackend) Withdraw(d *scheduler.Dispatch) {
	b.waiting.leave(d)
	b.Backend.Withdraw(d)
}

func (b *oneBackend) Retract(d *scheduler.Dispatch) {
	if !b.waiting.retract(d) {
		b.Backend.Retract(d)
	}
}

func (b *oneBackend) Avoid(worker string) {
	b.waiting.avoid(worker)
	b.Backend.Avoid(worker)
}

func (b *oneBackend) Limit(conns int) {
	b.conns.Limit(conns)
	b.Trim()
}

func (b *oneBackend) PassCallback(body []byte, unknown func()) {
	if s := backend.Read(body); s != nil && !b.Hear(s) {
		unknown()
	}
}
