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

// freePort is a port that nobody listened on just now.
func freePort(t *testing.T) int {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().(*net.TCPAddr).Port
}

// testSettings are those of a control process that starts a system of its own.
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

func TestRunServesUntilItsContextEndsAndLeavesNothingBehind(t *testing.T) {
	s := testSettings(t)
	c, err := newControl(program.Environment{Settings: s, Path: filepath.Join(t.TempDir(), "settings.json"), Log: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)

	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- c.run(ctx) }()
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
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(20 * time.Second):
		t.Fatal("run goes on after its context has ended")
	}
	require.False(t, ready(), "its addresses are free again")
}

func TestRunFailsWhereItCannotListenForOtherProcesses(t *testing.T) {
	s := testSettings(t)
	taken, err := net.Listen("tcp4", s.ControlAddress(s.IP))
	require.NoError(t, err)
	t.Cleanup(func() { _ = taken.Close() })
	c, err := newControl(program.Environment{Settings: s, Path: filepath.Join(t.TempDir(), "settings.json"), Log: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	require.ErrorIs(t, c.run(t.Context()), syscall.EADDRINUSE)
}
