package lab

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ravendale/balancer/deadline"
	"ravendale/balancer/http1"
	"ravendale/balancer/platform"
	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
	"ravendale/balancer/transport/nbionet"
)

// LoadSpec configures the load that a client process generates: a closed loop of Callers, or an open loop of Rate.
type LoadSpec struct {
	Seed       uint64
	Schedulers []string // addresses, used in turn
	Classes    []ClassSpec
	Callers    int     // closed loop: number of callers, each with one request at a time
	Rate       float64 // open loop: requests per second, sent regardless of answers
	From, Till time.Duration
	Measure    time.Duration // requests due before this time count in Seconds only
	Skew       int           // if above 1, every Skew-th caller sends without pause and the others pause between requests
}

// ClassSpec is a class of jobs as clients request them.
type ClassSpec struct {
	Name          string
	Share         float64
	Work          time.Duration // mean on a core of speed 1; each request draws 0.5 to 1.5 times as much
	Slots         float64
	GiveUp        time.Duration
	LatencyTarget time.Duration // a later answer does not count as in time
	Keyed         bool
}

// LoadReport counts the requests that were due while the load was measured, and their outcomes.
type LoadReport struct {
	Asked, Served, Refused, Failed int
	Broken                         int // the connection closed without an answer
	Wrong                          int // answered 200 with another job's result
	Extra                          int // data after the answer, such as a second answer
	Again                          int // resent because a reused connection closed before an answer began
	Unanswered                     int // no answer by a second after the client's timeout
	InTime                         int
	Span                           time.Duration
	Behind                         time.Duration // the longest that a request of the open loop was sent after it was due
	Classes                        []ClassReport
	Seconds                        []SecondReport
	Latency                        *hdrhistogram.Snapshot // of served requests, in microseconds
}

// ClassReport holds the counts and latencies of one class.
type ClassReport struct {
	Name                    string
	Asked, Served, InTime   int
	P50, P90, P99, P999     time.Duration
	Refused, Failed, Broken int
}

// SecondReport holds the requests that were due in one second of the run, warm-up included.
type SecondReport struct {
	Asked, Served, InTime int
	P50, P99              time.Duration
}

// newHistogram returns a histogram of latencies from 1 us to 60 s, accurate to 1 in 1000.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60e6, 3) }

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// load is the state of one client process; all of it is used on the loop only.
type load struct {
	spec     LoadSpec
	loop     *scheduler.Loop
	random   *rand.Rand
	pools    []*pool
	nextPool int
	lastID   uint32
	prefix   uint32
	pending  int
	finished bool
	done     func()
	report   LoadReport
	latency  *hdrhistogram.Histogram
	classes  []*hdrhistogram.Histogram
	seconds  []*hdrhistogram.Histogram
	shareSum float64
	nextDue  time.Duration // when the open loop sends next
	buf      []byte
}

// Drive generates load until spec.Till, and returns once every request has been answered, has failed or has timed out.
func Drive(spec LoadSpec, log *slog.Logger) (LoadReport, error) {
	loop := scheduler.NewLoop(scheduler.SystemClock())
	engine := nbionet.New(nbionet.Options{Loop: loop, ConnectTimeout: dialTimeout, Log: log})
	defer engine.Close()
	if err := engine.Start(); err != nil {
		return LoadReport{}, err
	}
	stop := make(chan struct{})
	l := newLoad(spec, loop, engine, func() { close(stop) })
	loop.Post(l.start)
	loop.Run(stop)
	return l.result(), nil
}

func newLoad(spec LoadSpec, loop *scheduler.Loop, net transport.Network, done func()) *load {
	l := &load{spec: spec, loop: loop, random: rand.New(rand.NewPCG(spec.Seed, 1)), done: done, latency: newHistogram()}
	l.prefix = l.random.Uint32()
	for _, addr := range spec.Schedulers {
		l.pools = append(l.pools, newPool(loop, net, addr))
	}
	l.report.Classes = make([]ClassReport, len(spec.Classes))
	for i, c := range spec.Classes {
		l.shareSum += c.Share
		l.classes = append(l.classes, newHistogram())
		l.report.Classes[i].Name = c.Name
	}
	l.report.Seconds = make([]SecondReport, int((spec.Till-spec.From)/time.Second)+1)
	for range l.report.Seconds {
		l.seconds = append(l.seconds, newHistogram())
	}
	return l
}

func (l *load) start() {
	now := l.loop.Now()
	if l.nextDue = max(l.spec.From, now); l.spec.Rate > 0 {
		l.loop.Deadlines.Add(l.nextDue, l.sendDue)
	}
	for i := range l.spec.Callers {
		l.loop.Deadlines.Add(l.nextDue+time.Duration(i)*time.Millisecond/10, func() { l.sendNext(i) })
	}
	l.loop.Deadlines.Add(l.spec.Till, l.finishIfIdle)
}

// sendDue sends the requests that are due. Latencies count from the due time, so that a delay of the load generator does not
// hide the time that a client waits (coordinated omission).
func (l *load) sendDue() {
	now := l.loop.Now()
	for l.nextDue <= now {
		if l.nextDue >= l.spec.Till {
			return
		}
		if l.nextDue >= l.spec.Measure {
			l.report.Behind = max(l.report.Behind, now-l.nextDue)
		}
		l.sendRequest(l.nextDue, func() {})
		l.nextDue += time.Duration(l.random.ExpFloat64() / l.spec.Rate * float64(time.Second))
	}
	l.loop.Deadlines.Add(l.nextDue, l.sendDue)
}

// idlePause is the pause between the requests of a caller that is not one of the busy ones; see LoadSpec.Skew.
const idlePause = 200 * time.Millisecond

// sendNext sends the next request of a caller.
func (l *load) sendNext(caller int) {
	if l.loop.Now() >= l.spec.Till {
		return
	}
	l.sendRequest(l.loop.Now(), func() {
		if l.spec.Skew > 1 && caller%l.spec.Skew != 0 {
			l.loop.After(idlePause, func() { l.sendNext(caller) })
			return
		}
		l.sendNext(caller)
	})
}

// pauseAfterFailure is how long a caller waits for its next request after a request was not served.
const pauseAfterFailure = 5 * time.Millisecond

// request is one request of a client.
type request struct {
	l          *load
	id         string
	class      int           // index in the spec's classes
	due        time.Duration // when it was to be sent
	measured   bool          // it counts in the report
	connection *clientConn
	deadline   *deadline.Deadline // after which it counts as unanswered
	onDone     func()             // called after the request has ended
}

// sendRequest sends a request of a class drawn by share, and calls next when the request has ended.
func (l *load) sendRequest(due time.Duration, next func()) {
	l.lastID++
	r := &request{l: l, id: fmt.Sprintf("%08x%08x", l.prefix, l.lastID), class: l.drawClass(), due: due,
		measured: due >= l.spec.Measure && due < l.spec.Till, onDone: next}
	p := l.pools[l.nextPool%len(l.pools)]
	l.nextPool++
	text := r.encode(p.addr)
	r.second().Asked++
	r.count(&l.report.Asked, &l.report.Classes[r.class].Asked)
	l.pending++
	r.deadline = l.loop.Deadlines.Add(due+r.spec().GiveUp+time.Second, r.handleTimeout)
	r.connection = p.do(text, r.handleResponse)
	// The server may close a reused connection before it reads the request: clients resend it once, on a new connection.
	r.connection.onRetry = func() {
		l.report.Again++
		r.connection = p.doOnNewConn(text, r.handleResponse)
	}
	r.connection.onExtraData = func() { l.report.Extra++ }
}

// drawClass draws the index of a class with a probability proportional to its share.
func (l *load) drawClass() int {
	i, at := 0, l.random.Float64()*l.shareSum
	for i < len(l.spec.Classes)-1 && at >= l.spec.Classes[i].Share {
		at -= l.spec.Classes[i].Share
		i++
	}
	return i
}

func (r *request) spec() *ClassSpec { return &r.l.spec.Classes[r.class] }

// secondIndex returns the index of the second of the run in which the request was due.
func (r *request) secondIndex() int { return max(int((r.due-r.l.spec.From)/time.Second), 0) }

func (r *request) second() *SecondReport { return &r.l.report.Seconds[r.secondIndex()] }

// count increments each counter if the request is measured.
func (r *request) count(counters ...*int) {
	for _, n := range counters {
		if r.measured {
			*n++
		}
	}
}

// encode returns the request as the platform's clients send it.
func (r *request) encode(addr string) []byte {
	l, class := r.l, r.spec()
	work := time.Duration((0.5 + l.random.Float64()) * float64(class.Work))
	h := http1.Header{{Name: platform.HeaderID, Value: r.id}, {Name: platform.HeaderClass, Value: class.Name},
		{Name: platform.HeaderLeft, Value: strconv.FormatInt(int64(class.GiveUp/time.Millisecond), 10)}}
	if class.Slots > 1 {
		h = append(h, http1.Field{Name: platform.HeaderLabels, Value: "slots=" + strconv.FormatFloat(class.Slots, 'g', -1, 64)})
	}
	if class.Keyed {
		h = append(h, http1.Field{Name: platform.HeaderKey, Value: r.id + r.id})
	}
	l.buf = appendWork(l.buf[:0], class.Name, work, max(class.Slots, 1))
	return http1.AppendRequest(nil, "POST", "/api?user="+r.id, addr, h, l.buf)
}

// handleTimeout abandons the request, counts it as unanswered and closes its connection.
func (r *request) handleTimeout() {
	r.connection.close()
	r.l.pending--
	r.count(&r.l.report.Unanswered)
	r.onDone()
	r.l.finishIfIdle()
}

// handleResponse counts the answer, or the error in its place, and continues with the caller's next request.
func (r *request) handleResponse(resp *http1.Response, err error) {
	l := r.l
	l.loop.Deadlines.Drop(r.deadline)
	l.pending--
	class := &l.report.Classes[r.class]
	switch {
	case err != nil:
		r.count(&l.report.Broken, &class.Broken)
	case resp.Status == 200 && string(resp.Body) != r.id:
		r.count(&l.report.Wrong)
	case resp.Status == 200:
		r.served(l.loop.Now() - r.due)
	case resp.Status == 429 || resp.Status == 503:
		r.count(&l.report.Refused, &class.Refused)
	default:
		r.count(&l.report.Failed, &class.Failed)
	}
	if err != nil || resp.Status != 200 {
		l.loop.After(pauseAfterFailure, r.onDone)
	} else {
		r.onDone()
	}
	l.finishIfIdle()
}

// served counts a correct answer; took is its latency, from when the request was due.
func (r *request) served(took time.Duration) {
	l, class := r.l, &r.l.report.Classes[r.class]
	r.second().Served++
	r.count(&l.report.Served, &class.Served)
	us := int64(took / time.Microsecond)
	_ = l.seconds[r.secondIndex()].RecordValue(us) // a value beyond the histogram's range is left out
	if r.measured {
		_ = l.latency.RecordValue(us)
		_ = l.classes[r.class].RecordValue(us)
	}
	if target := r.spec().LatencyTarget; target <= 0 || took <= target {
		r.second().InTime++
		r.count(&l.report.InTime, &class.InTime)
	}
}

// finishIfIdle ends the run once its time is over and no request is pending.
func (l *load) finishIfIdle() {
	if !l.finished && l.loop.Now() >= l.spec.Till && l.pending == 0 {
		l.finished = true
		l.done()
	}
}

func (l *load) result() LoadReport {
	r := l.report
	r.Span = l.spec.Till - l.spec.Measure
	r.Latency = l.latency.Export()
	for i := range r.Classes {
		c, h := &r.Classes[i], l.classes[i]
		c.P50, c.P90, c.P99, c.P999 = quantile(h, 50), quantile(h, 90), quantile(h, 99), quantile(h, 99.9)
	}
	for i := range r.Seconds {
		r.Seconds[i].P50, r.Seconds[i].P99 = quantile(l.seconds[i], 50), quantile(l.seconds[i], 99)
	}
	return r
}

func importHistogram(s *hdrhistogram.Snapshot) *hdrhistogram.Histogram { return hdrhistogram.Import(s) }
