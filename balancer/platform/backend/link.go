package backend

import (
	"errors"
	"strconv"
	"time"

	"ravendale"
	"ravendale/balancer/deadline"
	"ravendale/balancer/http1"
	"ravendale/balancer/platform"
	"ravendale/balancer/transport"
)

// link is one connection to a backend server. It carries one request at a time: an attempt, or a DELETE.
type link struct {
	b            *Backend
	addr         string
	net          transport.Conn
	in           http1.Responses
	up           bool
	busy         bool // waiting for a response
	isIdle       bool
	closed       bool
	attemptCount int // attempts that it has carried
	wroteAt      time.Duration
	readAt       time.Duration // when its last response arrived
	attempt      *attempt
	request      []byte // a DELETE; replied is called on its response, failed if the connection is lost
	replied      func()
	failed       func()
	timer        *deadline.Deadline
}

func (l *link) Connected() {
	l.up = true
	l.b.o.Loop.Deadlines.Drop(l.timer)
	switch {
	case l.attempt != nil:
		l.begin(l.attempt)
	case l.request != nil:
		l.busy = true
		l.expect(responseWithin)
		l.net.Write(l.request)
	default:
		l.becomeIdle()
	}
}

// begin writes the request of an attempt, if the attempt may still begin.
func (l *link) begin(a *attempt) {
	if !a.d.Due(l.b.o.Loop.Now()) || a.d.MayBegin != nil && !a.d.MayBegin() {
		l.attempt = nil
		l.becomeIdle()
		l.b.end(a, ravendale.NotSent, nil)
		return
	}
	l.attempt, a.link, l.busy = a, l, true
	l.attemptCount++
	m, ok := a.d.Exchange().Message.(*platform.Message)
	if !ok {
		l.attempt = nil
		l.b.end(a, ravendale.NotSent, nil)
		l.close()
		return
	}
	left := max(a.d.Deadline-l.b.o.Loop.Now(), 0)
	h := append(make(http1.Header, 0, 4), http1.Field{Name: platform.HeaderID, Value: a.key.id},
		http1.Field{Name: platform.HeaderLeft, Value: strconv.FormatInt(int64(left/time.Millisecond), 10)})
	if m.Key != "" {
		h = append(h, http1.Field{Name: platform.HeaderKey, Value: m.Key})
	}
	if m.ContentType != "" {
		h = append(h, http1.Field{Name: "Content-Type", Value: m.ContentType})
	}
	request := http1.AppendRequest(nil, m.Method, m.Target, l.addr, h, m.Body)
	if a.d.Repeatable() {
		l.finish(request)
		return
	}
	// A server starts a request when it has received the last byte. If the peer has closed the connection unnoticed, the
	// first bytes already cause a reset. By holding back the last byte until a reset would have arrived, a broken connection
	// proves that the request did not run and may be sent elsewhere; if it might have run, it could not be sent again.
	last := len(request) - 1
	a.stage = lastByteDue
	l.net.Write(request[:last])
	l.timer = l.b.o.Loop.After(l.hold(), func() { l.finish(request[last:]) })
}

// hold returns how long to hold back the last byte. A reset takes a round trip to arrive, which is no longer than the server's
// fastest answer. On a connection with a recent response, hold also covers the time in which a second response to the previous
// request may arrive. Once the request is complete such a response can't be told from its own: it was mistaken for a
// rejection, and a request that was running was sent again.
func (l *link) hold() time.Duration {
	hold := min(max(l.b.statsFor(l.addr).latency, minHold), maxHold)
	if l.readAt > 0 {
		hold = max(hold, l.readAt+echoWithin-l.b.o.Loop.Now())
	}
	return hold
}

// finish writes the rest of an attempt's request, which may run from then on.
func (l *link) finish(rest []byte) {
	a := l.attempt
	if !a.d.Due(l.b.o.Loop.Now()) { // it expired while the last byte was held back
		l.attempt = nil
		l.close()
		l.b.end(a, ravendale.NotSent, nil)
		return
	}
	a.stage, l.wroteAt = written, l.b.o.Loop.Now()
	l.net.Write(rest)
	l.count(a)
	// Detects connections that are dead without having been closed: otherwise the job would wait until the client's deadline.
	l.b.o.Loop.Deadlines.Drop(l.timer)
	l.timer = l.b.o.Loop.After(acceptTimeout, func() {
		if a.stage == written && !a.hasReport {
			a.d.Unresponsive()
		}
	})
}

// count reports an attempt as sent once the operating system has taken all of its request, which may be later than the Write.
func (l *link) count(a *attempt) {
	if !a.sent && l.net.Unwritten() == 0 {
		a.sent = true
		a.d.Sent()
	}
}

func (l *link) Data(data []byte) {
	if !l.busy { // the server sent data without a request: its responses could no longer be matched
		l.b.o.Log.Info("backend server sent data without a request; closing the connection", "addr", l.addr, "after", l.b.o.Loop.Now()-l.readAt)
		l.close()
		return
	}
	l.in.Feed(data)
	resp, err := l.nextResponse()
	if err != nil {
		l.b.o.Log.Info("invalid HTTP response from a backend server", "addr", l.addr, "err", err)
		l.onClosed()
		return
	}
	if resp == nil {
		return
	}
	l.busy, l.readAt = false, l.b.o.Loop.Now()
	l.b.o.Loop.Deadlines.Drop(l.timer)
	a, replied := l.attempt, l.replied
	l.attempt, l.request, l.replied, l.failed = nil, nil, nil, nil
	if resp.Close || l.in.Buffered() > 0 || a != nil && a.stage == lastByteDue {
		l.close()
	} else {
		l.becomeIdle()
	}
	if a != nil && a.stage >= written {
		l.count(a)
	}
	switch {
	case replied != nil:
		replied()
	case a != nil && a.stage == lastByteDue: // answered before the request was complete
		l.b.end(a, ravendale.ConnectFailed, nil)
	case a != nil && a.stage == written:
		l.handleResponse(a, resp)
	}
}

// errRepeatedField reports a response that repeats a field which is no list.
var errRepeatedField = errors.New("the response repeats the field " + platform.HeaderNotRun)

// nextResponse returns the next complete response, or nil if more bytes are needed.
func (l *link) nextResponse() (*http1.Response, error) {
	resp, err := l.in.Next()
	if err != nil || resp == nil {
		return nil, err
	}
	if resp.Header.Count(platform.HeaderNotRun) > 1 { // it is no list (RFC 9110, section 5.3)
		return nil, errRepeatedField
	}
	return resp, nil
}

// handleResponse handles the response to a completely written request.
func (l *link) handleResponse(a *attempt, resp *http1.Response) {
	switch {
	case resp.Status == 202:
		a.stage, a.link = accepted, nil
		if took, h := l.b.o.Loop.Now()-l.wroteAt, l.b.statsFor(l.addr); l.attemptCount > 1 && (h.latency == 0 || took < h.latency) {
			h.latency = took
		}
	case (resp.Status == 503 || resp.Status == 504) && resp.Header.Get(platform.HeaderNotRun) == "1":
		l.b.end(a, ravendale.Overloaded, nil)
	default:
		if resp.Status != 500 {
			l.b.o.Log.Warn("unexpected response status from a backend server", "server", a.key.server, "status", resp.Status)
		}
		if resp.Status/100 == 4 {
			l.b.end(a, ravendale.Rejected, nil)
		} else {
			l.b.end(a, ravendale.Error, nil)
		}
	}
}

// becomeIdle adds the connection to the idle ones, and closes it after 4/5 of IdleClose, before the server would.
func (l *link) becomeIdle() {
	l.isIdle = true
	l.b.idle[l.addr] = append(l.b.idle[l.addr], l)
	l.timer = l.b.o.Loop.After(l.b.o.IdleClose-l.b.o.IdleClose/5, l.close)
}

func (l *link) unidle() {
	if !l.isIdle {
		return
	}
	l.isIdle = false
	l.b.o.Loop.Deadlines.Drop(l.timer)
	stack := l.b.idle[l.addr]
	for i := len(stack) - 1; i >= 0; i-- {
		if stack[i] == l {
			stack = append(stack[:i], stack[i+1:]...)
			break
		}
	}
	if l.b.idle[l.addr] = stack; len(stack) == 0 {
		delete(l.b.idle, l.addr)
	}
}

// expect closes the connection unless a response arrives within the given time.
func (l *link) expect(within time.Duration) {
	l.b.o.Loop.Deadlines.Drop(l.timer)
	l.timer = l.b.o.Loop.After(within, l.onClosed)
}

// close closes the connection from this side, without reporting an outcome.
func (l *link) close() {
	if l.closed {
		return
	}
	l.closed = true
	l.unidle()
	l.b.o.Conns.open.Add(-1)
	l.b.o.Loop.Deadlines.Drop(l.timer)
	l.net.Close()
}

func (l *link) Closed(error) { l.onClosed() }

// onClosed closes the connection and ends the attempt or DELETE on it. The attempt is known not to have run if the connection was
// never established, or if the request's last byte was not handed to the operating system; otherwise it may have run.
func (l *link) onClosed() {
	if l.closed {
		return
	}
	a, failed := l.attempt, l.failed
	l.attempt, l.failed, l.replied = nil, nil, nil
	l.close()
	if a != nil && a.stage != over && l.attemptCount > 1 {
		l.b.statsFor(l.addr).brokeAt = l.b.o.Loop.Now()
	}
	switch {
	case failed != nil:
		failed()
	case a == nil || a.stage == over:
	case !l.up || a.stage < written || l.net.Unwritten() > 0:
		if l.attemptCount > 1 {
			l.b.end(a, ravendale.NotSent, nil) // a reused connection was closed, which does not mean that the server is faulty
		} else {
			l.b.end(a, ravendale.ConnectFailed, nil)
		}
	default:
		l.b.end(a, ravendale.Reset, nil)
	}
}
