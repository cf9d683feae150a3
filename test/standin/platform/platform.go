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

// Options of a platform.
type Options struct {
	Address  string        // host:port to listen on; port 0 takes a free one
	PageSize int           // entries a page; 0: defaultPageSize
	RatePerS float64       // calls accepted a second; 0: no limit
	Lag      time.Duration // how far the list trails
	Record   *history.Recorder
}

const defaultPageSize = 50

// tokenPrefix begins the tokens of pages.
const tokenPrefix = "p-"

// entry is a worker with the times, since the platform's start, of its changes. Zero: not yet.
type entry struct {
	instance protocol.Instance
	shown    time.Duration
	draining time.Duration
	gone     time.Duration
	warm     time.Duration // when its warm-up ends
}

// Platform serves the list.
type Platform struct {
	options Options
	start   time.Time
	limiter *rate.Limiter
	server  *http.Server
	address string

	mutex   sync.Mutex
	entries []*entry
	down    bool
	calls   int
	limited int
}

// Start listens and serves.
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

// Address is where the platform listens.
func (p *Platform) Address() string { return p.address }

// Close ends the platform and its connections.
func (p *Platform) Close() error { return p.server.Close() }

// Shutdown lets calls under way end first.
func (p *Platform) Shutdown(ctx context.Context) error { return p.server.Shutdown(ctx) }

// Add puts a worker on the list; it is seen after the lag. Warmup is the time for which it is slow.
func (p *Platform) Add(instance protocol.Instance, warmup time.Duration) {
	p.add(instance, warmup, p.options.Lag)
}

// AddShown puts a worker on the list at once, as one that was there before.
func (p *Platform) AddShown(instance protocol.Instance) { p.add(instance, 0, 0) }

func (p *Platform) add(instance protocol.Instance, warmup, lag time.Duration) {
	now := time.Since(p.start)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.entries = append(p.entries, &entry{instance: instance, shown: now + lag, warm: now + warmup})
}

// Drain marks a worker as draining, and returns the time until the list shows it.
func (p *Platform) Drain(id string) time.Duration {
	return p.change(id, func(e *entry, shown time.Duration) { e.draining = shown })
}

// Remove takes a worker off the list, and returns the time until the list no longer shows it.
func (p *Platform) Remove(id string) time.Duration {
	return p.change(id, func(e *entry, shown time.Duration) { e.gone = shown })
}

func (p *Platform) change(id string, change func(e *entry, shown time.Duration)) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	shown := time.Since(p.start) + p.options.Lag
	for _, e := range p.entries {
		if e.instance.ID == id {
			p.record(e)
			change(e, shown)
		}
	}
	return p.options.Lag
}

func (p *Platform) record(e *entry) {
	if p.options.Record == nil || e.draining > 0 || e.gone > 0 {
		return
	}
	p.options.Record.Drain(history.Drain{Worker: e.instance.ID, Shown: p.options.Record.Now() + p.options.Lag})
}

// SetDown makes the platform answer 503 to all calls, or ends that.
func (p *Platform) SetDown(down bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.down = down
}

// Calls is how many calls were made, and how many of them were over the rate.
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
	shown := p.shown(zone)
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

// shown is the list as it is shown now.
func (p *Platform) shown(zone string) []protocol.Instance {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Since(p.start)
	var shown []protocol.Instance
	for _, e := range p.entries {
		if e.shown > now || (e.gone > 0 && e.gone <= now) || (zone != "" && zone != e.instance.Zone) {
			continue
		}
		instance := e.instance
		instance.State = protocol.InstanceReady
		if e.draining > 0 && e.draining <= now {
			instance.State = protocol.InstanceDraining
		}
		instance.WarmupMs = max(0, (e.warm - now).Milliseconds())
		shown = append(shown, instance)
	}
	return shown
}
