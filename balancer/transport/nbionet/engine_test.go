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

// owner is a loop that runs.
type owner struct{ *scheduler.Loop }

// end hands on what happens to one connection.
type end struct {
	net       transport.Conn
	connected chan struct{}
	data      chan []byte
	closed    chan error
}

func newEnd() *end {
	return &end{connected: make(chan struct{}, 1), data: make(chan []byte, 64), closed: make(chan error, 1)}
}

func (e *end) Connected() { e.connected <- struct{}{} }

func (e *end) Data(b []byte) { e.data <- bytes.Clone(b) }

func (e *end) Closed(err error) { e.closed <- err }

// start serves on loopback: what is accepted goes to the channel.
func start(t *testing.T) (*Engine, owner, chan *end) {
	t.Helper()
	o, accepted := owner{scheduler.NewLoop(scheduler.SystemClock())}, make(chan *end, 8)
	e := New(Options{Loop: o, ConnectTimeout: 5 * time.Second, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	ln, err := Listen("127.0.0.1:0", 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	e.Serve(ln, 4, func(c transport.Conn) transport.Handler {
		n := newEnd()
		n.net = c
		accepted <- n
		return n
	})
	stop := make(chan struct{})
	go o.Run(stop)
	t.Cleanup(func() { e.Close(); close(stop) })
	return e, o, accepted
}

// on runs f as the owner and waits for it.
func (o owner) on(f func()) {
	done := make(chan struct{})
	o.Post(func() { f(); close(done) })
	<-done
}
