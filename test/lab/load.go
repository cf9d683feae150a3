package lab

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

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
	Name   string
	Share  float64
	Work   time.Duration // mean, on a core of speed 1; half to one and a half times as much is asked for
	Slots  float64
	GiveUp time.Duration
	Aim    time.Duration // answered later it is not in time
	Keyed  bool
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
	ended    bool
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

func (l *load) ask(due time.Duration, next func()) {
	i, at := 0, l.random.Float64()*l.shareSum
	for i < len(l.spec.Classes)-1 && at >= l.spec.Classes[i].Share {
		at -= l.spec.Classes[i].Share
		i++
	}
	class := &l.spec.Classes[i]
	l.lastID++
	id := fmt.Sprintf("%08x%08x", l.prefix, l.lastID)
	work := time.Duration((0.5 + l.random.Float64()) * float64(class.Work))
	h := http1.Header{{Name: platform.HeaderID, Value: id}, {Name: platform.HeaderClass, Value: class.Name},
		{Name: platform.HeaderLeft, Value: strconv.FormatInt(int64(class.GiveUp/time.Millisecond), 10)}}
	if class.Slots > 1 {
		h = append(h, http1.Field{Name: platform.HeaderLabels, Value: "slots=" + strconv.FormatFloat(class.Slots, 'g', -1, 64)})
	}
	if class.Keyed {
		h = append(h, http1.Field{Name: platform.HeaderKey, Value: id + id})
	}
	l.buf = appendWork(l.buf[:0], class.Name, work, max(class.Slots, 1))
	p := l.pools[l.turn%len(l.pools)]
	l.turn++
	request := http1.AppendRequest(nil, "POST", "/api?user="+id, p.addr, h, l.buf)
	measured := due >= l.spec.Measure && due < l.spec.Till
	cr, sr := &l.report.Classes[i], &l.report.Seconds[max(int((due-l.spec.From)/time.Second), 0)]
	if sr.Asked++; measured {
		l.report.Asked++
		cr.Asked++
	}
	l.open++
	var c *asked
	overdue := l.loop.Deadlines.Add(due+class.GiveUp+time.Second, func() {
		c.close()
		if l.open--; measured {
			l.report.Unanswered++
		}
		next()
		l.checkEnd()
	})
	answered := func(resp *http1.Response, err error) {
		l.loop.Deadlines.Drop(overdue)
		l.open--
		took := l.loop.Now() - due
		count := func(n *int) {
			if measured {
				*n++
			}
		}
		switch {
		case err != nil:
			count(&l.report.Broken)
			count(&cr.Broken)
		case resp.Status == 200 && string(resp.Body) != id:
			count(&l.report.Wrong)
		case resp.Status == 200:
			sr.Served++
			count(&l.report.Served)
			count(&cr.Served)
			_ = l.seconds[int((due-l.spec.From)/time.Second)].RecordValue(int64(took / time.Microsecond))
			if measured {
				_ = l.latency.RecordValue(int64(took / time.Microsecond))
				_ = l.classes[i].RecordValue(int64(took / time.Microsecond))
			}
			if class.Aim <= 0 || took <= class.Aim {
				sr.InTime++
				count(&l.report.InTime)
				count(&cr.InTime)
			}
		case resp.Status == 429 || resp.Status == 503:
			count(&l.report.Refused)
			count(&cr.Refused)
		default:
			count(&l.report.Failed)
			count(&cr.Failed)
		}
		if err != nil || resp.Status != 200 {
			l.loop.After(comeBack, next)
		} else {
			next()
		}
		l.checkEnd()
	}
	c = p.ask(request, answered)
	// The closing of a kept connection may cross a request that was not read: clients send it once more, on a new one.
	c.again = func() {
		l.report.Again++
		c = p.askAnew(request, answered)
	}
	c.extra = func() { l.report.Extra++ }
}

// checkEnd ends the run once its time is over and nothing is open.
func (l *load) checkEnd() {
	if !l.ended && l.loop.Now() >= l.spec.Till && l.open == 0 {
		l.ended = true
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
