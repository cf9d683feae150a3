package servertable

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"ravendale"
	"ravendale/balancer/deadline"
	"ravendale/balancer/http1"
	"ravendale/balancer/platform"
	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
)

const (
	// answerWithin is the timeout of a call: discovery handles calls one after another, and fails those that wait too long.
	answerWithin = 4 * time.Second
	// watchTimeout is how long a watch may be silent: an empty line arrives every 2 s while nothing changes, and may be late
	// by a second. An update missed by a silent watch counts as delivered 6 s after it fell silent. By then the next watch
	// must be established, after the module's pause (up to 1.5 s) and a call that may have to wait at discovery.
	watchTimeout = 3 * time.Second

	// If lists are pushed, the peer is an agent on this machine, which answers at once and at no cost. As whatever the agent
	// has counts as delivered, a call without an answer is repeated soon. A line may be late by half a second.
	agentAnswers      = time.Second
	agentWatchTimeout = 2500 * time.Millisecond
	// After a failed call to an agent, the next one follows after minRenewal, doubled on each failure up to maxRenewal: an
	// agent is silent while discovery is down, and may itself be down.
	minRenewal, maxRenewal = 50 * time.Millisecond, 400 * time.Millisecond
)

// Options configure a Table.
type Options struct {
	Loop      *scheduler.Loop
	Network   transport.Network
	Discovery string
	// Pushed is set if an agent on this machine delivers the lists without the module's requests. The table then watches the
	// agent from StartPushed on and renews a failed watch itself, without passing the failure to Listed.
	Pushed bool
	Zones  []string
	Kinds  []string
	Listed func(ravendale.ListKind, []ravendale.Entry)
	Log    *slog.Logger
}

// Table is the local copy of discovery's list of backend servers.
type Table struct {
	o       Options
	seq     int64
	known   atomic.Bool
	servers map[string]host // the servers that are not removed, by name
	watch   *watch

	hasFailed  bool               // a watch has failed and none has delivered anything since; logged once
	renewDelay time.Duration      // if lists are pushed: delay after the next failure
	renewal    *deadline.Deadline // if lists are pushed: timer that renews the watch
}

// New returns an empty table.
func New(o Options) *Table { return &Table{o: o, servers: make(map[string]host)} }

// Known reports whether a complete list has been received or recalled. Any goroutine may call it.
func (t *Table) Known() bool { return t.known.Load() }

// Address returns the address of a backend server, "" if it is not listed.
func (t *Table) Address(server string) string { return t.servers[server].Dial }

// List returns the complete current list in discovery's format, as an input for Recall.
func (t *Table) List() ([]byte, error) {
	l := list{Seq: t.seq, Full: true, Hosts: slices.Collect(maps.Values(t.servers))}
	slices.SortFunc(l.Hosts, func(a, b host) int { return strings.Compare(a.Host, b.Host) })
	return json.Marshal(l)
}

// list is a list, or a change of it, in discovery's format.
type list struct {
	Seq   int64  `json:"seq"`
	Full  bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

type host struct {
	Host   string   `json:"host"`
	Dial   string   `json:"dial"`
	Site   string   `json:"site"`
	Class  string   `json:"class"`
	Block  *int     `json:"block"`
	Health string   `json:"health"`
	Share  *float64 `json:"share"`
	BornMs int64    `json:"born_ms"`
}

// Recall loads a list that was saved earlier; it must be called before any watch.
func (t *Table) Recall(text []byte) error {
	if len(text) == 0 || string(text) == "null" {
		t.o.Listed(ravendale.Cached, nil)
		return nil
	}
	if err := t.take(text, true); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	return nil
}

// take applies one object from discovery, or a saved list.
func (t *Table) take(text []byte, cached bool) error {
	var l list
	if err := json.Unmarshal(text, &l); err != nil {
		return err
	}
	for i := range l.Hosts { // validates the whole list before any of it is applied
		if l.Hosts[i].Host == "" {
			return fmt.Errorf("entry %d of the server list has no host name", i)
		}
	}
	kind := ravendale.Delta
	switch {
	case cached:
		kind = ravendale.Cached
	case l.Full:
		kind = ravendale.Full
	}
	t.seq = l.Seq
	if kind != ravendale.Delta {
		t.known.Store(true)
	}
	entries := t.update(&l, l.Full && !cached)
	t.logList(kind, entries)
	t.o.Listed(kind, entries)
	return nil
}

// update applies a list to the table, and returns the entries for the module. If removes is set, for a complete list from
// discovery, servers missing from it are removed; their entries are added, as the module may have dispatches in flight to them.
func (t *Table) update(l *list, removes bool) []ravendale.Entry {
	entries := make([]ravendale.Entry, 0, len(l.Hosts))
	listed := make(map[string]bool, len(l.Hosts))
	for i := range l.Hosts {
		h := &l.Hosts[i]
		listed[h.Host] = true
		e := t.entry(h)
		if e.State == ravendale.Removed {
			delete(t.servers, h.Host)
		} else {
			h.Dial = cmp.Or(h.Dial, t.servers[h.Host].Dial)
			t.servers[h.Host] = *h
		}
		entries = append(entries, e)
	}
	if removes {
		for name := range t.servers {
			if !listed[name] {
				delete(t.servers, name)
				entries = append(entries, ravendale.Entry{Worker: name, Zone: -1, Kind: -1, Cell: -1, State: ravendale.Removed})
			}
		}
	}
	return entries
}

func (t *Table) logList(kind ravendale.ListKind, entries []ravendale.Entry) {
	if !t.o.Log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	t.o.Log.Debug("list", "change", kind, "entries", len(entries))
	for i := range entries {
		change := "joins"
		if entries[i].State != ravendale.Ready {
			change = "leaves"
		}
		t.o.Log.Debug(change, "server", entries[i].Worker)
	}
}

func (t *Table) entry(h *host) ravendale.Entry {
	e := ravendale.Entry{Worker: h.Host, Zone: index(t.o.Zones, h.Site), Kind: index(t.o.Kinds, h.Class), Cell: -1,
		Weight: 1, State: ravendale.Ready, StartedAt: time.Duration(h.BornMs) * time.Millisecond}
	if h.Block != nil {
		e.Cell = *h.Block
	}
	if h.Share != nil {
		e.Weight = *h.Share
	}
	switch h.Health {
	case "in_service":
	case "terminated":
		e.State = ravendale.Removed
	default: // "terminating", or an unknown state, which does not allow new dispatches
		e.State = ravendale.Draining
	}
	return e
}

func index(names []string, name string) int {
	for i := range names {
		if names[i] == name {
			return i
		}
	}
	return -1
}

// watch is one call to discovery, and the stream that answers it.
type watch struct {
	t       *Table
	net     transport.Conn
	in      http1.Responses
	hasHead bool // the head of the response has arrived
	hasData bool // an object or an empty line has arrived
	list    stream
	timer   *deadline.Deadline
}

// Watch requests the changes since the current version from discovery. It does nothing if there is a watch already.
func (t *Table) Watch() {
	if t.watch != nil {
		return
	}
	t.o.Log.Debug("watch asked", "seq", t.seq)
	t.o.Loop.Deadlines.Drop(t.renewal)
	t.renewal = nil
	w := &watch{t: t}
	t.watch = w
	w.expect(t.within(answerWithin, agentAnswers))
	w.net = t.o.Network.Dial(t.o.Discovery, w)
}

// StartPushed opens the first watch if lists are pushed, as the module does not request one then: see Options.Pushed.
func (t *Table) StartPushed() {
	if t.o.Pushed {
		t.renewDelay = minRenewal
		t.Watch()
	}
}

// renew schedules the next watch on an agent.
func (t *Table) renew() {
	t.renewal = t.o.Loop.After(t.renewDelay, t.Watch)
	t.renewDelay = min(2*t.renewDelay, maxRenewal)
}

// within returns the timeout that applies: requested if the module requests the lists, pushed if they are pushed.
func (t *Table) within(requested, pushed time.Duration) time.Duration {
	if t.o.Pushed {
		return pushed
	}
	return requested
}

// Seq returns the version of the current list, 0 if there is none.
func (t *Table) Seq() int64 { return t.seq }

// Discovery returns the address from which the list is read.
func (t *Table) Discovery() string { return t.o.Discovery }

// SetDiscovery sets the address from which the list is read; it must be called before the first watch.
func (t *Table) SetDiscovery(discovery string) { t.o.Discovery = discovery }

// Follow switches to another discovery address. The watch on the old address is closed at once without counting as a failure:
// the pause after a failure could outlast the time after which an update counts as delivered. The current list stays in
// use until the new service responds. The new service is asked for the complete list, since each service counts versions
// on its own.
func (t *Table) Follow(discovery string) {
	if discovery == t.o.Discovery {
		return
	}
	t.o.Discovery, t.seq, t.renewDelay = discovery, 0, minRenewal
	if w := t.watch; w != nil {
		t.watch = nil
		t.o.Loop.Deadlines.Drop(w.timer)
		w.net.Close()
	}
	t.o.Listed(ravendale.Delta, nil) // resets the module's count of failures, which belong to the old service and must not delay the next call
	t.Watch()
}

// expect fails the watch unless data arrives in time: a service behind a network failure is silent.
func (w *watch) expect(within time.Duration) {
	w.t.o.Loop.Deadlines.Drop(w.timer)
	w.timer = w.t.o.Loop.After(within, func() { w.fail("no data within the timeout") })
}

func (w *watch) Connected() {
	target := platform.PathList + "?stream=1&index=" + strconv.FormatInt(w.t.seq, 10)
	w.net.Write(http1.AppendRequest(nil, "GET", target, w.t.o.Discovery, nil, nil))
}

func (w *watch) Data(b []byte) {
	if w.t.watch != w {
		return
	}
	w.in.Feed(b)
	if !w.hasHead {
		head, err := w.in.Head()
		if err != nil || head != nil && head.Status != 200 {
			w.fail("response is malformed or its status is not 200")
			return
		}
		if head == nil {
			return
		}
		w.hasHead = true
		w.expect(w.t.within(watchTimeout, agentWatchTimeout))
	}
	chunk, complete, err := w.in.Read()
	if err != nil {
		w.fail(err.Error())
		return
	}
	w.list.feed(chunk)
	w.take()
	if complete && w.t.watch == w {
		w.fail("discovery ended the response")
	}
}

// take processes the complete objects and empty lines of the stream. Only these restart the timeout: an object that never ends
// must not keep the watch alive.
func (w *watch) take() {
	for w.t.watch == w {
		object, blank, err := w.list.next()
		if err == nil && object != nil {
			err = w.t.take(object, false)
		}
		switch {
		case err != nil:
			w.fail(err.Error())
			return
		case object == nil && !blank:
			return
		case w.t.watch != w: // Options.Listed has switched the watch
			return
		case blank && !w.hasData:
			w.t.o.Listed(ravendale.Delta, nil) // nothing has changed, which also counts as a successful answer
		}
		w.hasData, w.t.hasFailed, w.t.renewDelay = true, false, minRenewal
		w.expect(w.t.within(watchTimeout, agentWatchTimeout))
	}
}

// fail ends the watch. The module decides when to watch again. If lists are pushed, the table itself renews the watch, and only the
// first failure in a row is logged.
func (w *watch) fail(why string) {
	if w.t.watch != w {
		return
	}
	w.t.watch = nil
	w.t.o.Loop.Deadlines.Drop(w.timer)
	if w.net != nil {
		w.net.Close()
	}
	if !w.t.hasFailed || !w.t.o.Pushed {
		w.t.o.Log.Info("watch ended", "why", why, "answered", w.hasHead, "discovery", w.t.o.Discovery)
	}
	w.t.hasFailed = true
	if w.t.o.Pushed {
		w.t.renew()
		return
	}
	w.t.o.Listed(ravendale.ListFailed, nil)
}

func (w *watch) Closed(err error) { w.fail(fmt.Sprintf("connection closed: %v", err)) }
