package cluster_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/settings"
	"ravendale/test/standin/cluster"
)

// fakeProgram replaces each of the programs. It creates a file in its data folder, and ends gracefully on SIGTERM.
const fakeProgram = `#!/bin/sh
data=$(sed -n 's/^dataDir=//p' "$RAVENDALE_SETTINGS")
test -n "$data" && touch "$data/mark"
trap 'exit 0' TERM
echo started
while :; do sleep 0.02; done
`

func newCluster(t *testing.T, script string) *cluster.Cluster {
	t.Helper()
	programs := t.TempDir()
	for _, name := range []string{cluster.ProgramControl, cluster.ProgramEdge, cluster.ProgramStore} {
		require.NoError(t, os.WriteFile(filepath.Join(programs, name), []byte(script), 0o755))
	}
	laid, err := cluster.New(cluster.Spec{
		Programs: programs, Folder: t.TempDir(), Provider: "127.0.0.1:1",
		Zones: []string{"east", "west"}, EdgesPerZone: 2, StoresPerZone: 1, ToleratedNodes: 1,
		Settings: map[string]string{"bounds.graceS": "4"},
	})
	require.NoError(t, err)
	t.Cleanup(laid.Kill)
	return laid
}

func TestLayoutAndSettings(t *testing.T) {
	c := newCluster(t, fakeProgram)
	assert.Len(t, c.Controls, 2)
	assert.Len(t, c.Edges, 4)
	assert.Len(t, c.Stores, 2)
	require.NoError(t, c.Start())
	for _, process := range c.Processes() {
		require.Eventually(t, func() bool { return started(process) }, 5*time.Second, 5*time.Millisecond)
		loaded, err := settings.Load(filepath.Join(filepath.Dir(process.LogPath()), settingsName(process)))
		require.NoError(t, err, process.Name())
		assert.Equal(t, process.Node(), loaded.Node)
		assert.Equal(t, process.IP(), loaded.IP)
		assert.True(t, loaded.Bootstrap)
		assert.Equal(t, 2, loaded.Copies())
		assert.InDelta(t, 4, loaded.Bounds.GraceS, 0)
		assert.Len(t, loaded.SeedAddresses(), 2)
	}
	assert.Equal(t, c.Controls[0].IP(), c.Edges[0].IP(), "the first edge machine of a zone runs the control process")
}

func settingsName(p *cluster.Process) string {
	base := filepath.Base(p.LogPath())
	return base[:len(base)-len(filepath.Ext(base))] + ".conf"
}

func started(p *cluster.Process) bool {
	log, err := os.ReadFile(p.LogPath())
	return err == nil && len(log) > 0
}

func TestFaults(t *testing.T) {
	c := newCluster(t, fakeProgram)
	require.NoError(t, c.Start())
	store := c.Stores[0]
	require.Eventually(t, func() bool { return started(store) }, 5*time.Second, 5*time.Millisecond)

	assert.Error(t, store.Start(false), "the process already runs")
	assert.Error(t, store.Wipe(), "the process runs")
	require.NoError(t, store.Freeze())
	require.NoError(t, store.Thaw())
	require.NoError(t, store.Kill())
	assert.Zero(t, store.PID())
	mark := filepath.Join(filepath.Dir(store.LogPath()), settingsName(store)[:len(settingsName(store))-len(".conf")]+".data", "mark")
	assert.FileExists(t, mark, "a kill does not change the disk")
	require.NoError(t, store.Wipe())
	assert.NoFileExists(t, mark)
	require.NoError(t, store.Start(false))
	assert.NotZero(t, store.PID())

	assert.Empty(t, c.UnexpectedExits())
}

func TestStopTimeout(t *testing.T) {
	c := newCluster(t, "#!/bin/sh\ntrap '' TERM\necho started\nwhile :; do sleep 0.02; done\n")
	edge := c.Edges[0]
	require.NoError(t, edge.Start(true))
	require.Eventually(t, func() bool { return started(edge) }, 5*time.Second, 5*time.Millisecond)
	assert.ErrorContains(t, edge.Stop(50*time.Millisecond), "did not end")
	assert.Zero(t, edge.PID())
}

func TestStop(t *testing.T) {
	c := newCluster(t, fakeProgram)
	edge := c.Edges[0]
	require.NoError(t, edge.Start(true))
	require.Eventually(t, func() bool { return started(edge) }, 5*time.Second, 5*time.Millisecond)
	require.NoError(t, edge.Stop(5*time.Second))
	assert.Empty(t, c.UnexpectedExits())
}

func TestUnexpectedExits(t *testing.T) {
	c := newCluster(t, "#!/bin/sh\nexit 3\n")
	require.NoError(t, c.Edges[0].Start(true))
	require.Eventually(t, func() bool { return len(c.UnexpectedExits()) == 1 }, 5*time.Second, 5*time.Millisecond)
	assert.Contains(t, c.UnexpectedExits()[0], "exit status 3")
}
