package systemtest

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/test/diskfolder"
	"ravendale/test/standin"
	"ravendale/test/standin/check"
	"ravendale/test/standin/client"
	"ravendale/test/standin/cluster"
	"ravendale/test/standin/history"
	"ravendale/test/standin/operator"
	"ravendale/test/standin/protocol"
	"ravendale/test/standin/workers"
)

// programs is the folder that TestMain builds the programs into.
var programs string

// scenarioSlots limits the number of concurrent scenarios, each with some ten processes. The bounds of the rules are in
// real time, so that too many concurrent scenarios would violate them for lack of processor time.
var scenarioSlots = make(chan struct{}, 2)

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "ravendale-systemtest-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	root, err := cluster.ModuleRoot()
	if err == nil {
		err = cluster.Build(context.Background(), root, folder, false)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	programs = folder
	return m.Run()
}

// Bounds shared by the clusters' settings, the checkers and the waits of the scenarios.
const (
	drainBound    = 2 * time.Second
	failoverBound = 2500 * time.Millisecond // 1.6 s until a new leader is elected, and its first read of the platform's list
	convergeBound = 2 * time.Second
	grace         = 5 * time.Second
	ackBound      = 5 * time.Second
	finishBound   = 8 * time.Second // from the end of the load until all accepted messages have ended
	startBound    = 10 * time.Second
	readBound     = 5 * time.Second
	rate          = 150.0 // messages a second
	tailLines     = 12
)

func bounds() check.Bounds {
	b := check.DefaultBounds()
	b.Drain, b.Failover, b.Converge = drainBound, failoverBound, convergeBound
	return b
}

func boundSettings() map[string]string {
	return map[string]string{
		"bounds.drainMs":         fmt.Sprint(drainBound.Milliseconds()),
		"bounds.convergeMs":      fmt.Sprint(convergeBound.Milliseconds()),
		"bounds.graceS":          fmt.Sprint(grace.Seconds()),
		"bounds.ackMs":           fmt.Sprint(ackBound.Milliseconds()),
		"bounds.contactMs":       "4000",
		"bounds.ceilingWindowS":  "5",
		"bounds.originOvershoot": "1.1",
		"bounds.statusS":         "120",
		"bounds.reuseAfterS":     "2",
		"bounds.catchupS":        "4",
		"bounds.seedLagS":        "3",
		"bounds.lossSlackMs":     "200",
		"bounds.recoveryS":       "12",
	}
}

var zones = []string{"east", "west", "north"}

const host = "messages.example"

func route(name string, ordered bool) protocol.Route {
	return protocol.Route{
		Name: name, Host: host, PathPrefix: "/" + name + "/", Ordered: ordered,
		TimeoutMs: 1000, TargetMs: 100, StartTargetMs: 1000, Retries: 4, RetentionS: 60,
	}
}

// services returns the services of all scenarios: a plain one, one that sometimes fails, one for ordered messages, one
// that refuses all messages, and one with a rate limit.
func services() []standin.Service {
	work := workers.Service{Capacity: 8, Queue: 8, WorkMin: 2 * time.Millisecond, WorkMean: 10 * time.Millisecond, WorkMax: 300 * time.Millisecond}
	plain, flaky, ordered, limited, refusing := work, work, work, work, work
	plain.Name, flaky.Name, ordered.Name, limited.Name, refusing.Name = "plain", "flaky", "ordered", "limited", "refusing"
	plain.Idempotent = true
	flaky.FailShare, flaky.PoisonShare, flaky.RefuseShare = 0.05, 0.02, 0.02
	limited.RatePerS = 30
	refusing.RefuseShare = 1
	return []standin.Service{
		{Service: plain, Workers: 2, Routes: []protocol.Route{route("plain", false), route("delayed", false)}},
		{Service: flaky, Workers: 2, Routes: []protocol.Route{route("flaky", false)}},
		{Service: ordered, Workers: 2, Routes: []protocol.Route{route("ordered", true)}},
		{Service: refusing, Workers: 1, Routes: []protocol.Route{route("refusing", false)}},
		{Service: limited, Endpoint: true, Routes: []protocol.Route{route("limited", false)}},
	}
}

func traffic() []client.Traffic {
	return []client.Traffic{
		{Route: "plain", Host: host, Target: "/plain/a?b=c", Weight: 8, BodyBytes: 4096},
		{Route: "delayed", Host: host, Target: "/delayed/a", Weight: 3, BodyBytes: 256, DelayShare: 1, DelayMax: 1500 * time.Millisecond},
		{Route: "flaky", Host: host, Target: "/flaky/a", Weight: 3, BodyBytes: 256},
		{Route: "ordered", Host: host, Target: "/ordered/a", Weight: 4, BodyBytes: 1024, Keys: 40},
		{Route: "limited", Host: host, Target: "/limited/a", Weight: 2, BodyBytes: 256},
	}
}

// rig is a running cluster with the stand-ins for its environment.
type rig struct {
	t        *testing.T
	world    *standin.World
	system   *cluster.Cluster
	operator *operator.Operator
	balancer *client.Balancer
	clients  *client.Clients
	config   protocol.Config // newest acknowledged configuration
	folder   string
}

// start starts a cluster, sets its first configuration and waits until all edges are ready.
func start(t *testing.T) *rig {
	t.Helper()
	return startWith(t, func(*cluster.Spec) {})
}

// startWith is like start, with changes to the specification of the cluster.
func startWith(t *testing.T, differ func(spec *cluster.Spec)) *rig {
	t.Helper()
	t.Parallel()
	scenarioSlots <- struct{}{}
	t.Cleanup(func() { <-scenarioSlots })
	world, err := standin.Start(standin.Options{Zones: zones, Lag: 300 * time.Millisecond, RatePerS: 20, Services: services()})
	require.NoError(t, err)
	t.Cleanup(world.Close)
	folder := diskfolder.New(t)
	spec := cluster.Spec{
		Programs: programs, Folder: folder, Provider: world.Platform.Address(), ProviderRate: 20,
		Zones: zones, EdgesPerZone: 1, StoresPerZone: 1, ToleratedNodes: 1, Settings: boundSettings(),
	}
	differ(&spec)
	system, err := cluster.New(spec)
	require.NoError(t, err)
	r := &rig{t: t, world: world, system: system, folder: folder}
	t.Cleanup(r.stop)
	require.NoError(t, system.Start())
	r.operator = operator.New(system.Admin(), world.Record)
	r.balancer = client.NewBalancer(system.EdgeAddresses())
	r.clients = client.New(r.balancer, world.Record)
	r.configure(0, world.Config(1, protocol.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}))
	r.awaitReady(len(system.Edges))
	go r.balancer.Run(t.Context())
	return r
}

// stop kills the cluster, and logs the last lines of each log file if the scenario failed.
func (r *rig) stop() {
	r.system.Kill()
	if !r.t.Failed() {
		return
	}
	logs, _ := filepath.Glob(filepath.Join(r.folder, "*.log"))
	for _, path := range logs {
		content, _ := os.ReadFile(path)
		lines := strings.Split(strings.TrimSpace(string(content)), "\n")
		r.t.Logf("%s:\n%s", filepath.Base(path), strings.Join(lines[max(0, len(lines)-tailLines):], "\n"))
	}
}

func (r *rig) within(limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(r.t.Context(), limit)
	r.t.Cleanup(cancel)
	return ctx
}

// configure sets a whole configuration, which must be accepted.
func (r *rig) configure(base uint64, config protocol.Config) {
	r.t.Helper()
	answer, err := r.operator.Set(r.within(startBound), base, config)
	require.NoError(r.t, err)
	require.Equal(r.t, http.StatusOK, answer.Status, "%s", answer.Body)
	r.config = config
}

// patch changes the configuration, which must be accepted.
func (r *rig) patch(patch protocol.Patch) {
	r.t.Helper()
	patch.Version = r.config.Version + 2
	answer, err := r.operator.Patch(r.within(ackBound), r.config, patch)
	require.NoError(r.t, err)
	require.Equal(r.t, http.StatusOK, answer.Status, "%s", answer.Body)
	r.config = r.config.Apply(patch)
}

func (r *rig) awaitReady(edges int) {
	r.t.Helper()
	ctx := r.within(startBound)
	require.Eventually(r.t, func() bool { return r.balancer.Ready(ctx) >= edges }, startBound, 50*time.Millisecond, "the edges did not become ready")
}

// awaitEdge waits until one edge reports that it is ready.
func (r *rig) awaitEdge(i int) {
	r.t.Helper()
	single := client.NewBalancer(r.system.EdgeAddresses()[i : i+1])
	ctx := r.within(startBound)
	require.Eventually(r.t, func() bool { return single.Ready(ctx) == 1 }, startBound, 50*time.Millisecond, "edge %d did not become ready", i)
}

// load sends traffic in the background. wait returns when all messages are answered or abandoned.
func (r *rig) load(duration time.Duration) (wait func()) { return r.loadTraffic(duration, traffic()) }

// loadTraffic is like load, with the given traffic.
func (r *rig) loadTraffic(duration time.Duration, traffic []client.Traffic) (wait func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.clients.Run(r.t.Context(), client.Load{RatePerS: rate, Duration: duration, Traffic: traffic})
	}()
	return func() { <-done }
}

// crash kills processes at the same time, and starts them again after a time. Before the start it calls between, unless
// that is nil, for each.
func (r *rig) crash(processes []*cluster.Process, down time.Duration, between func(*cluster.Process) error) {
	r.t.Helper()
	for _, process := range processes {
		defer r.world.Record.BeginFault(process.Node(), "kill", false)()
	}
	require.NoError(r.t, cluster.Each(processes, (*cluster.Process).Kill))
	time.Sleep(down)
	if between != nil {
		require.NoError(r.t, cluster.Each(processes, between))
	}
	require.NoError(r.t, cluster.Each(processes, func(p *cluster.Process) error { return p.Start(false) }))
}

// roll stops a process gracefully and starts it again.
func (r *rig) roll(process *cluster.Process) {
	r.t.Helper()
	defer r.world.Record.BeginFault(process.Node(), "stop", true)()
	assert.NoError(r.t, process.Stop(grace))
	require.NoError(r.t, process.Start(false))
}

// verify waits until all accepted messages have ended, reads them and the configuration back, and checks all rules.
func (r *rig) verify() check.Summary {
	r.t.Helper()
	record := r.world.Record
	deadline := time.Now().Add(finishBound)
	for len(check.Undelivered(record.History())) > 0 && time.Now().Before(deadline) {
		time.Sleep(100 * time.Millisecond)
	}
	var accepted []history.Send
	for _, send := range record.History().Sends {
		if send.Accepted() {
			accepted = append(accepted, send)
		}
	}
	r.clients.ReadBack(r.within(readBound), accepted)
	r.verifyShownConfig()
	h := record.History()
	summary := check.Summarize(h)
	r.t.Log(summary)
	r.reportFindings(h, check.Undelivered(h))
	r.reportFindings(h, check.All(h, bounds()))
	r.reportFindings(h, unreadableStates(h))
	assert.Empty(r.t, r.system.UnexpectedExits())
	assert.NotZero(r.t, summary.Accepted)
	return summary
}

// Limits on the findings that are reported.
const (
	maxShown     = 8
	maxTimelines = 3
)

// reportFindings fails the scenario if there are findings, and reports the first ones.
func (r *rig) reportFindings(h *history.History, found []check.Finding) {
	r.t.Helper()
	if len(found) == 0 {
		return
	}
	var lines []string
	for i, finding := range found[:min(len(found), maxShown)] {
		lines = append(lines, finding.String())
		if i < maxTimelines {
			lines = append(lines, "  "+strings.Join(check.Timeline(h, finding.Subject), "\n  "))
		}
	}
	r.t.Errorf("%d violations of rules:\n%s", len(found), strings.Join(lines, "\n"))
}

// unreadableStates finds accepted messages whose state could not be read.
func unreadableStates(h *history.History) []check.Finding {
	var found []check.Finding
	for _, reading := range h.Readings {
		if reading.StateStatus != http.StatusOK {
			reason := fmt.Sprintf("request for the state of %s was answered %d", reading.MessageID, reading.StateStatus)
			found = append(found, check.Finding{Rule: check.RuleLost, Subject: reading.RequestID, Reason: reason})
		}
	}
	return found
}

// verifyShownConfig reads the configuration and compares it with the newest acknowledged one.
func (r *rig) verifyShownConfig() {
	r.t.Helper()
	shown, err := r.operator.Show(r.within(ackBound))
	if !assert.NoError(r.t, err) {
		return
	}
	assert.Equal(r.t, r.config.Version, shown.Version)
	assert.Equal(r.t, r.config.Limits, shown.Limits)
	assert.ElementsMatch(r.t, r.config.Routes, shown.Routes)
	assert.ElementsMatch(r.t, r.config.Services, shown.Services)
}

// acceptedSince returns the fraction of the messages sent since the given time that were accepted.
func (r *rig) acceptedSince(since time.Duration) float64 {
	sent, accepted := 0, 0
	for _, send := range r.world.Record.History().Sends {
		if send.Sent < since {
			continue
		}
		sent++
		if send.Accepted() {
			accepted++
		}
	}
	return float64(accepted) / float64(max(sent, 1))
}
