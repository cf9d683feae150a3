package workers

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"ravendale/test/standin/history"
	"ravendale/test/standin/protocol"
)

// Troubles of a worker.
type Troubles struct {
	Dark    bool    // it accepts connections and says nothing
	Failing bool    // it answers health checks 503, and each run 500
	Slow    float64 // runs take so many times as long; 0: as usual
	Spoilt
}

// Spoilt is how the answers to runs that were a success are spoilt, by share. An answer is spoilt in one way at most.
type Spoilt struct {
	LoseShare    float64 // never sent
	CutShare     float64 // end early
	ResetShare   float64 // the connection is reset in place of an answer
	ForeignShare float64 // another message's answer, its id and signature, in place of the own one
	LateShare    float64 // sent about the deadline that the request names, before it or after it
	RepeatShare  float64 // sent a second time, later
}

// Names of the ways in which answers are spoilt, as history.Arrival has them.
const (
	SpoiltLost    = "lost"
	SpoiltCut     = "cut"
	SpoiltReset   = "reset"
	SpoiltForeign = "foreign"
	SpoiltLate    = "late"
	SpoiltRepeat  = "repeated"
)

// draw chooses what becomes of an answer; empty: it is sent as it is.
func (s Spoilt) draw() string {
	drawn := rand.Float64()
	for _, way := range []struct {
		name  string
		share float64
	}{
		{SpoiltLost, s.LoseShare}, {SpoiltCut, s.CutShare}, {SpoiltReset, s.ResetShare},
		{SpoiltForeign, s.ForeignShare}, {SpoiltLate, s.LateShare}, {SpoiltRepeat, s.RepeatShare},
	} {
		if drawn < way.share {
			return way.name
		}
		drawn -= way.share
	}
	return ""
}

// Sizes and times of a worker's connections.
const (
	maxBody     = 16 << 20
	readerSize  = 4096
	repeatAfter = 30 * time.Millisecond // until a second answer
	lateSpread  = 0.25                  // a late answer comes within this part of the time allowed before its end, or after it
)

// Worker is one incarnation of a worker.
type Worker struct {
	fleet    *Fleet
	service  *serviceState
	id       string
	zone     string
	listed   bool
	listener net.Listener
	slots    chan struct{}
	waiting  atomic.Int64
	draining atomic.Bool
	troubles atomic.Pointer[Troubles]
	life     context.Context
	endLife  context.CancelFunc

	mutex    sync.Mutex
	conns    map[*conn]bool
	previous foreign // newest success
}

// foreign is an answer as it may be sent to another message.
type foreign struct {
	id    string
	reply answer
}

// swap keeps a success, and returns the one before it.
func (w *Worker) swap(id string, reply answer) foreign {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	before := w.previous
	w.previous = foreign{id: id, reply: reply}
	return before
}

func newWorker(fleet *Fleet, service *serviceState, listen Listen, listener net.Listener) *Worker {
	life, end := context.WithCancel(context.Background())
	worker := &Worker{
		fleet:    fleet,
		service:  service,
		id:       fleet.instanceID(),
		zone:     listen.Zone,
		listed:   !listen.Unlisted,
		listener: listener,
		slots:    make(chan struct{}, service.Capacity),
		life:     life,
		endLife:  end,
		conns:    make(map[*conn]bool),
	}
	worker.troubles.Store(&Troubles{})
	return worker
}

// ID of the incarnation.
func (w *Worker) ID() string { return w.id }

// Address where the worker listens.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// SetTroubles replaces the worker's troubles.
func (w *Worker) SetTroubles(troubles Troubles) { w.troubles.Store(&troubles) }

// Drain makes the worker answer health checks 503. It goes on serving.
func (w *Worker) Drain() { w.draining.Store(true) }

// Crash ends the worker at once, its runs and connections with it.
func (w *Worker) Crash() {
	w.endLife()
	_ = w.listener.Close()
	for _, c := range w.open() {
		c.reset()
	}
}

// Connections is how many the worker has.
func (w *Worker) Connections() int { return len(w.open()) }

func (w *Worker) ended() bool { return w.life.Err() != nil }

func (w *Worker) open() []*conn {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	open := make([]*conn, 0, len(w.conns))
	for c := range w.conns {
		open = append(open, c)
	}
	return open
}

func (w *Worker) accept() {
	for {
		netConn, err := w.listener.Accept()
		if err != nil {
			return
		}
		c := &conn{worker: w, net: netConn, reader: bufio.NewReaderSize(netConn, readerSize)}
		if !w.admit(c) {
			c.reset()
			continue
		}
		go c.serve()
	}
}

func (w *Worker) admit(c *conn) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.ended() || len(w.conns) >= w.service.MaxConns {
		return false
	}
	w.conns[c] = true
	return true
}

func (w *Worker) forget(c *conn) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.conns, c)
}

// errFull says that neither a slot nor a place in the queue is free.
var errFull = errors.New("full")

// slot waits for a slot. A health check may wait however long the queue is.
func (w *Worker) slot(ctx context.Context, queued bool) error {
	select {
	case w.slots <- struct{}{}:
		return nil
	default:
	}
	if queued {
		defer w.waiting.Add(-1)
		if w.waiting.Add(1) > int64(w.service.Queue) {
			return errFull
		}
	}
	select {
	case w.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *Worker) release() { <-w.slots }

// conn is one connection, which handles one request at a time.
type conn struct {
	worker *Worker
	net    net.Conn
	reader *bufio.Reader
	used   bool // it has carried a message
}

func (c *conn) reset() {
	if tcp, ok := c.net.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.net.Close()
}

func (c *conn) serve() {
	defer c.worker.forget(c)
	defer func() { _ = c.net.Close() }()
	for {
		_ = c.net.SetReadDeadline(time.Now().Add(c.worker.service.KeepAlive))
		if _, err := c.reader.Peek(1); err != nil {
			return
		}
		_ = c.net.SetReadDeadline(time.Time{})
		if c.worker.troubles.Load().Dark {
			c.silence()
			return
		}
		request, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(request.Body, maxBody))
		if err != nil || !c.handle(request, body) {
			return
		}
	}
}

// silence reads whatever comes until the other end gives up.
func (c *conn) silence() { _, _ = io.Copy(io.Discard, c.reader) }

// answer to a request.
type answer struct {
	status    int
	signature string
	body      []byte
	notRun    bool
}

// handle answers a request, and says whether the connection goes on.
func (c *conn) handle(request *http.Request, body []byte) bool {
	ctx, stop := c.watch()
	defer stop()
	if request.Method == http.MethodGet && request.URL.Path == c.worker.service.HealthPath {
		return c.write("", c.worker.health(ctx))
	}
	return c.deliver(ctx, request, body)
}

// watch makes a context that ends with the worker, or when the other end closes the connection. stop ends the watching.
func (c *conn) watch() (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancel(c.worker.life)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		_, err := c.reader.Peek(1)
		var timeout net.Error
		if err != nil && (!errors.As(err, &timeout) || !timeout.Timeout()) {
			cancel()
		}
	}()
	return ctx, func() {
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
		<-watched
		cancel()
	}
}

func (w *Worker) health(ctx context.Context) answer {
	if w.draining.Load() || w.troubles.Load().Failing {
		return answer{status: http.StatusServiceUnavailable}
	}
	if err := w.slot(ctx, false); err != nil {
		return answer{status: http.StatusServiceUnavailable}
	}
	w.release()
	return answer{status: http.StatusOK}
}

func (c *conn) deliver(ctx context.Context, request *http.Request, body []byte) bool {
	worker := c.worker
	id := request.Header.Get(protocol.HeaderRequestID)
	record := worker.fleet.record
	arrival := record.Arrive(history.Arrival{
		RequestID: id,
		Service:   worker.service.Name,
		Worker:    worker.id,
		Listed:    worker.listed,
		Method:    request.Method,
		Host:      request.Host,
		Target:    request.RequestURI,
		Key:       request.Header.Get(protocol.HeaderOrderKey),
		Body:      xxhash.Sum64(body),
		Arrived:   record.Now(),
		Reused:    c.used,
	})
	c.used = true
	reply, given := worker.answerTo(ctx, request, arrival)
	record.Change(arrival, func(a *history.Arrival) { a.Status = reply.status })
	if !given {
		return false
	}
	if reply.signature != "" {
		return c.writeSuccess(ctx, reply, arrival, request.Header.Get(protocol.HeaderDeadline))
	}
	return c.write(id, reply)
}

// answerTo works on a message. Not given: the connection is gone.
func (w *Worker) answerTo(ctx context.Context, request *http.Request, arrival *history.Arrival) (reply answer, given bool) {
	id := arrival.RequestID
	if id == "" {
		return answer{status: http.StatusBadRequest, notRun: true}, true
	}
	if expected := request.Header.Get(protocol.HeaderExpectInstance); expected != "" && expected != w.id {
		return answer{status: http.StatusMisdirectedRequest, notRun: true}, true
	}
	if w.service.limiter != nil && !w.service.limiter.Allow() {
		return answer{status: http.StatusTooManyRequests, notRun: true}, true
	}
	ctx, cancel := withDeadline(ctx, request.Header.Get(protocol.HeaderDeadline))
	defer cancel()
	if w.service.Idempotent {
		return w.answerOnce(ctx, arrival)
	}
	return w.run(ctx, arrival)
}

// withDeadline ends a context at the Deadline-Ms that a worker is handed.
func withDeadline(ctx context.Context, header string) (context.Context, context.CancelFunc) {
	millis, err := strconv.ParseFloat(header, 64)
	if err != nil || millis <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(millis*float64(time.Millisecond)))
}

func (w *Worker) answerOnce(ctx context.Context, arrival *history.Arrival) (answer, bool) {
	id := arrival.RequestID
	known, running, began := w.service.table.begin(id)
	if running {
		return answer{status: http.StatusConflict, notRun: true}, true
	}
	if !began {
		return answer{status: http.StatusOK, signature: known.signature, body: known.body}, true
	}
	reply, given := w.run(ctx, arrival)
	w.service.table.end(id, success{signature: reply.signature, body: reply.body})
	return reply, given
}

// run works on a message in a slot.
func (w *Worker) run(ctx context.Context, arrival *history.Arrival) (answer, bool) {
	if err := w.slot(ctx, true); err != nil {
		return answer{status: http.StatusServiceUnavailable, notRun: true}, !errors.Is(err, context.Canceled)
	}
	defer w.release()
	record := w.fleet.record
	record.Change(arrival, func(a *history.Arrival) {
		a.Start = record.Now()
		a.Outcome = history.OutcomeRunning
	})
	reply, outcome := w.work(ctx, arrival.RequestID)
	record.Change(arrival, func(a *history.Arrival) {
		a.End = record.Now()
		a.Outcome = outcome
		a.Signature = reply.signature
	})
	return reply, outcome != history.OutcomeDropped
}

// work takes the time that a run takes, and decides how it ends.
func (w *Worker) work(ctx context.Context, id string) (answer, history.Outcome) {
	troubles := w.troubles.Load()
	took := w.service.work()
	if troubles.Slow > 0 {
		took = time.Duration(float64(took) * troubles.Slow)
	}
	if err := w.sleep(ctx, took); errors.Is(err, context.DeadlineExceeded) {
		return answer{status: http.StatusGatewayTimeout}, history.OutcomeStopped
	} else if err != nil {
		return answer{}, history.OutcomeDropped
	}
	switch {
	case w.service.Refuses(id):
		return answer{status: http.StatusUnprocessableEntity}, history.OutcomeRefused
	case troubles.Failing || w.service.Poison(id) || rand.Float64() < w.service.FailShare:
		return answer{status: http.StatusInternalServerError}, history.OutcomeFailed
	}
	signature := w.fleet.signature()
	return answer{status: http.StatusOK, signature: signature, body: []byte("done " + id)}, history.OutcomeDone
}

// sleep waits for the work's time. A worker that keeps working heeds only its own end and the deadline.
func (w *Worker) sleep(ctx context.Context, took time.Duration) error {
	timer := time.NewTimer(took)
	defer timer.Stop()
	if !w.service.KeepsWorking {
		select {
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	select {
	case <-timer.C:
		return nil
	case <-w.life.Done():
		return w.life.Err()
	}
}

// writeSuccess sends a success with the worker's troubles.
func (c *conn) writeSuccess(ctx context.Context, reply answer, arrival *history.Arrival, deadline string) bool {
	record := c.worker.fleet.record
	id := arrival.RequestID
	encoded := c.encode(id, reply)
	before := c.worker.swap(id, reply)
	spoilt := c.worker.troubles.Load().draw()
	if spoilt == SpoiltForeign && (before.id == "" || before.id == id) {
		spoilt = "" // there is no other message's answer
	}
	record.Change(arrival, func(a *history.Arrival) { a.Spoilt = spoilt })
	switch spoilt {
	case SpoiltLost:
		<-ctx.Done()
		return false
	case SpoiltCut:
		_, _ = c.net.Write(encoded[:rand.IntN(len(encoded))])
		return false
	case SpoiltReset:
		c.reset()
		return false
	case SpoiltForeign:
		return c.write(before.id, before.reply)
	case SpoiltLate:
		c.awaitDeadline(arrival.Arrived, deadline)
	}
	if _, err := c.net.Write(encoded); err != nil {
		return false
	}
	record.Change(arrival, func(a *history.Arrival) {
		a.Answered = true
		a.Written = record.Now()
	})
	if spoilt == SpoiltRepeat {
		time.Sleep(repeatAfter)
		_, err := c.net.Write(encoded)
		return err == nil
	}
	return true
}

// awaitDeadline waits until about the deadline of a request. The end of its connection does not end the wait, that of the worker does.
func (c *conn) awaitDeadline(arrived time.Duration, header string) {
	millis, err := strconv.ParseFloat(header, 64)
	if err != nil || millis <= 0 {
		return
	}
	allowed := millis * float64(time.Millisecond)
	until := arrived + time.Duration(allowed*(1-lateSpread+2*lateSpread*rand.Float64()))
	timer := time.NewTimer(until - c.worker.fleet.record.Now())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.worker.life.Done():
	}
}

func (c *conn) write(id string, reply answer) bool {
	_, err := c.net.Write(c.encode(id, reply))
	return err == nil
}

func (c *conn) encode(id string, reply answer) []byte {
	var out strings.Builder
	out.WriteString("HTTP/1.1 " + strconv.Itoa(reply.status) + " " + http.StatusText(reply.status) + "\r\n")
	header := func(name, value string) {
		if value != "" {
			out.WriteString(name + ": " + value + "\r\n")
		}
	}
	header(protocol.HeaderInstance, c.worker.id)
	header(protocol.HeaderRequestID, id)
	header(protocol.HeaderSignature, reply.signature)
	if reply.notRun {
		header(protocol.HeaderNotExecuted, "true")
	}
	header("Keep-Alive", "timeout="+strconv.Itoa(int(c.worker.service.KeepAlive/time.Second)))
	header("Content-Length", strconv.Itoa(len(reply.body)))
	out.WriteString("\r\n")
	out.Write(reply.body)
	return []byte(out.String())
}
