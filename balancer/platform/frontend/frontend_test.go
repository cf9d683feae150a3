package frontend

import (
	"log/slog"
	"testing"
	"time"

	"ravendale/balancer/scheduler"
)

// discardConn is a connection that discards what is written to it, and counts the bytes.
type discardConn struct{ written int }

func (n *discardConn) Write(b []byte) { n.written += len(b) }
func (n *discardConn) Ignore()        {}
func (n *discardConn) Finish()        {}
func (n *discardConn) Close()         {}
func (n *discardConn) Unwritten() int { return 0 }
func (n *discardConn) Peer() string   { return "" }

// If the scheduler runs on another loop, its answer may arrive after the connection was closed. It must not be written, nor add the
// closed connection to the idle ones, where it would stay for ever.
func TestAnswerAfterConnectionEndDropped(t *testing.T) {
	var taken *scheduler.Exchange
	loop := scheduler.NewLoop(func() time.Duration { return 0 })
	room := &ConnLimits{}
	room.Limit(64)
	f := New(Options{Loop: loop, Limits: room, Accept: func(ex *scheduler.Exchange) { taken = ex },
		Class: func(string) int { return 0 }, Tenant: func(string) int { return -1 },
		Deadline: func(int) time.Duration { return 0 }, Keyed: func(int) bool { return false }, Log: slog.New(slog.DiscardHandler)})
	for _, late := range []func(){func() { taken.Answer(scheduler.Answer{}) }, func() { taken.Repeated() }} {
		n := &discardConn{}
		c := f.Opened(n)
		c.Data([]byte("POST / HTTP/1.1\r\nX-Txn: 0123456789abcdef\r\nX-Lane: a\r\nX-Remaining-Ms: 9\r\n\r\n"))
		if taken == nil || room.active.Load() != 1 {
			t.Fatal("the request was not accepted")
		}
		taken.Relay = func(func()) {} // the scheduler has not received ClientLeft yet
		c.Closed(nil)
		late()
		if len(f.idle) > 0 || len(f.conns) > 0 || n.written > 0 || room.Open() != 0 || room.active.Load() != 0 {
			t.Errorf("%d idle, %d open (%d in all), %d bytes written", len(f.idle), len(f.conns), room.Open(), n.written)
		}
	}
}

// slowPeer is a connection whose peer reads the response slowly.
type slowPeer struct {
	discardConn
	left   int
	closed bool
}

func (r *slowPeer) Unwritten() int { return r.left }
func (r *slowPeer) Close()         { r.closed = true }

// A client that is still reading the last response keeps its connection until it has read it, and then has LingerFor to close.
func TestSlowReaderNotDisconnected(t *testing.T) {
	var now time.Duration
	loop := scheduler.NewLoop(func() time.Duration { return now })
	room := &ConnLimits{}
	room.Limit(64)
	f := New(Options{Loop: loop, Limits: room, Log: slog.New(slog.DiscardHandler)})
	r := &slowPeer{left: 3}
	f.Opened(r).Data([]byte("GET /nowhere HTTP/1.1\r\n\r\n"))
	for r.left > 0 {
		r.left--
		now += LingerFor
		if loop.Turn(); r.closed || !f.Finishing() {
			t.Fatalf("connection closed with %d bytes unread", r.left)
		}
	}
	now += LingerFor
	if loop.Turn(); !r.closed || f.Finishing() || room.Open() != 0 {
		t.Errorf("closed: %v, finishing: %v, %d open", r.closed, f.Finishing(), room.Open())
	}
}
