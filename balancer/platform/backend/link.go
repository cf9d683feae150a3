package backend

import (
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
	b       *Backend
	addr    string
	net     transport.Conn
	in      http1.Responses
	up      bool
	busy    bool // a response is awaited
	isIdle  bool
	closed  bool
	uses    int // requests that it has carried
	wroteAt time.Duration
	readAt  time.Duration // when its last response came
	attempt *attempt
	request []byte // a DELETE, with what is to happen upon its response or its loss
	replied func()
	failed  func()
	timer   *deadline.Deadline
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
		l.rest()
	}
}

// begin writes an attempt, if it may still begin.
func (l *link) begin(a *attempt) {
	if !a.d.Due(l.b.o.Loop.Now()) || a.d.MayBegin != nil && !a.d.MayBegin() {
		l.attempt = nil
		l.rest()
		l.b.end(a, ravendale.NotSent, nil)
		return
	}
	l.attempt, a.link, l.busy = a, l, true
	l.uses++
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
	// A server begins a request when its last byte has come, and a connection that is gone unseen breaks at the first
	// bytes. With the last byte held back until that would have shown, a break proves that nothing ran, and the
	// request may go elsewhere; in doubt it could not be sent again.
	last := len(request) - 1
	a.stage = lastByteDue
	l.net.Write(request[:last])
	l.timer = l.b.o.Loop.After(l.hold(), func() { l.finish(request[last:]) })
}

// hold is how long a break takes to show: a round trip, and so no longer than the server's fastest answer. On a connection that
// was answered on just now it is for as long as a second answer may come to the request before. Nothing tells that from the
// answer to this one, once this is whole: taken for a rejection, it had what ran sent again.
func (l *link) hold() time.Duration {
	hold := min(max(l.b.habit(l.addr).latency, holdLeast), holdMost)
	if l.readAt > 0 {
		hold = max(hold, l.readAt+echoWithin-l.b.o.Loop.Now())
	}
	return hold
}

// finish writes the rest of an attempt's request: from now on it may run.
func (l *link) finish(rest []byte) {
	a := l.attempt
	if !a.d.Due(l.b.o.Loop.Now()) { // its time ran out while the byte was held back
		l.attempt = nil
		l.close()
		l.b.end(a, ravendale.NotSent, nil)
		return
	}
	a.stage, l.wroteAt = written, l.b.o.Loop.Now()
	l.net.Write(rest)
	l.count(a)
	// Guards against connections that fell silent, whose end nobody tells: the job would wait for its client's time.
	l.b.o.Loop.Deadlines.Drop(l.timer)
	l.timer = l.b.o.Loop.After(acceptTimeout, func() {
		if a.stage == written && !a.heard {
			a.d.Unresponsive()
		}
	})
}

// count counts an attempt once all of it has been handed to the system, which may be later than it was written.
func (l *link) count(a *attempt) {
	if !a.sent && l.net.Unwritten() == 0 {
		a.sent = true
		a.d.Sent()
	}
}

func (l *link) Data(data []byte) {
	if !l.busy { // a server that speaks unasked is of no use
		l.b.o.Log.Info("unexpected bytes from a backend server", "addr", l.addr, "after", l.b.o.Loop.Now()-l.readAt)
		l.close()
		return
	}
	l.in.Feed(data)
	resp, err := l.in.Next()
	if err != nil {
		l.b.o.Log.Info("an answer of a backend server can't be read", "addr", l.addr, "err", err)
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
		l.rest()
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
		l.answered(a, resp)
	}
}

// answered takes the response to a request that was written.
func (l *link) answered(a *attempt, resp *http1.Response) {
	switch {
	case resp.Status == 202:
		a.stage, a.link = accepted, nil
		if took, h := l.b.o.Loop.Now()-l.wroteAt, l.b.habit(l.addr); l.uses > 1 && (h.latency == 0 || took < h.latency) {
			h.latency = took
		}
	case (resp.Status == 503 || resp.Status == 504) && resp.Header.Get(platform.HeaderNotRun) == "1":
		l.b.end(a, ravendale.Overloaded, nil)
	default:
		if resp.Status != 500 {
			l.b.o.Log.Warn("unexpected answer of a backend server", "server", a.key.server, "status", resp.Status)
		}
		if resp.Status/100 == 4 {
			l.b.end(a, ravendale.Rejected, nil)
		} else {
			l.b.end(a, ravendale.Error, nil)
		}
	}
}

// rest puts a connection among the idle ones, until safely before its server would close it.
func (l *link) rest() {
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

// expect closes the connection unless a response comes in time.
func (l *link) expect(within time.Duration) {
	l.b.o.Loop.Deadlines.Drop(l.timer)
	l.timer = l.b.o.Loop.After(within, l.onClosed)
}

// close ends the connection from this side; nothing depends on it.
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

// onClosed ends the connection and what it carried. That never ran where no connection came up, or where
// the request's last byte is known not to have left; in doubt it may have run.
func (l *link) onClosed() {
	if l.closed {
		return
	}
	a, failed := l.attempt, l.failed
	l.attempt, l.failed, l.replied = nil, nil, nil
	l.close()
	if a != nil && a.stage != over && l.uses > 1 {
		l.b.habit(l.addr).brokeAt = l.b.o.Loop.Now()
	}
	switch {
	case failed != nil:
		failed()
	case a == nil || a.stage == over:
	case !l.up || a.stage < written || l.net.Unwritten() > 0:
		if l.uses > 1 {
			l.b.end(a, ravendale.NotSent, nil) // a kept connection had ended: that says nothing of the server
		} else {
			l.b.end(a, ravendale.ConnectFailed, nil)
		}
	default:
		l.b.end(a, ravendale.Reset, nil)
	}
}
