package frontend

import (
	"log/slog"
	"testing"
	"time"

	"ravendale/balancer/scheduler"
)

// nowhere is a connection whose bytes go nowhere.
type nowhere struct{ written int }

func (n *nowhere) Write(b []byte) { n.written += len(b) }
func (n *nowhere) Ignore()        {}
func (n *nowhere) Finish()        {}
func (n *nowhere) Close()         {}
func (n *nowhere) Unwritten() int { return 0 }
func (n *nowhere) Peer() string   { return "" }

// Where the scheduler has another loop, its answer may come after the connection has ended: it must not put the dead
// connection among the idle ones, which would hold it for ever, nor be written.
func TestAnAnswerAfterTheEndOfItsConnectionIsDropped(t *testing.T) {
	var taken *scheduler.Exchange
	loop := scheduler.NewLoop(func() time.Duration { return 0 })
	room := &ConnLimits{}
	room.Limit(64)
	f := New(Options{Loop: loop, Limits: room, Accept: func(ex *scheduler.Exchange) { taken = ex },
		Class: func(string) int { return 0 }, Tenant: func(string) int { return -1 },
		Deadline: func(int) time.Duration { return 0 }, Keyed: func(int) bool { return false }, Log: slog.New(slog.DiscardHandler)})
	for _, late := range []func(){func() { taken.Answer(scheduler.Answer{}) }, func() { taken.Repeated() }} {
		n := &nowhere{}
		c := f.Opened(n)
		c.Data([]byte("POST / HTTP/1.1\r\nX-Txn: 0123456789abcdef\r\nX-Lane: a\r\nX-Remaining-Ms: 9\r\n\r\n"))
		if taken == nil || room.active.Load() != 1 {
			t.Fatal("the request was not taken")
		}
		taken.Relay = func(func()) {} // what Left tells is on its way
		c.Closed(nil)
		late()
		if len(f.idle) > 0 || len(f.conns) > 0 || n.written > 0 || room.Open() != 0 || room.active.Load() != 0 {
			t.Errorf("%d idle, %d open (%d in all), %d bytes written", len(f.idle), len(f.conns), room.Open(), n.written)
		}
	}
}

// reader is a connection whose other side takes what was written bit by bit.
type reader struct {
	nowhere
	left   int
	closed bool
}

func (r *reader) Unwritten() int { return r.left }
func (r *reader) Close()         { r.closed = true }

// Who still takes the last answer keeps its connection for as long as that takes, and then has LingerFor to close.
func TestASlowReaderIsNotDisconnected(t *testing.T) {
	var now time.Duration
	loop := scheduler.NewLoop(func() time.Duration { return now })
	room := &ConnLimits{}
	room.Limit(64)
	f := New(Options{Loop: loop, Limits: room, Log: slog.New(slog.DiscardHandler)})
	r := &reader{left: 3}
	f.Opened(r).Data([]byte("GET /nowhere HTTP/1.1\r\n\r\n"))
	for r.left > 0 {
		r.left--
		now += LingerFor
		if loop.Turn(); r.closed || !f.Finishing() {
			t.Fatalf("closed with %d bytes left", r.left)
		}
	}
	now += LingerFor
	if loop.Turn(); !r.closed || f.Finishing() || room.Open() != 0 {
		t.Errorf("closed: %v, finishing: %v, %d open", r.closed, f.Finishing(), room.Open())
	}
}
