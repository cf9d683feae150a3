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

// LoadSpec says what a process of clients asks for.
type LoadSpec struct {
	Seed       uint64
	Schedulers []string // dealt out in turn
	Classes    []ClassSpec
	Callers    int     // so many ask one request after the other,
	Rate       float64 // or so many requests a second come, whatever becomes of them
	From, Till time.Duration
	Measure    time.Duration // what is asked for from this time on counts
	Skew       int           // above 1, every so manieth caller asks without pause and the others rest for a while
}

// ClassSpec is one class of jobs as clients ask for them.
type ClassSpec struct {
	Name          string
	Share         float64
	Work          time.Duration // mean, on a core of speed 1; half to one and a half times as much is asked for
	Slots         float64
	GiveUp        time.Duration
	LatencyTarget time.Duration // answered later it is not in time
	Keyed         bool
}

// LoadReport is what the clients saw of what they asked for while it was measured.
type LoadReport struct {
	Asked, Served, Refused, Failed int
	Broken                         int // the connection ended without an answer
	Wrong                          int // served with another job's result
	Extra                          int // more than one answer
	Again                          int // sent once more, since a kept connection ended before its answer began
	Unanswered                     int // nothing by the time that the client gave up, or by the end
	InTime                         int
	Span                           time.Duration
	Behind                         time.Duration // the most that an arrival was late
	Classes                        []ClassReport
	Seconds                        []SecondReport
	Latency                        *hdrhistogram.Snapshot // of served ones, in microseconds
}

// ClassReport is that for one class.
type ClassReport struct {
	Name                    string
	Asked, Served, InTime   int
	P50, P90, P99, P999     time.Duration
	Refused, Failed, Broken int
}

// SecondReport is one second of it, by when the requests were to be sent.
type SecondReport struct {
	Asked, Served, InTime int
	P50, P99              time.Duration
}

// hist is a histogram of latencies from 1 us to 60 s, true to 1 in 1000.
func hist() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60e6, 3) }

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

type load struct {
	spec     LoadSpec
	loop     *scheduler.Loop
	random   *rand.Rand
	pools    []*pool
	turn     int
	lastID   uint32
	prefix   uint32
	open     int
	finished bool
	done     func()
	report   LoadReport
	latency  *hdrhistogram.Histogram
	classes  []*hdrhistogram.Histogram
	seconds  []*hdrhistogram.Histogram
	shareSum float64
	due      time.Duration // of the next arrival
	buf      []byte
}

// Drive asks until the spec's end, and returns when every answer has come or can't any more.
func Drive(spec LoadSpec, log *slog.Logger) (LoadReport, error) {
	loop := scheduler.NewLoop(scheduler.SystemClock())
	engine := nbionet.New(nbionet.Options{Loop: loop, ConnectTimeout: dialWithin, Log: log})
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
	l := &load{spec: spec, loop: loop, random: rand.New(rand.NewPCG(spec.Seed, 1)), done: done, latency: hist()}
	l.prefix = l.random.Uint32()
	for _, addr := range spec.Schedulers {
		l.pools = append(l.pools, newPool(loop, net, addr))
	}
	l.report.Classes = make([]ClassReport, len(spec.Classes))
	for i, c := range spec.Classes {
		l.shareSum += c.Share
		l.classes = append(l.classes, hist())
		l.report.Classes[i].Name = c.Name
	}
	l.report.Seconds = make([]SecondReport, int((spec.Till-spec.From)/time.Second)+1)
	for range l.report.Seconds {
		l.seconds = append(l.seconds, hist())
	}
	return l
}

func (l *load) start() {
	now := l.loop.Now()
	if l.due = max(l.spec.From, now); l.spec.Rate > 0 {
		l.loop.Deadlines.Add(l.due, l.arrive)
	}
	for i := range l.spec.Callers {
		l.loop.Deadlines.Add(l.due+time.Duration(i)*time.Millisecond/10, func() { l.again(i) })
	}
	l.loop.Deadlines.Add(l.spec.Till, l.checkEnd)
}

// arrive sends what is due, and counts from when it was due: a driver that is late must not hide what a client waits.
func (l *load) arrive() {
	now := l.loop.Now()
	for l.due <= now {
		if l.due >= l.spec.Till {
			return
		}
		if l.due >= l.spec.Measure {
			l.report.Behind = max(l.report.Behind, now-l.due)
		}
		l.ask(l.due, func() {})
		l.due += time.Duration(l.random.ExpFloat64() / l.spec.Rate * float64(time.Second))
	}
	l.loop.Deadlines.Add(l.due, l.arrive)
}

// restOf is how long a caller rests between requests that is not one of the busy ones.
const restOf = 200 * time.Millisecond

// again is one caller's next request.
func (l *load) again(caller int) {
	if l.loop.Now() >= l.spec.Till {
		return
	}
	l.ask(l.loop.Now(), func() {
		if l.spec.Skew > 1 && caller%l.spec.Skew != 0 {
			l.loop.After(restOf, func() { l.again(caller) })
			return
		}
		l.again(caller)
	})
}

// comeBack is how long a caller waits whose request was refused or lost before it asks for the next.
const comeBack = 5 * time.Millisecond

// request is one request of a client.
type request struct {
	l          *load
	id         string
	class      int           // index in the spec's classes
	due        time.Duration // when it was to be sent
	measured   bool          // it counts
	connection *clientConn
	deadline   *deadline.Deadline // after which nothing is waited for
	next       func()             // called once it has ended
}

// ask sends a request of a class that is drawn by its share.
func (l *load) ask(due time.Duration, next func()) {
	l.lastID++
	r := &request{l: l, id: fmt.Sprintf("%08x%08x", l.prefix, l.lastID), class: l.drawClass(), due: due,
		measured: due >= l.spec.Measure && due < l.spec.Till, next: next}
	p := l.pools[l.turn%len(l.pools)]
	l.turn++
	text := r.encode(p.addr)
	r.second().Asked++
	r.count(&l.report.Asked, &l.report.Classes[r.class].Asked)
	l.open++
	r.deadline = l.loop.Deadlines.Add(due+r.spec().GiveUp+time.Second, r.timeOut)
	r.connection = p.ask(text, r.answered)
	// The closing of a kept connection may cross a request that was not read: clients send it once more, on a new one.
	r.connection.again = func() {
		l.report.Again++
		r.connection = p.askAnew(text, r.answered)
	}
	r.connection.extra = func() { l.report.Extra++ }
}

// drawClass draws a class by its share.
func (l *load) drawClass() int {
	i, at := 0, l.random.Float64()*l.shareSum
	for i < len(l.spec.Classes)-1 && at >= l.spec.Classes[i].Share {
		at -= l.spec.Classes[i].Share
		i++
	}
	return i
}

func (r *request) spec() *ClassSpec { return &r.l.spec.Classes[r.class] }

// secondIndex is the second of the run in which the request was due.
func (r *request) secondIndex() int { return max(int((r.due-r.l.spec.From)/time.Second), 0) }

func (r *request) second() *SecondReport { return &r.l.report.Seconds[r.secondIndex()] }

// count adds one to each if the request counts.
func (r *request) count(counters ...*int) {
	for _, n := range counters {
		if r.measured {
			*n++
		}
	}
}

// encode writes the request as the platform's clients send it.
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

// timeOut gives the request up: no answer came by then.
func (r *request) timeOut() {
	r.connection.close()
	r.l.open--
	r.count(&r.l.report.Unanswered)
	r.next()
	r.l.checkEnd()
}

// answered takes the answer, or why there is none.
func (r *request) answered(resp *http1.Response, err error) {
	l := r.l
	l.loop.Deadlines.Drop(r.deadline)
	l.open--
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
		l.loop.After(comeBack, r.next)
	} else {
		r.next()
	}
	l.checkEnd()
}

// served counts a right answer, which took so long from when the request was due.
func (r *request) served(took time.Duration) {
	l, class := r.l, &r.l.report.Classes[r.class]
	r.second().Served++
	r.count(&l.report.Served, &class.Served)
	us := int64(took / time.Microsecond)
	_ = l.seconds[r.secondIndex()].RecordValue(us) // beyond the histogram's range it is not shown
	if r.measured {
		_ = l.latency.RecordValue(us)
		_ = l.classes[r.class].RecordValue(us)
	}
	if target := r.spec().LatencyTarget; target <= 0 || took <= target {
		r.second().InTime++
		r.count(&l.report.InTime, &class.InTime)
	}
}

// checkEnd ends the run once its time is over and nothing is open.
func (l *load) checkEnd() {
	if !l.finished && l.loop.Now() >= l.spec.Till && l.open == 0 {
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

func imported(s *hdrhistogram.Snapshot) *hdrhistogram.Histogram { return hdrhistogram.Import(s) }
