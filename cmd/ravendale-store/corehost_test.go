package main

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/settings"
	"ravendale/test/diskfolder"
)

const (
	waitTimeout = 20 * time.Second
	pollEvery   = 10 * time.Millisecond
)

// logBuffer collects log output and is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(data)
}

func (l *logBuffer) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Contains(l.text.Bytes(), []byte(text))
}

func newStoreSettings(t *testing.T) *settings.Settings {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	port := listener.Addr().(*net.TCPAddr).Port
	return &settings.Settings{
		Node: "store", IP: "127.0.6.10", Zone: "z", Zones: map[string]string{"z": "r"}, PortRange: []int{port, port + 3},
		Seeds: []string{"127.0.6.99:1"}, DataDir: diskfolder.New(t), ToleratedNodes: 1, HeartbeatMs: 1000, ProviderRate: 1,
	}
}

// startCoreHost runs a core host until the returned function is called or the test ends.
func startCoreHost(t *testing.T, s *settings.Settings, log *logBuffer) (ctx context.Context, h *coreHost, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	h = newCoreHost(s, slog.New(slog.NewTextHandler(log, nil)))
	h.run(ctx)
	stop = func() {
		cancel()
		h.wait()
	}
	t.Cleanup(stop)
	return ctx, h, stop
}

func isListening(s *settings.Settings) bool {
	conn, err := net.Dial("tcp4", s.ControlAddress(s.IP))
	if err == nil {
		_ = conn.Close()
	}
	return err == nil
}

func TestCoreMemberStartsOnRequest(t *testing.T) {
	s, log := newStoreSettings(t), &logBuffer{}
	ctx, h, stop := startCoreHost(t, s, log)
	require.False(t, isListening(s))
	entries, err := os.ReadDir(s.DataDir)
	require.NoError(t, err)
	require.Empty(t, entries, "no folder is created before the first request")
	h.applyRequest(ctx, false)
	h.applyRequest(ctx, true)
	h.applyRequest(ctx, true)
	require.Eventually(t, func() bool { return isListening(s) }, waitTimeout, pollEvery)
	stop()
	require.False(t, isListening(s))
	h.applyRequest(ctx, true)
	require.False(t, isListening(s), "a request after the end of the context is ignored")

	startCoreHost(t, s, log)
	require.Eventually(t, func() bool { return isListening(s) }, waitTimeout, pollEvery, "after a restart the member starts without a request")
}

func TestFailedCoreMemberIsRestarted(t *testing.T) {
	s, log := newStoreSettings(t), &logBuffer{}
	blocked := filepath.Join(s.DataDir, coreFolder)
	require.NoError(t, os.WriteFile(blocked, []byte("no folder"), 0o600))
	startCoreHost(t, s, log)
	require.Eventually(t, func() bool { return log.contains("core member hosted by this store failed") }, waitTimeout, pollEvery)
	require.NoError(t, os.Remove(blocked))
	require.Eventually(t, func() bool { return isListening(s) }, waitTimeout, pollEvery)
}
