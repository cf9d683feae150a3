package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/program"
	"ravendale/cluster/settings"
)

// freePort returns a port that was free at the time of the call.
func freePort(t *testing.T) int {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().(*net.TCPAddr).Port
}

// testSettings returns the settings of a control process that bootstraps a system.
func testSettings(t *testing.T) *settings.Settings {
	const ip = "127.0.8.10"
	port := freePort(t)
	s := &settings.Settings{
		Node: "control-1", IP: ip, Zone: "a", Zones: map[string]string{"a": "r"}, PortRange: []int{port, port + 3},
		Seeds: []string{ip + ":1"}, Bootstrap: true, DataDir: t.TempDir(), HeartbeatMs: 1000,
		Bounds: settings.Bounds{CatchupS: 5, DrainMs: 3000}, ProviderRate: 1,
	}
	admin := freePort(t)
	s.ListenAdmin = (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: admin}).String()
	return s
}

func TestRunServesUntilContextEnds(t *testing.T) {
	s := testSettings(t)
	c, err := newControlProcess(program.Environment{Settings: s, Path: filepath.Join(t.TempDir(), "settings.json"), Log: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)

	ctx, cancel := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- c.run(ctx) }()
	ready := func() bool {
		response, err := http.Get("http://" + s.ListenAdmin + "/v1/readyz")
		if err != nil {
			return false
		}
		return response.Body.Close() == nil && response.StatusCode == http.StatusOK
	}
	require.Eventually(t, ready, 20*time.Second, 10*time.Millisecond)
	cancel()
	select {
	case err := <-runErr:
		require.NoError(t, err)
	case <-time.After(20 * time.Second):
		t.Fatal("run has not returned after the end of its context")
	}
	require.False(t, ready(), "the admin address is free again")
}

func TestRunFailsWhenRPCAddressInUse(t *testing.T) {
	s := testSettings(t)
	occupied, err := net.Listen("tcp4", s.ControlAddress(s.IP))
	require.NoError(t, err)
	t.Cleanup(func() { _ = occupied.Close() })
	c, err := newControlProcess(program.Environment{Settings: s, Path: filepath.Join(t.TempDir(), "settings.json"), Log: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	require.ErrorIs(t, c.run(t.Context()), syscall.EADDRINUSE)
}
