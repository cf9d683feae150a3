package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
	"ravendale/control/api"
	"ravendale/control/core"
	"ravendale/control/slots"
	"ravendale/control/state"
	"ravendale/control/status"
)

// fakeControl is a control process with a real state machine. It can fail commands, lose answers, and retire stores.
type fakeControl struct {
	machine *state.Machine

	mu               sync.Mutex
	submitErr        error   // returned for all commands without applying them
	configErrs       []error // returned, one per command, after configuration changes were applied
	stores           map[string]string
	tooFewStores     bool
	retireStateCalls int // calls of RetireState for known stores
	isLeader         bool
}

func (c *fakeControl) Submit(_ context.Context, command []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.submitErr != nil {
		return nil, c.submitErr
	}
	result := c.machine.Apply(command)
	if len(c.configErrs) > 0 && state.Kind(command[0]) != state.KindShow {
		err := c.configErrs[0]
		c.configErrs = c.configErrs[1:]
		return result, err
	}
	return result, nil
}

func (c *fakeControl) StartRetire(_ context.Context, node string, _ time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.tooFewStores:
		return api.ErrTooFew
	case c.stores[node] == "":
		return api.ErrUnknownNode
	}
	c.stores[node] = api.RetireRunning
	return nil
}

// RetireState sets the state to done at the third call.
func (c *fakeControl) RetireState(_ context.Context, node string) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stores[node] == "" {
		return "", api.ErrUnknownNode
	}
	if c.retireStateCalls++; c.retireStateCalls == 3 {
		c.stores[node] = api.RetireDone
	}
	return c.stores[node], nil
}

func (c *fakeControl) status(context.Context) status.Status {
	view := &wire.StoreView{
		Epoch: 4, Copies: 2, Stores: []wire.Store{{Node: "store-1", Zone: "z", Retiring: true}},
		Partitions: []wire.Placement{{Replicas: []uint16{0}}},
	}
	s := status.Status{
		Node: "control-1", Config: status.ConfigOf(c.machine.Current()), Placement: status.PlacementOf(view),
		Core: status.Core{Epoch: 2, Voters: []status.Voter{{Disk: "1f", Address: "10.0.0.1:7000", Zone: "z"}}, Chain: []string{"1f"}, RequiredVoters: 3},
	}
	if c.isLeader {
		s.Members = status.MembersOf([]wire.Edge{{Zone: "z", Ready: true}}, []status.StoreLease{{Zone: "z", Epoch: 3, Pending: 12}}, 4)
	}
	return s
}

type fixture struct {
	t         *testing.T
	control   *fakeControl
	admin     string
	folder    string
	pauses    []time.Duration
	maxPauses int // number of pauses after which sleep fails
}

func newFixture(t *testing.T) *fixture {
	t.Setenv("RAVENDALE_ADMIN", "")
	f := &fixture{t: t, control: &fakeControl{machine: state.NewMachine(), stores: map[string]string{}, isLeader: true}, folder: t.TempDir(), maxPauses: 5}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	f.admin = listener.Addr().String()
	server := api.New(api.Options{
		Submitter: f.control, Retirer: f.control, Log: slog.New(slog.DiscardHandler), Status: f.control.status,
		Redirect: func() (string, bool) { return "", f.control.isLeader },
	})
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = server.Shutdown(context.Background())
		<-served
	})
	return f
}

// run executes a command line, checks its exit code, and returns its output.
func (f *fixture) run(exit int, arguments ...string) (stdout, stderr string) {
	f.t.Helper()
	var stdoutBuffer, stderrBuffer bytes.Buffer
	f.pauses = nil
	env := environment{stdout: &stdoutBuffer, sleep: func(_ context.Context, pause time.Duration) error {
		f.pauses = append(f.pauses, pause)
		if len(f.pauses) >= f.maxPauses {
			return context.DeadlineExceeded
		}
		return nil
	}}
	code := run(f.t.Context(), env, arguments, &stderrBuffer)
	require.Equal(f.t, exit, code, "%s%s", stdoutBuffer.String(), stderrBuffer.String())
	return stdoutBuffer.String(), stderrBuffer.String()
}

// runWithAdmin executes a command line with the address of the control process as --admin.
func (f *fixture) runWithAdmin(exit int, arguments ...string) (stdout, stderr string) {
	f.t.Helper()
	return f.run(exit, append(arguments, "--admin", f.admin)...)
}

func (f *fixture) writeFile(name, content string) string {
	f.t.Helper()
	path := filepath.Join(f.folder, name)
	require.NoError(f.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func configJSON(version int, routes ...string) string {
	return fmt.Sprintf("{\"version\":%d,\n\"routes\":[%s],\n\"backends\":[{\"name\":\"s\"}],\n\"limits\":{}}", version, strings.Join(routes, ",\n"))
}

func routeJSON(name string, timeout int) string {
	return fmt.Sprintf(`{"name":%q,"host":"h","pathPrefix":"/%s","backend":"s","timeoutMs":%d}`, name, name, timeout)
}

func TestConfigCheck(t *testing.T) {
	f := newFixture(t)
	good := f.writeFile("good.json", configJSON(1, routeJSON("a", 5)))
	stdout, _ := f.run(exitDone, "config", "check", good)
	require.Equal(t, good+": no findings\n", stdout)

	bad := f.writeFile("bad.json", configJSON(1, routeJSON("a", 5), routeJSON("b", 0), routeJSON("a", 5)))
	stdout, problems := f.run(exitInvalid, "config", "check", bad)
	require.Contains(t, stdout, bad+":3: routes[1].timeoutMs: must be above 0\n")
	require.Contains(t, problems, "next: ")

	stdout, _ = f.run(exitInvalid, "config", "check", f.writeFile("torn.json", "{\n"))
	require.Contains(t, stdout, "torn.json:1: byte 2: unexpected end")

	patch := f.writeFile("patch.json", "{\"version\":2,\n\"delete\":{\"routes\":[1]}}")
	stdout, _ = f.run(exitInvalid, "config", "check", "--patch", patch)
	require.Contains(t, stdout, "patch.json:2: delete.routes[0]: ")
	f.run(exitDone, "config", "check", "--patch", f.writeFile("patch.json", `{"version":2}`))
	_, problems = f.run(exitFailed, "config", "check", filepath.Join(f.folder, "none"))
	require.Contains(t, problems, "check the path")
}

func TestConfigSetPatchAndDiff(t *testing.T) {
	f := newFixture(t)
	_, problems := f.runWithAdmin(exitUnknown, "config", "show")
	require.Contains(t, problems, "next: put one into force by config set")
	first := f.writeFile("first.json", configJSON(3, routeJSON("a", 5)))
	stdout, _ := f.runWithAdmin(exitDone, "config", "set", "--dry-run", first)
	require.Contains(t, stdout, "+ routes ")
	require.Zero(t, f.control.machine.Current().Version)

	stdout, _ = f.runWithAdmin(exitDone, "config", "set", first)
	require.Equal(t, "version 3 is in force\n", stdout)
	stdout, _ = f.runWithAdmin(exitDone, "config", "set", first)
	require.Equal(t, "version 3 is in force already\n", stdout)
	require.EqualValues(t, 1, f.control.machine.Current().Sequence)

	patch := f.writeFile("patch.json", `{"version":4,"upsert":{"routes":[`+routeJSON("a", 6)+`]}}`)
	stdout, _ = f.runWithAdmin(exitDone, "config", "patch", "--dry-run", patch)
	require.Equal(t, "~ routes/a/timeoutMs 5 -> 6\n~ version 3 -> 4\n", stdout)
	stdout, _ = f.runWithAdmin(exitDone, "config", "diff", "--patch", patch)
	require.Contains(t, stdout, "timeoutMs 5 -> 6")
	stdout, _ = f.runWithAdmin(exitDone, "config", "patch", patch)
	require.Equal(t, "version 4 is in force\n", stdout)
	stdout, _ = f.runWithAdmin(exitDone, "config", "show")
	require.Contains(t, stdout, `"timeoutMs":6`)

	f.runWithAdmin(exitDiffers, "config", "diff", "--exit-code", first)
	stdout, _ = f.runWithAdmin(exitDone, "config", "diff", "--exit-code", f.writeFile("same.json", stdout))
	require.Equal(t, "no difference\n", stdout)
}

func TestConfigSetRejectsStaleVersion(t *testing.T) {
	f := newFixture(t)
	f.runWithAdmin(exitDone, "config", "set", f.writeFile("3.json", configJSON(3)))
	next := f.writeFile("5.json", configJSON(5))
	_, problems := f.runWithAdmin(exitConflict, "config", "set", "--base", "1", next)
	require.Contains(t, problems, "another version is in place, version 3")
	f.runWithAdmin(exitConflict, "config", "set", "--base", "1", "--dry-run", next)

	old := f.writeFile("2.json", configJSON(2))
	stdout, _ := f.runWithAdmin(exitInvalid, "config", "set", "--dry-run", old)
	require.Contains(t, stdout, "2.json:1: version: 2 is not above the current version 3")
	stdout, _ = f.runWithAdmin(exitInvalid, "config", "set", old)
	require.Contains(t, stdout, "2.json:1: version: 2 is not above the current version 3")
	f.runWithAdmin(exitInvalid, "config", "patch", "--dry-run", f.writeFile("p.json", `{"version":9,"upsert":{"routes":[{"name":"r","host":"h","pathPrefix":"/","backend":"none","timeoutMs":1}]}}`))
}

func TestPatchWithoutConfiguration(t *testing.T) {
	f := newFixture(t)
	stdout, _ := f.runWithAdmin(exitInvalid, "config", "patch", "--dry-run", f.writeFile("p.json", `{"version":9}`))
	require.Contains(t, stdout, "there is no configuration yet")
}

func TestRetryAfterLostAnswer(t *testing.T) {
	f := newFixture(t)
	f.control.configErrs = []error{core.ErrUnknown, core.ErrUnknown}
	stdout, _ := f.runWithAdmin(exitDone, "config", "set", "--base", "0", f.writeFile("3.json", configJSON(3)))
	require.Equal(t, "version 3 is in force\n", stdout)
	require.Len(t, f.pauses, 2, "one pause for each of the two lost answers")
	require.EqualValues(t, 1, f.control.machine.Current().Sequence)
}

func TestUndecidedErrorHintsAtRetry(t *testing.T) {
	f := newFixture(t)
	for range f.maxPauses {
		f.control.configErrs = append(f.control.configErrs, core.ErrUnknown)
	}
	order := f.writeFile("3.json", configJSON(3))
	_, problems := f.runWithAdmin(exitUndecided, "config", "set", order)
	require.Contains(t, problems, "repeat it with --base 0 and the file unchanged")
	f.control.configErrs = nil
	stdout, _ := f.runWithAdmin(exitDone, "config", "set", "--base", "0", order)
	require.Equal(t, "version 3 is in force\n", stdout)
}

func TestCoreUnavailable(t *testing.T) {
	f := newFixture(t)
	f.control.submitErr = core.ErrUnavailable
	_, problems := f.runWithAdmin(exitUnavailable, "config", "set", "--base", "0", f.writeFile("3.json", configJSON(3)))
	require.Contains(t, problems, "nothing was changed")
	f.runWithAdmin(exitUnavailable, "config", "show")
}

func TestStatusShowsDiskFault(t *testing.T) {
	var lines []string
	line := func(format string, arguments ...any) { lines = append(lines, fmt.Sprintf(format, arguments...)) }
	renderCore(line, &status.Core{DiskFault: "no space left on device"})
	require.Contains(t, lines, "DISK\tof the process that answers, which is degraded: no space left on device")
	lines = nil
	renderCore(line, &status.Core{})
	require.NotContains(t, strings.Join(lines, "\n"), "DISK\t")
}

func TestStatus(t *testing.T) {
	f := newFixture(t)
	f.runWithAdmin(exitDone, "config", "set", f.writeFile("3.json", configJSON(3)))
	stdout, _ := f.runWithAdmin(exitDone, "status")
	for _, part := range []string{
		"control-1", "this process", "TOO FEW DISKS", "version 3, changed 1 times", "1 under strength", "being emptied", "1 ready, 0 not",
		"1 live, 0 leaving, 1 behind", "12 messages pending",
	} {
		require.Contains(t, stdout, part)
	}
	stdout, _ = f.runWithAdmin(exitDone, "status", "--json")
	var seen status.Status
	require.NoError(t, json.Unmarshal([]byte(stdout), &seen))
	require.EqualValues(t, 3, seen.Config.Version)

	f.control.isLeader = false
	stdout, _ = f.runWithAdmin(exitDone, "status")
	require.Contains(t, stdout, "the leader was not reached")
}

func TestStatusWatchContinuesAfterFailure(t *testing.T) {
	f := newFixture(t)
	f.maxPauses = 4
	stdout, _ := f.runWithAdmin(exitDone, "status", "--json", "--watch", "--every", "7s")
	require.Equal(t, 4, strings.Count(stdout, "\n"))
	require.Equal(t, 7*time.Second, f.pauses[0])
	f.admin = unusedAddress(t)
	stdout, _ = f.runWithAdmin(exitDone, "status", "--watch")
	require.Contains(t, stdout, "next: check the addresses")
}

func TestStoreRetire(t *testing.T) {
	f := newFixture(t)
	f.control.stores["store-1"] = api.RetireDone
	stdout, _ := f.runWithAdmin(exitDone, "store", "retire", "store-1")
	require.Contains(t, stdout, "until store show says done")
	stdout, _ = f.runWithAdmin(exitDone, "store", "show", "store-1")
	require.Equal(t, "running\n", stdout)
	stdout, _ = f.runWithAdmin(exitDone, "store", "retire", "store-1", "--wait")
	require.Contains(t, stdout, "store-1 is empty")
	require.Equal(t, []time.Duration{retirePollInterval}, f.pauses)

	f.control.retireStateCalls = 10
	_, problems := f.runWithAdmin(exitUndecided, "store", "retire", "store-1", "--wait", "--deadline", "3s")
	require.Contains(t, problems, "not empty after 3s")
	f.control.tooFewStores = true
	_, problems = f.runWithAdmin(exitConflict, "store", "retire", "store-1")
	require.Contains(t, problems, "add a store first")
	f.control.tooFewStores = false
	f.runWithAdmin(exitUnknown, "store", "retire", "store-2")
	f.runWithAdmin(exitUnknown, "store", "show", "store-2")
}

func TestMessage(t *testing.T) {
	f := newFixture(t)
	edge := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Host + r.URL.Path {
		case "h.example/v1/message/1.a":
			_, _ = io.WriteString(w, `{"state":"done","signature":"3e1b"}`)
		case "h.example/v1/message/1.b":
			_, _ = io.WriteString(w, `{"state":"pending"}`)
		case "h.example/v1/message-body/1.a":
			_, _ = w.Write([]byte{0, 255})
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	defer edge.Close()
	at := strings.TrimPrefix(edge.URL, "http://")
	stdout, _ := f.run(exitDone, "message", "1.a", "--edge", at, "--host", "h.example")
	require.Equal(t, "done 3e1b\n", stdout)
	stdout, _ = f.run(exitDone, "message", "1.b", "--edge", at, "--host", "h.example")
	require.Equal(t, "pending\n", stdout)
	stdout, _ = f.run(exitDone, "message", "1.a", "--edge", unusedAddress(t)+","+at, "--host", "h.example", "--body")
	require.Equal(t, "\x00\xff", stdout)
	f.run(exitUnknown, "message", "1.c", "--edge", at, "--host", "h.example")
	f.run(exitUnknown, "message", "1.a", "--edge", at, "--host", "other", "--body")
}

func TestDiskInspectAndVerify(t *testing.T) {
	f := newFixture(t)
	slotStore, _, _, err := slots.Open(f.folder)
	require.NoError(t, err)
	require.NoError(t, slotStore.Snapshot([]byte("not a core's")))
	require.NoError(t, slotStore.Close())
	stdout, _ := f.run(exitDone, "disk", "inspect", f.folder)
	require.Contains(t, stdout, "slot-1")
	require.Contains(t, stdout, "DAMAGE")
	stdout, problems := f.run(exitDamaged, "disk", "verify", f.folder)
	require.Contains(t, stdout, "not known here")
	require.Contains(t, problems, "next: keep a copy")
	stdout, _ = f.run(exitDone, "disk", "inspect", "--json", f.folder)
	require.Contains(t, stdout, `"fate":"whole"`)
	stdout, _ = f.run(exitDone, "disk", "inspect", "--document", f.folder)
	require.Empty(t, stdout)

	_, problems = f.run(exitUnknown, "disk", "verify", t.TempDir())
	require.Contains(t, problems, "dataDir")
	f.run(exitFailed, "disk", "inspect", filepath.Join(f.folder, "none"))
}

func TestUsage(t *testing.T) {
	f := newFixture(t)
	stdout, _ := f.run(exitDone, "--help")
	require.Contains(t, stdout, "6 nobody could take the order")
	stdout, _ = f.run(exitDone, "config", "set", "--help")
	require.Contains(t, stdout, "--dry-run")
	for _, arguments := range [][]string{
		{}, {"config"}, {"config", "set"}, {"config", "set", "f", "--base", "-1"}, {"message", "1.a"}, {"store", "retire"}, {"none"},
		{"status", "--within", "soon"}, {"disk", "inspect"},
	} {
		_, problems := f.run(exitUsage, arguments...)
		require.Contains(t, problems, "next: ", arguments)
	}
	_, problems := f.run(exitUsage, "status")
	require.Contains(t, problems, "RAVENDALE_ADMIN")
	_, problems = f.run(exitUsage, "status", "--admin", "10.0.0.1")
	require.Contains(t, problems, "missing port")
	t.Setenv("RAVENDALE_ADMIN", unusedAddress(t)+","+f.admin)
	f.run(exitDone, "status")
	require.Len(t, f.pauses, 1)
}

// unusedAddress returns an address at which nothing listens.
func unusedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}
