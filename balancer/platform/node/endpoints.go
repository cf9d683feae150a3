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

// accept is a function that registers an accepted connection and returns its handler.
type accept = func(transport.Conn) transport.Handler

// adopter is the type of ports.Adopt.
type adopter = func(core int, g transport.PassedConn, accept accept) error

// clientSide is the node's interface to its frontends, one or several. It is called in turns of the decider's loop.
type clientSide interface {
	Drain()
	Retire(bool)
	SendAway(bool)
	Away() bool
	Limit(accepted int)
	// Clients and Finishing query every frontend, and call reply once all have answered.
	Clients(reply func(connections int))
	Finishing(reply func(bool))
	// Give passes the connection of a request to give, which transfers it to another process, and removes it here if give
	// returns true. It returns false if the connection was not transferred.
	Give(ex *scheduler.Exchange, give func(client transport.Conn, closes bool) bool) bool
	// Adopt takes over a connection from another process, on which the request ex is to be answered.
	Adopt(g transport.PassedConn, ex *scheduler.Exchange, closes bool, serve adopter) error
	// Targets returns the functions that accept connections, and Choose the index of the one for the next connection. Choose
	// may be called by any goroutine.
	Targets() []accept
	Choose() int
}

// serverSide is the node's interface to its backends.
type serverSide interface {
	scheduler.Backend
	Limit(conns int)
	// PassCallback handles a call-back that another process passed on. It calls unknown if no backend here has the attempt.
	PassCallback(body []byte, unknown func())
}

// oneFrontend is the client side on one core, with a single frontend.
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

func (f oneFrontend) Adopt(g transport.PassedConn, ex *scheduler.Exchange, closes bool, serve adopter) error {
	return serve(-1, g, func(c transport.Conn) transport.Handler { return f.Frontend.Adopt(c, ex, closes) })
}

// heldSends are sends that were decided while updates from discovery may be unread.
type heldSends []*scheduler.Dispatch

func (w *heldSends) join(d *scheduler.Dispatch) { *w = append(*w, d) }

func (w *heldSends) leave(d *scheduler.Dispatch) {
	*w = slices.DeleteFunc(*w, func(other *scheduler.Dispatch) bool { return other == d })
}

// retract ends a waiting send, and returns false if d is not waiting.
func (w *heldSends) retract(d *scheduler.Dispatch) bool {
	if !slices.Contains(*w, d) {
		return false
	}
	w.leave(d)
	d.End(ravendale.NotSent, nil)
	return true
}

// avoid ends the waiting sends to a server that drains or is gone.
func (w *heldSends) avoid(worker string) {
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

// flush passes all waiting sends to send.
func (w *heldSends) flush(send func(*scheduler.Dispatch)) {
	all := *w
	*w = nil
	for _, d := range all {
		send(d)
	}
}

// oneBackend is the server side on one core. After a pause of the process, clients' requests and new connections may be
// processed before an update from discovery that is already overdue and must not be violated. Therefore no send begins after
// such a gap until everything that had arrived has been processed.
type oneBackend struct {
	*backend.Backend
	conns        *backend.Conns
	awaitingEcho bool // after a gap, until the echo arrives
	unsupported  bool // the operating system does not support echoes
	mayBeginFunc func() bool
	held         heldSends
}

// echoRetry is how long after an echo request another one is made if no echo has arrived: otherwise a lost byte would keep the
// process from sending for ever.
const echoRetry = 100 * time.Millisecond

// onGap is called in a turn that begins long after the previous one.
func (b *oneBackend) onGap(loop *scheduler.Loop, echo func(func()) error, failed func(error)) {
	if !b.awaitingEcho && !b.unsupported {
		b.awaitingEcho = true
		b.requestEcho(loop, echo, failed)
	}
}

// requestEcho requests an echo repeatedly until one arrives.
func (b *oneBackend) requestEcho(loop *scheduler.Loop, echo func(func()) error, failed func(error)) {
	again := loop.After(echoRetry, func() { b.requestEcho(loop, echo, failed) })
	hears := func() {
		loop.Deadlines.Drop(again)
		b.awaitingEcho = false
		b.held.flush(b.Backend.Send)
	}
	if err := echo(hears); err != nil {
		// If echoes are unsupported, don't request them again: each attempt would cost a system call and a log line. Other
		// errors, such as a lack of descriptors, may pass.
		b.unsupported = errors.Is(err, syscall.EAFNOSUPPORT) || errors.Is(err, errors.ErrUnsupported)
		failed(err)
		hears()
	}
}

func (b *oneBackend) mayBegin() bool { return !b.awaitingEcho }

func (b *oneBackend) Send(d *scheduler.Dispatch) {
	d.MayBegin = b.mayBeginFunc
	if b.awaitingEcho {
		b.held.join(d)
	} else {
		b.Backend.Send(d)
	}
}

func (b *oneBackend) Withdraw(d *scheduler.Dispatch) {
	b.held.leave(d)
	b.Backend.Withdraw(d)
}

func (b *oneBackend) Retract(d *scheduler.Dispatch) {
	if !b.held.retract(d) {
		b.Backend.Retract(d)
	}
}

func (b *oneBackend) Avoid(worker string) {
	b.held.avoid(worker)
	b.Backend.Avoid(worker)
}

func (b *oneBackend) Limit(conns int) {
	b.conns.Limit(conns)
	b.Trim()
}

func (b *oneBackend) PassCallback(body []byte, unknown func()) {
	if s := backend.ParseReport(body); s != nil && !b.HandleReport(s) {
		unknown()
	}
}
