package hollow

import (
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/catalog"
)

// leaderVariable makes the test's own program the leader's process; its value is the loopback network.
const leaderVariable = "HOLLOW_TEST_LEADER"

const testHeartbeat = 300 * time.Millisecond

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func TestMain(m *testing.M) {
	network, err := strconv.Atoi(os.Getenv(leaderVariable))
	if err != nil {
		os.Exit(m.Run())
	}
	config := LeaderConfig{Network: network, Heartbeat: testHeartbeat, Routes: 20, Services: 5, Workers: 10, Log: quiet()}
	if err := ServeLeader(config, os.Stdin, os.Stdout); err != nil {
		os.Exit(1)
	}
}

// freeNetwork is a loopback network that nobody on this machine uses.
func freeNetwork(t *testing.T) int {
	t.Helper()
	for network := 100; network <= mostNetwork; network++ {
		ip, err := address(network, 0)
		require.NoError(t, err)
		listener, err := net.Listen("tcp4", join(ip, firstPort))
		if err == nil {
			require.NoError(t, listener.Close())
			return network
		}
	}
	require.Fail(t, "no loopback network is free")
	return 0
}

func TestASmallFleetIsMeasuredWhole(t *testing.T) {
	network := freeNetwork(t)
	leader := exec.Command(os.Args[0])
	leader.Env = append(os.Environ(), leaderVariable+"="+strconv.Itoa(network))
	result, err := Play(ExperimentConfig{
		Fleet: FleetConfig{
			Network: network, Schedulers: 24, Zones: 2, Regions: 1, Heartbeat: testHeartbeat, Spread: 100 * time.Millisecond, Seed: 1,
			Log: quiet(),
		},
		Quiet: 100 * time.Millisecond, Rest: 300 * time.Millisecond, Changes: 1, Converge: 13 * time.Second, Patience: time.Minute, Leader: leader,
	})
	require.NoError(t, err)
	require.Empty(t, result.Breaches)
	require.Len(t, result.Changes, 1)
	require.Equal(t, 24, result.Changes[0].Count)
	require.Equal(t, 12, result.ZoneSize)
	require.Equal(t, 3, result.Depth, "the leader, a zone's first, its eight, the rest")
	require.Equal(t, 4, result.Relays, "two zones' first, and one of each zone has the rest")
	require.Equal(t, 2, result.RelaysKilled)
	require.Equal(t, 22, result.AfterKill.Count)
	require.Positive(t, result.Rest.Schedulers.Written)
	require.Positive(t, result.Rest.Leader.Written)
	require.Contains(t, result.Table(), "24, 2")
}

func TestAddressesAreDistinct(t *testing.T) {
	seen := make(map[string]bool)
	for number := range 13_001 {
		ip, err := address(77, number)
		require.NoError(t, err)
		require.NotNil(t, net.ParseIP(ip))
		require.False(t, seen[ip], ip)
		seen[ip] = true
	}
	_, err := address(77, mostNumber+1)
	require.ErrorContains(t, err, "machine 62500")
	_, err = address(0, 1)
	require.ErrorContains(t, err, "network 0")
}

func TestDocumentsAreValidAndChangeOneRoute(t *testing.T) {
	config, err := catalog.Parse(document(1, 40, 5))
	require.NoError(t, err)
	require.Len(t, config.Routes, 40)
	require.Len(t, config.Services, 5)
	next, err := config.Apply(change(2, 40, 5))
	require.NoError(t, err)
	differ := 0
	for i := range next.Routes {
		if next.Routes[i] != config.Routes[i] {
			differ++
		}
	}
	require.Equal(t, 1, differ)
}

func TestDelaysCountVersionsThatWerePassedOver(t *testing.T) {
	a := newArrivals()
	began := time.Now()
	a.add(0, 1, began)
	a.add(1, 3, began.Add(2*time.Second))
	a.add(2, 3, began.Add(time.Second))
	require.Equal(t, 2, a.count(3))
	require.Equal(t, []time.Duration{time.Second, 2 * time.Second}, a.delays(3, began))
	require.Equal(t, []time.Duration{0, 500 * time.Millisecond}, a.delays(3, began.Add(1500*time.Millisecond)), "not before the acknowledgement")
	require.Equal(t, Spread{}, spreadOf(a.delays(9, began)))
	require.Equal(t, Spread{Count: 2, P50: 2 * time.Second, P99: 2 * time.Second, Max: 2 * time.Second}, spreadOf(a.delays(3, began)))
}

func TestALeaderThatDoesNotStartIsTold(t *testing.T) {
	_, err := startRemote(exec.Command(os.Args[0] + "-does-not-exist"))
	require.Error(t, err)
	err = ServeLeader(LeaderConfig{Network: 0, Log: quiet()}, strings.NewReader(""), io.Discard)
	require.ErrorContains(t, err, "network 0")
}

func TestAnUnknownOrderIsAnError(t *testing.T) {
	var out strings.Builder
	config := LeaderConfig{Network: freeNetwork(t), Heartbeat: testHeartbeat, Routes: 3, Services: 1, Log: quiet()}
	require.NoError(t, ServeLeader(config, strings.NewReader(`"usage" "change" "dance"`), &out))
	answers := json.NewDecoder(strings.NewReader(out.String()))
	var ready, usage, changed, unknown answer
	for _, a := range []*answer{&ready, &usage, &changed, &unknown} {
		require.NoError(t, answers.Decode(a))
	}
	require.Positive(t, usage.Usage.Resident)
	require.EqualValues(t, 2, changed.Change.Sequence)
	require.Contains(t, unknown.Error, "dance")
}
