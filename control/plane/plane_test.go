package plane

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/settings"
	"ravendale/cluster/wire"
	"ravendale/control/core"
	"ravendale/control/leader"
	"ravendale/control/state"
	"ravendale/test/diskfolder"
)

const (
	timeout      = 20 * time.Second
	pollInterval = 10 * time.Millisecond
)

// site is a group of control processes, of which the first three are the seeds, and of stores with a plane each.
type site struct {
	*testing.T
	port      int
	tolerated int // machines that may fail at once
	seeds     []string
	controls  []*Plane
	stores    []*Plane
}

func newSite(t *testing.T) *site {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	s := &site{T: t, port: listener.Addr().(*net.TCPAddr).Port, tolerated: 1}
	for i := range 3 {
		s.seeds = append(s.seeds, controlIP(i)+":1")
	}
	return s
}

func controlIP(i int) string { return fmt.Sprintf("127.0.5.%d", i+10) }

func storeIP(i int) string { return fmt.Sprintf("127.0.5.%d", i+50) }

func (s *site) open(ip, dataDir string, storage bool) *Plane {
	s.Helper()
	opened, err := Open(Config{
		Settings: &settings.Settings{
			Node: "node-" + ip, IP: ip, Zone: "zone-" + ip, Zones: map[string]string{"zone-" + ip: "r"}, PortRange: []int{s.port, s.port + 3},
			Seeds: s.seeds, Bootstrap: true, ToleratedNodes: s.tolerated, HeartbeatMs: 1000, Bounds: settings.Bounds{CatchupS: 5, DrainMs: 3000}, ProviderRate: 1,
		},
		DataDir: dataDir, Storage: storage, Log: slog.New(slog.DiscardHandler),
	})
	require.NoError(s, err)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- opened.Run(ctx) }()
	s.Cleanup(func() {
		cancel()
		assert.NoError(s, <-stopped)
	})
	return opened
}

func (s *site) openControls() {
	for i := range 3 {
		s.controls = append(s.controls, s.open(controlIP(i), "", false))
	}
}

func (s *site) openStores(count int) {
	for i := range count {
		s.stores = append(s.stores, s.open(storeIP(i), diskfolder.New(s), true))
	}
}

func (s *site) submit(p *Plane) error {
	ctx, cancel := context.WithTimeout(s.Context(), timeout)
	defer cancel()
	command, err := state.Encode(&state.Barrier{})
	require.NoError(s, err)
	_, err = p.Core.Submit(ctx, command)
	return err
}

func (s *site) leader() *Plane {
	s.Helper()
	var leading *Plane
	require.Eventually(s, func() bool {
		for _, store := range s.stores {
			if store.Core.Leads() && store.Machine.Current().Term > 0 {
				leading = store
			}
		}
		return leading != nil
	}, timeout, pollInterval)
	return leading
}

func TestControlProcessesWithoutDiskUseCoreOfStores(t *testing.T) {
	s := newSite(t)
	s.openControls()
	s.openStores(3)
	for _, control := range s.controls {
		require.Eventually(t, func() bool { return s.submit(control) == nil }, timeout, pollInterval)
	}
	leading := s.leader()
	for _, control := range s.controls {
		require.Eventually(t, func() bool {
			seen := control.Status(t.Context())
			return seen.Core.Term == leading.Machine.Current().Term && seen.Members != nil && len(seen.Core.Voters) == 3
		}, timeout, pollInterval, "the status comes from the leader")
		seen := control.Status(t.Context())
		require.Equal(t, control.config.Settings.Node, seen.Node)
		require.Empty(t, seen.Core.Disk)
		require.False(t, seen.Core.Leading)
		require.True(t, control.Core.LeaderIsStore(), "operators can't call the leader directly")
		_, err := control.Leader.RetireState(t.Context(), "store-1")
		require.ErrorIs(t, err, leader.ErrNotLeading, "the queue is not placed yet")
	}
}

func TestSeedInvitesStoresToBootstrapCore(t *testing.T) {
	s := newSite(t)
	s.openControls()
	first := newHosting(s.controls[0].config.Settings, s.controls[0].Core, slog.New(slog.DiscardHandler))
	renew := func(i int) *wire.HostCore {
		address := net.JoinHostPort(storeIP(i), fmt.Sprint(s.port+2))
		return first.Order(&wire.Member{Storage: true, Address: address, Zone: fmt.Sprint("zone-", i)}, nil)
	}
	require.Eventually(t, func() bool { return renew(0) != nil }, timeout, pollInterval)
	require.Equal(t, &wire.HostCore{Host: true}, renew(1))
	require.Equal(t, &wire.HostCore{Host: true}, renew(2))
	require.Nil(t, renew(3), "three voters tolerate one failure")
	s.openStores(3)
	require.Eventually(t, func() bool { return s.submit(s.stores[0]) == nil }, timeout, pollInterval)
	require.Eventually(t, func() bool { return !s.controls[0].Core.BootstrapsOnStores() }, timeout, pollInterval)
	require.Nil(t, renew(3), "the core is bootstrapped: now the leader invites stores")

	leading := newHosting(s.leader().config.Settings, s.leader().Core, slog.New(slog.DiscardHandler))
	require.True(t, leading.HasVote(net.JoinHostPort(storeIP(1), "9")))
	require.False(t, leading.HasVote(net.JoinHostPort(storeIP(3), "9")))
}

// TestLeaderInvitesOneStoreForFourControlProcesses has a core of three voters and a learner that must tolerate two
// failures.
func TestLeaderInvitesOneStoreForFourControlProcesses(t *testing.T) {
	s := newSite(t)
	s.tolerated = 2
	for i := range 4 {
		s.controls = append(s.controls, s.open(controlIP(i), diskfolder.New(s), false))
	}
	var leading *Plane
	require.Eventually(t, func() bool {
		for _, control := range s.controls {
			if control.Core.Leads() && len(control.Core.Status().Chain) == len(s.controls) {
				leading = control
			}
		}
		return leading != nil
	}, timeout, pollInterval)
	status := leading.Core.Status()
	require.Equal(t, []int{3, 1, 5}, []int{len(status.Voters), len(status.Learners), status.RequiredVoters})
	leader := newHosting(leading.config.Settings, leading.Core, slog.New(slog.DiscardHandler))
	renew := func(i int) *wire.HostCore {
		address := net.JoinHostPort(storeIP(i), fmt.Sprint(s.port+2))
		return leader.Order(&wire.Member{Storage: true, Address: address, Zone: fmt.Sprint("zone-", i)}, nil)
	}
	require.Nil(t, renew(0), "more control processes may still join")
	require.Eventually(t, func() bool { return renew(0) != nil }, timeout, pollInterval)
	require.Nil(t, renew(1), "one store is enough")
	s.openStores(1)
	require.Eventually(t, func() bool { return len(leading.Core.Status().Voters) == 5 }, timeout, pollInterval)
	require.Nil(t, renew(1), "five voters tolerate two failures")
	require.False(t, leading.Core.LeaderIsStore())
}

func TestSubmitWithoutDisksAndStoresIsUnavailable(t *testing.T) {
	s := newSite(t)
	s.openControls()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	command, err := state.Encode(&state.Show{})
	require.NoError(t, err)
	_, err = s.controls[0].Core.Submit(ctx, command)
	require.ErrorIs(t, err, core.ErrUnavailable)
	require.ErrorContains(t, err, "storage machines")
}
