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

// control is a control process with the real state machine, whose answers may get lost, and that has stores to empty.
type control struct {
	machine *state.Machine

	mu        sync.Mutex
	before    error   // of all commands
	after     []error // of commands that change the configuration, one by one
	stores    map[string]string
	few       bool
	requested int // how often a store's state was asked for
	leads     bool
}

func (c *control) Submit(_ context.Context, command []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.before != nil {
		return nil, c.before
	}
	result := c.machine.Apply(command)
	if len(c.after) > 0 && state.Kind(command[0]) != state.KindShow {
		err := c.after[0]
		c.after = c.after[1:]
		return result, err
	}
	return result, nil
}

func (c *control) StartRetire(_ context.Context, node string, _ time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.few:
		return api.ErrTooFew
	case c.stores[node] == "":
		return api.ErrUnknownNode
	}
	c.stores[node] = api.RetireRunning
	return nil
}

// RetireState says done at the third time.
func (c *control) RetireState(_ context.Context, node string) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stores[node] == "" {
		return "", api.ErrUnknownNode
	}
	if c.requested++; c.requested == 3 {
		c.stores[node] = api.RetireDone
	}
	return c.stores[node], nil
}

func (c *control) status(context.Context) status.Status {
	view := &wire.StoreView{
		Epoch: 4, Copies: 2, Stores: []wire.Store{{Node: "store-1", Zone: "z", Retiring: true}},
		Partitions: []wire.Placement{{Replicas: []uint16{0}}},
	}
	s := status.Status{
		Node: "control-1", Config: status.ConfigOf(c.machine.Current()), Placement: status.PlacementOf(view),
		Core: status.Core{Epoch: 2, Voters: []status.Voter{{Disk: "1f", Address: "10.0.0.1:7000", Zone: "z"}}, Chain: []string{"1f"}, RequiredVoters: 3},
	}
	if c.leads {
		s.Members = status.MembersOf([]wire.Edge{{Zone: "z", Ready: true}}, []status.StoreLease{{Zone: "z", Epoch: 3, Pending: 12}}, 4)
	}
	return s
}

type fixture struct {
	t       *testing.T
	control *control
	admin   string
	folder  string
	pauses  []time.Duration
	most    int // pauses after which time is over
}

func newFixture(t *testing.T) *fixture {
	t.Setenv("RAVENDALE_ADMIN", "")
	f := &fixture{t: t, control: &control{machine: state.NewMachine(), stores: map[string]string{}, leads: true}, folder: t.TempDir(), most: 5}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	f.admin = listener.Addr().String()
	server := api.New(api.Options{
		Submitter: f.control, Retirer: f.control, Log: slog.New(slog.DiscardHandler), Status: f.control.status,
		Redirect: func() (string, bool) { return "", f.control.leads },
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

// run executes a command line, and returns what it wrote.
func (f *fixture) run(exit int, arguments ...string) (stdout, problems string) {
	f.t.Helper()
	var written, wrong bytes.Buffer
	f.pauses = nil
	env := environment{stdout: &written, sleep: func(_ context.Context, pause time.Duration) error {
		f.pauses = append(f.pauses, pause)
		if len(f.pauses) >= f.most {
			return context.DeadlineExceeded
		}
		return nil
	}}
	code := run(f.t.Context(), env, arguments, &wrong)
	require.Equal(f.t, exit, code, "%s%s", written.String(), wrong.String())
	return written.String(), wrong.String()
}

// ask executes a command line that asks the control process.
func (f *fixture) ask(exit int, arguments ...string) (stdout, problems string) {
	f.t.Helper()
	return f.run(exit, append(arguments, "--admin", f.admin)...)
}

func (f *fixture) file(name, content string) string {
	f.t.Helper()
	path := filepath.Join(f.folder, name)
	require.NoError(f.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func configuration(version int, routes ...string) string {
	return fmt.Sprintf("{\"version\":%d,\n\"routes\":[%s],\n\"backends\":[{\"name\":\"s\"}],\n\"limits\":{}}", version, strings.Join(routes, ",\n"))
}

func route(name string, timeout int) string {
	return fmt.Sprintf(`{"name":%q,"host":"h","pathPrefix":"/%s","backend":"s","timeoutMs":%d}`, name, name, timeout)
}

func TestFilesAreCheckedWithLines(t *testing.T) {
	f := newFixture(t)
	good := f.file("good.json", configuration(1, route("a", 5)))
	stdout, _ := f.run(exitDone, "config", "check", good)
	require.Equal(t, good+": no findings\n", stdout)

	bad := f.file("bad.json", configuration(1, route("a", 5), route("b", 0), route("a", 5)))
	stdout, problems := f.run(exitInvalid, "config", "check", bad)
	require.Contains(t, stdout, bad+":3: routes[1].timeoutMs: must be above 0\n")
	require.Contains(t, problems, "next: ")

	stdout, _ = f.run(exitInvalid, "config", "check", f.file("torn.json", "{\n"))
	require.Contains(t, stdout, "torn.json:1: byte 2: unexpected end")

	patch := f.file("patch.json", "{\"version\":2,\n\"delete\":{\"routes\":[1]}}")
	stdout, _ = f.run(exitInvalid, "config", "check", "--patch", patch)
	require.Contains(t, stdout, "patch.json:2: delete.routes[0]: ")
	f.run(exitDone, "config", "check", "--patch", f.file("patch.json", `{"version":2}`))
	_, problems = f.run(exitFailed, "config", "check", filepath.Join(f.folder, "none"))
	require.Contains(t, problems, "check the path")
}

func TestAConfigurationIsPutIntoForceAndChanged(t *testing.T) {
	f := newFixture(t)
	_, problems := f.ask(exitUnknown, "config", "show")
	require.Contains(t, problems, "next: put one into force by config set")
	first := f.file("first.json", configuration(3, route("a", 5)))
	stdout, _ := f.ask(exitDone, "config", "set", "--dry-run", first)
	require.Contains(t, stdout, "+ routes ")
	require.Zero(t, f.control.machine.Current().Version)

	stdout, _ = f.ask(exitDone, "config", "set", first)
	require.Equal(t, "version 3 is in force\n", stdout)
	stdout, _ = f.ask(exitDone, "config", "set", first)
	require.Equal(t, "version 3 is in force already\n", stdout)
	require.EqualValues(t, 1, f.control.machine.Current().Sequence)

	patch := f.file("patch.json", `{"version":4,"upsert":{"routes":[`+route("a", 6)+`]}}`)
	stdout, _ = f.ask(exitDone, "config", "patch", "--dry-run", patch)
	require.Equal(t, "~ routes/a/timeoutMs 5 -> 6\n~ version 3 -> 4\n", stdout)
	stdout, _ = f.ask(exitDone, "config", "diff", "--patch", patch)
	require.Contains(t, stdout, "timeoutMs 5 -> 6")
	stdout, _ = f.ask(exitDone, "config", "patch", patch)
	require.Equal(t, "version 4 is in force\n", stdout)
	stdout, _ = f.ask(exitDone, "config", "show")
	require.Contains(t, stdout, `"timeoutMs":6`)

	f.ask(exitDiffers, "config", "diff", "--exit-code", first)
	stdout, _ = f.ask(exitDone, "config", "diff", "--exit-code", f.file("same.json", stdout))
	require.Equal(t, "no difference\n", stdout)
}

func TestWhatDoesNotFitIsRefused(t *testing.T) {
	f := newFixture(t)
	f.ask(exitDone, "config", "set", f.file("3.json", configuration(3)))
	next := f.file("5.json", configuration(5))
	_, problems := f.ask(exitConflict, "config", "set", "--base", "1", next)
	require.Contains(t, problems, "another version is in place, version 3")
	f.ask(exitConflict, "config", "set", "--base", "1", "--dry-run", next)

	old := f.file("2.json", configuration(2))
	stdout, _ := f.ask(exitInvalid, "config", "set", "--dry-run", old)
	require.Contains(t, stdout, "2.json:1: version: 2 is not above the current version 3")
	stdout, _ = f.ask(exitInvalid, "config", "set", old)
	require.Contains(t, stdout, "2.json:1: version: 2 is not above the current version 3")
	f.ask(exitInvalid, "config", "patch", "--dry-run", f.file("p.json", `{"version":9,"upsert":{"routes":[{"name":"r","host":"h","pathPrefix":"/","backend":"none","timeoutMs":1}]}}`))
}

func TestAPatchNeedsAConfiguration(t *testing.T) {
	f := newFixture(t)
	stdout, _ := f.ask(exitInvalid, "config", "patch", "--dry-run", f.file("p.json", `{"version":9}`))
	require.Contains(t, stdout, "there is no configuration yet")
}

func TestAnOrderWithoutAnAnswerIsRetried(t *testing.T) {
	f := newFixture(t)
	f.control.after = []error{core.ErrUnknown, core.ErrUnknown}
	stdout, _ := f.ask(exitDone, "config", "set", "--base", "0", f.file("3.json", configuration(3)))
	require.Equal(t, "version 3 is in force\n", stdout)
	require.Len(t, f.pauses, 2, "two answers were lost")
	require.EqualValues(t, 1, f.control.machine.Current().Sequence)
}

func TestAnUnclearEndSaysHowToRetry(t *testing.T) {
	f := newFixture(t)
	for range f.most {
		f.control.after = append(f.control.after, core.ErrUnknown)
	}
	order := f.file("3.json", configuration(3))
	_, problems := f.ask(exitUndecided, "config", "set", order)
	require.Contains(t, problems, "repeat it with --base 0 and the file unchanged")
	f.control.after = nil
	stdout, _ := f.ask(exitDone, "config", "set", "--base", "0", order)
	require.Equal(t, "version 3 is in force\n", stdout)
}

func TestWithoutACoreNothingIsChanged(t *testing.T) {
	f := newFixture(t)
	f.control.before = core.ErrUnavailable
	_, problems := f.ask(exitUnavailable, "config", "set", "--base", "0", f.file("3.json", configuration(3)))
	require.Contains(t, problems, "nothing was changed")
	f.ask(exitUnavailable, "config", "show")
}

func TestAFailingDiskIsReported(t *testing.T) {
	var lines []string
	line := func(format string, arguments ...any) { lines = append(lines, fmt.Sprintf(format, arguments...)) }
	renderCore(line, &status.Core{DiskFault: "no space left on device"})
	require.Contains(t, lines, "DISK\tof the process that answers, which is degraded: no space left on device")
	lines = nil
	renderCore(line, &status.Core{})
	require.NotContains(t, strings.Join(lines, "\n"), "DISK\t")
}

func TestStatusIsPrinted(t *testing.T) {
	f := newFixture(t)
	f.ask(exitDone, "config", "set", f.file("3.json", configuration(3)))
	stdout, _ := f.ask(exitDone, "status")
	for _, part := range []string{
		"control-1", "this process", "TOO FEW DISKS", "version 3, changed 1 times", "1 under strength", "being emptied", "1 ready, 0 not",
		"1 live, 0 leaving, 1 behind", "12 messages pending",
	} {
		require.Contains(t, stdout, part)
	}
	stdout, _ = f.ask(exitDone, "status", "--json")
	var seen status.Status
	require.NoError(t, json.Unmarshal([]byte(stdout), &seen))
	require.EqualValues(t, 3, seen.Config.Version)

	f.control.leads = false
	stdout, _ = f.ask(exitDone, "status")
	require.Contains(t, stdout, "the leader was not reached")
}

func TestStatusIsWatchedThroughFailures(t *testing.T) {
	f := newFixture(t)
	f.most = 4
	stdout, _ := f.ask(exitDone, "status", "--json", "--watch", "--every", "7s")
	require.Equal(t, 4, strings.Count(stdout, "\n"))
	require.Equal(t, 7*time.Second, f.pauses[0])
	f.admin = deadAddress(t)
	stdout, _ = f.ask(exitDone, "status", "--watch")
	require.Contains(t, stdout, "next: check the addresses")
}

func TestAStoreIsEmptied(t *testing.T) {
	f := newFixture(t)
	f.control.stores["store-1"] = api.RetireDone
	stdout, _ := f.ask(exitDone, "store", "retire", "store-1")
	require.Contains(t, stdout, "until store show says done")
	stdout, _ = f.ask(exitDone, "store", "show", "store-1")
	require.Equal(t, "running\n", stdout)
	stdout, _ = f.ask(exitDone, "store", "retire", "store-1", "--wait")
	require.Contains(t, stdout, "store-1 is empty")
	require.Equal(t, []time.Duration{retirePoll}, f.pauses)

	f.control.requested = 10
	_, problems := f.ask(exitUndecided, "store", "retire", "store-1", "--wait", "--deadline", "3s")
	require.Contains(t, problems, "not empty after 3s")
	f.control.few = true
	_, problems = f.ask(exitConflict, "store", "retire", "store-1")
	require.Contains(t, problems, "add a store first")
	f.control.few = false
	f.ask(exitUnknown, "store", "retire", "store-2")
	f.ask(exitUnknown, "store", "show", "store-2")
}

func TestMessagesAreRequestedFromEdges(t *testing.T) {
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
	stdout, _ = f.run(exitDone, "message", "1.a", "--edge", deadAddress(t)+","+at, "--host", "h.example", "--body")
	require.Equal(t, "\x00\xff", stdout)
	f.run(exitUnknown, "message", "1.c", "--edge", at, "--host", "h.example")
	f.run(exitUnknown, "message", "1.a", "--edge", at, "--host", "other", "--body")
}

func TestDisksAreRead(t *testing.T) {
	f := newFixture(t)
	kept, _, _, err := slots.Open(f.folder)
	require.NoError(t, err)
	require.NoError(t, kept.Snapshot([]byte("not a core's")))
	require.NoError(t, kept.Close())
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

func TestCommandLines(t *testing.T) {
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
	t.Setenv("RAVENDALE_ADMIN", deadAddress(t)+","+f.admin)
	f.run(exitDone, "status")
	require.Len(t, f.pauses, 1)
}

// deadAddress is one at which nobody listens.
func deadAddress(t *testing.T) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}
