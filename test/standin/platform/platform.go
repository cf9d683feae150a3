package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"ravendale/test/standin/history"
	"ravendale/test/standin/protocol"
)

// Options are the options of a platform.
type Options struct {
	Address  string        // host:port to listen on; port 0: a free port
	PageSize int           // entries per page; 0: defaultPageSize
	RatePerS float64       // accepted calls per second; 0: no limit
	Lag      time.Duration // delay until the list shows a change
	Record   *history.Recorder
}

const defaultPageSize = 50

// tokenPrefix is the prefix of page tokens.
const tokenPrefix = "p-"

// entry is a worker with the times of its changes since the platform's start. Zero: the change has not happened.
type entry struct {
	instance   protocol.Instance
	listedAt   time.Duration
	drainingAt time.Duration
	removedAt  time.Duration
	warmupEnd  time.Duration // end of its warm-up
}

// Platform serves the list of workers over HTTP.
type Platform struct {
	options Options
	start   time.Time
	limiter *rate.Limiter
	server  *http.Server
	address string

	mutex     sync.Mutex
	entries   []*entry
	down      bool
	calls     int
	limited   int
	malformed malformedAnswers
}

// Start starts a platform.
func Start(options Options) (*Platform, error) {
	if options.PageSize <= 0 {
		options.PageSize = defaultPageSize
	}
	listener, err := net.Listen("tcp4", options.Address)
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	p := &Platform{options: options, start: time.Now(), address: listener.Addr().String()}
	if options.RatePerS > 0 {
		p.limiter = rate.NewLimiter(rate.Limit(options.RatePerS), max(1, int(options.RatePerS)))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.serveInstances)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// Address returns the host:port that the platform listens on.
func (p *Platform) Address() string { return p.address }

// Close stops the platform and closes its connections.
func (p *Platform) Close() error { return p.server.Close() }

// Shutdown stops the platform after the calls in progress have ended.
func (p *Platform) Shutdown(ctx context.Context) error { return p.server.Shutdown(ctx) }

// Add adds a worker, which is listed after the lag. warmup is the time from now during which it is slow.
func (p *Platform) Add(instance protocol.Instance, warmup time.Duration) {
	p.add(instance, warmup, p.options.Lag)
}

// AddListed adds a worker that is listed at once, as if it had been added before the start.
func (p *Platform) AddListed(instance protocol.Instance) { p.add(instance, 0, 0) }

func (p *Platform) add(instance protocol.Instance, warmup, lag time.Duration) {
	now := time.Since(p.start)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.entries = append(p.entries, &entry{instance: instance, listedAt: now + lag, warmupEnd: now + warmup})
}

// Drain marks a worker as draining, and returns the time until the list shows that.
func (p *Platform) Drain(id string) time.Duration {
	return p.change(id, func(e *entry, shown time.Duration) { e.drainingAt = shown })
}

// Remove removes a worker, and returns the time until the list no longer shows it.
func (p *Platform) Remove(id string) time.Duration {
	return p.change(id, func(e *entry, shown time.Duration) { e.removedAt = shown })
}

func (p *Platform) change(id string, change func(e *entry, shown time.Duration)) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	shown := time.Since(p.start) + p.options.Lag
	for _, e := range p.entries {
		if e.instance.ID == id {
			p.recordDrain(e)
			change(e, shown)
		}
	}
	return p.options.Lag
}

func (p *Platform) recordDrain(e *entry) {
	if p.options.Record == nil || e.drainingAt > 0 || e.removedAt > 0 {
		return
	}
	p.options.Record.Drain(history.Drain{Worker: e.instance.ID, Shown: p.options.Record.Now() + p.options.Lag})
}

// SetDown sets whether the platform answers 503 to all calls.
func (p *Platform) SetDown(down bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.down = down
}

// Calls returns the number of calls, and how many of them were rejected by the rate limit.
func (p *Platform) Calls() (all, limited int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.calls, p.limited
}

func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request) {
	if status := p.admit(); status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	if text := p.drawMalformed(); text != "" {
		writeRaw(w, text)
		return
	}
	query := r.URL.Query()
	page, err := p.page(query.Get("zone"), query.Get("pageToken"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}

func (p *Platform) admit() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calls++
	if p.down {
		return http.StatusServiceUnavailable
	}
	if p.limiter != nil && !p.limiter.Allow() {
		p.limited++
		return http.StatusTooManyRequests
	}
	return http.StatusOK
}

func (p *Platform) page(zone, token string) (protocol.Page, error) {
	offset, err := parseToken(token)
	if err != nil {
		return protocol.Page{}, err
	}
	shown := p.listed(zone)
	page := protocol.Page{Instances: []protocol.Instance{}}
	if offset >= len(shown) {
		return page, nil
	}
	end := min(offset+p.options.PageSize, len(shown))
	page.Instances = shown[offset:end]
	if end < len(shown) {
		next := tokenPrefix + strconv.Itoa(end)
		page.NextToken = &next
	}
	return page, nil
}

func parseToken(token string) (int, error) {
	if token == "" {
		return 0, nil
	}
	figure, found := strings.CutPrefix(token, tokenPrefix)
	offset, err := strconv.Atoi(figure)
	if !found || err != nil || offset < 0 {
		return 0, fmt.Errorf("pageToken %q was not given by this list", token)
	}
	return offset, nil
}

// listed returns the list as it is served now, of one zone or, if that is empty, of all.
func (p *Platform) listed(zone string) []protocol.Instance {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Since(p.start)
	var shown []protocol.Instance
	for _, e := range p.entries {
		if e.listedAt > now || (e.removedAt > 0 && e.removedAt <= now) || (zone != "" && zone != e.instance.Zone) {
			continue
		}
		instance := e.instance
		instance.State = protocol.InstanceReady
		if e.drainingAt > 0 && e.drainingAt <= now {
			instance.State = protocol.InstanceDraining
		}
		instance.WarmupMs = max(0, (e.warmupEnd - now).Milliseconds())
		shown = append(shown, instance)
	}
	return shown
}
