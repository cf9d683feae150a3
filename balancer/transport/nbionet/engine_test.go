package nbionet

import (
	"bytes"
	"io"
	"log/slog"
	"testing"
	"time"

	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
)

// owner is a running loop, which owns the engine's state.
type owner struct{ *scheduler.Loop }

// testHandler passes the events of one connection to channels.
type testHandler struct {
	conn      transport.Conn
	connected chan struct{}
	data      chan []byte
	closed    chan error
}

func newTestHandler() *testHandler {
	return &testHandler{connected: make(chan struct{}, 1), data: make(chan []byte, 64), closed: make(chan error, 1)}
}

func (e *testHandler) Connected() { e.connected <- struct{}{} }

func (e *testHandler) Data(b []byte) { e.data <- bytes.Clone(b) }

func (e *testHandler) Closed(err error) { e.closed <- err }

// startEngine starts an engine that listens on loopback and sends accepted connections to the returned channel.
func startEngine(t *testing.T) (*Engine, owner, chan *testHandler) {
	t.Helper()
	o, accepted := owner{scheduler.NewLoop(scheduler.SystemClock())}, make(chan *testHandler, 8)
	e := New(Options{Loop: o, ConnectTimeout: 5 * time.Second, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	ln, err := Listen("127.0.0.1:0", 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	e.Serve(ln, 4, func(c transport.Conn) transport.Handler {
		n := newTestHandler()
		n.conn = c
		accepted <- n
		return n
	})
	stop := make(chan struct{})
	go o.Run(stop)
	t.Cleanup(func() { e.Close(); close(stop) })
	return e, o, accepted
}

// run runs f in a turn of the owner and waits for it.
func (o owner) run(f func()) {
	done := make(chan struct{})
	o.Post(func() { f(); close(done) })
	<-done
}
