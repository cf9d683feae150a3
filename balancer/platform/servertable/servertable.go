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
	// answerWithin bounds a call: discovery takes calls in turn, and one that waits too long fails there too.
	answerWithin = 4 * time.Second
	// watchTimeout is how long a watch may give no sign of life: an empty line comes every 2 s while nothing changes, and is
	// missed by a second. What a silent watch misses counts as delivered 6 s after it fell silent. By then the next has to be there:
	// the module's pause (up to 1.5 s), and a call that may have to wait its turn.
	watchTimeout = 3 * time.Second

	// Where lists are pushed the other side is an agent on this machine, which answers at once and at no cost: a call
	// that gives nothing is made anew soon, since whatever the agent has counts as delivered. A line is missed by half a second.
	agentAnswers      = time.Second
	agentWatchTimeout = 2500 * time.Millisecond
	// A call to an agent that failed is followed by the next after renewLeast, doubled up to renewMost: an agent is
	// silent while discovery is down, and may be away itself.
	renewLeast, renewMost = 50 * time.Millisecond, 400 * time.Millisecond
)

// Options say what a table works with.
type Options struct {
	Loop      *scheduler.Loop
	Network   transport.Network
	Discovery string
	// Pushed says that the lists come without being asked for, by an agent on this machine. The table then holds a
	// watch on it from Keep on, and renews it by itself; whoever hears of the list is not told of a watch that failed.
	Pushed bool
	Zones  []string
	Kinds  []string
	Listed func(ravendale.ListKind, []ravendale.Entry)
	Log    *slog.Logger
}

// Table is the server table.
type Table struct {
	o       Options
	seq     int64
	known   atomic.Bool
	servers map[string]host // those that have not gone, by name
	watch   *watch

	failing bool               // no watch has given a sign of life since one failed: said once
	again   time.Duration      // where lists are pushed: the pause after the next failure,
	renewal *deadline.Deadline // and when the watch is renewed
}

// New returns an empty table.
func New(o Options) *Table { return &Table{o: o, servers: make(map[string]host)} }

// Known says whether a list has come; other goroutines may ask.
func (t *Table) Known() bool { return t.known.Load() }

// Address is where a backend server listens, "" if it is not listed.
func (t *Table) Address(server string) string { return t.servers[server].Dial }

// List returns the whole list as it stands, in discovery's form, for Recall.
func (t *Table) List() ([]byte, error) {
	l := list{Seq: t.seq, Full: true, Hosts: slices.Collect(maps.Values(t.servers))}
	slices.SortFunc(l.Hosts, func(a, b host) int { return strings.Compare(a.Host, b.Host) })
	return json.Marshal(l)
}

// list is discovery's form of a list.
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

// Recall takes the list as it was last held, before anything else.
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

// take reads one object.
func (t *Table) take(text []byte, cached bool) error {
	var l list
	if err := json.Unmarshal(text, &l); err != nil {
		return err
	}
	for i := range l.Hosts { // before anything is taken: half a list is none
		if l.Hosts[i].Host == "" {
			return fmt.Errorf("entry %d names no host", i)
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

// update brings the table up to a list, and returns what the module is to hear. Of a complete list, unless it is the one that was last
// held, a server that it lacks was removed, which whoever holds a dispatch to it must hear.
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
	default: // terminating, or a word that promises nothing
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
	t     *Table
	net   transport.Conn
	in    http1.Responses
	begun bool // its head has come
	heard bool // and something behind it
	list  stream
	timer *deadline.Deadline
}

// Watch asks discovery for the changes from the version held on. A watch that still stands is kept.
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

// Keep opens the watch where lists are pushed: nobody asks for one there. See Options.Pushed.
func (t *Table) Keep() {
	if t.o.Pushed {
		t.again = renewLeast
		t.Watch()
	}
}

// renew opens the next watch on an agent soon.
func (t *Table) renew() {
	t.renewal = t.o.Loop.After(t.again, t.Watch)
	t.again = min(2*t.again, renewMost)
}

// within is one of two times: where lists are asked for, and where they are pushed.
func (t *Table) within(requested, pushed time.Duration) time.Duration {
	if t.o.Pushed {
		return pushed
	}
	return requested
}

// Seq is the version of the list that is held, 0 for none.
func (t *Table) Seq() int64 { return t.seq }

// Discovery is where the list comes from.
func (t *Table) Discovery() string { return t.o.Discovery }

// Move sets where the list comes from, before the first call.
func (t *Table) Move(discovery string) { t.o.Discovery = discovery }

// Follow has the list come from another address from now on. The watch on the old one is not waited for, and its end
// is no failure: a pause before the new call could outlast the time after which an update counts as delivered.
// The list held stands until the new service speaks. It is asked for the whole list, since versions are one
// service's own count.
func (t *Table) Follow(discovery string) {
	if discovery == t.o.Discovery {
		return
	}
	t.o.Discovery, t.seq, t.again = discovery, 0, renewLeast
	if w := t.watch; w != nil {
		t.watch = nil
		t.o.Loop.Deadlines.Drop(w.timer)
		w.net.Close()
	}
	t.o.Listed(ravendale.Delta, nil) // earlier failures were another service's: they must not delay the next call
	t.Watch()
}

// expect fails the watch unless something comes in time: a service that was cut off says nothing.
func (w *watch) expect(within time.Duration) {
	w.t.o.Loop.Deadlines.Drop(w.timer)
	w.timer = w.t.o.Loop.After(within, func() { w.fail("silent") })
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
	if !w.begun {
		head, err := w.in.Head()
		if err != nil || head != nil && head.Status != 200 {
			w.fail("not answered with 200")
			return
		}
		if head == nil {
			return
		}
		w.begun = true
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
		w.fail("ended")
	}
}

// take takes what is whole of the stream. Only that is a sign of life: an object that never ends keeps no watch.
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
		case w.t.watch != w: // whoever heard of the list has moved it
			return
		case blank && !w.heard:
			w.t.o.Listed(ravendale.Delta, nil) // nothing has changed: that is an answer too
		}
		w.heard, w.t.failing, w.t.again = true, false, renewLeast
		w.expect(w.t.within(watchTimeout, agentWatchTimeout))
	}
}

// fail ends the watch. When to ask again is for the module to say, but where lists are pushed: there nobody asks, and
// only the first failure of a row is news.
func (w *watch) fail(why string) {
	if w.t.watch != w {
		return
	}
	w.t.watch = nil
	w.t.o.Loop.Deadlines.Drop(w.timer)
	if w.net != nil {
		w.net.Close()
	}
	if !w.t.failing || !w.t.o.Pushed {
		w.t.o.Log.Info("watch ended", "why", why, "answered", w.begun, "discovery", w.t.o.Discovery)
	}
	w.t.failing = true
	if w.t.o.Pushed {
		w.t.renew()
		return
	}
	w.t.o.Listed(ravendale.Failed, nil)
}

func (w *watch) Closed(err error) { w.fail(fmt.Sprintf("closed: %v", err)) }
