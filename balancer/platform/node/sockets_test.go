package node

import (
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ravendale/balancer/handover"
	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
	"ravendale/balancer/transport/nbionet"
)

// A socket file that a crashed process left at the handover path must not prevent a start: dialling it fails, and a new listener
// replaces it. The test sends messages over a real Unix socket.
func TestStartWithStaleSocket(t *testing.T) {
	for name, folder := range map[string]string{"usual": "a", "path longer than the limit of the system": strings.Repeat("b", 120)} {
		t.Run(name, func(t *testing.T) { testStaleSocket(t, filepath.Join(t.TempDir(), folder)) })
	}
}

func testStaleSocket(t *testing.T, folder string) {
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(folder, "s")
	stale, err := nbionet.ListenUnix(path)
	if err != nil {
		t.Fatal(err)
	}
	_ = stale.Close()
	loop, stop := scheduler.NewLoop(scheduler.SystemClock()), make(chan struct{})
	s := &sockets{Engine: nbionet.New(nbionet.Options{Loop: loop, ConnectTimeout: 5e9, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	go loop.Run(stop)
	defer func() { s.Close(); close(stop) }()
	lost, heard := make(chan error, 2), make(chan handover.Message, 2)
	dial := func() {
		handover.Dial(s, path, func(l *handover.Link) { l.Send(handover.Message{Hello: true}) },
			func(_ *handover.Link, m handover.Message) { heard <- m }, func(_ *handover.Link, err error) { lost <- err })
	}
	loop.Post(dial)
	if err := <-lost; err == nil {
		t.Fatal("dialling the stale socket succeeded")
	}
	err = s.Successors(path, func(c transport.Conn) transport.Handler {
		return handover.Accept(c, func(l *handover.Link, m handover.Message) { l.Send(handover.Message{Took: "a", Hello: m.Hello}) },
			func(*handover.Link, error) {})
	})
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Fatalf("the socket has mode %v, error %v", info.Mode(), err)
	}
	loop.Post(dial)
	if m := <-heard; m.Took != "a" || !m.Hello {
		t.Fatalf("received %+v", m)
	}
}
