package lab

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"ravendale/balancer/config"
	scheduling "ravendale/balancer/platform/node"
	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport/nbionet"
)

const small = `<experiment name="small">
  <rules cold-for="2s"/>
  <nodes kind="fast" site="here" count="3" speed="2" cores="4" slots="8" queue="40"/>
  <nodes kind="slow" site="here" count="3" speed="1" cores="4" slots="8" queue="40"/>
  <class name="saldo" effect="idempotent" share="60" work="1ms" give-up="5s" aim="75ms"/>
  <class name="acreditar" effect="keyed" share="20" work="1ms" give-up="5s" aim="75ms"/>
  <class name="canjear" effect="once" share="20" work="1ms" give-up="5s" aim="75ms"/>
  <phase name="p" callers="24" for="1s"/>
  <variant name="v"/>
</experiment>`

// freeAddr returns a loopback address on which nothing listens. It avoids 127.0.0.1, the source address of outgoing
// connections: one of these could take the port.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+rand.IntN(128), rand.IntN(256), 1+rand.IntN(254)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// A complete scheduler, on one core and on several, serves clients over real sockets while two of its nodes are drained and
// restarted. Each request must get exactly one answer, its own, and no at-most-once job may run twice. The test also gives
// the race detector, when enabled, a run with several cores.
func TestSchedulerWhileNodesRestart(t *testing.T) {
	for _, cores := range []int{1, 3} {
		t.Run(fmt.Sprint(cores), func(t *testing.T) { testScheduler(t, cores) })
	}
}

func testScheduler(t *testing.T, cores int) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	x, err := ParseExperiment("small", []byte(small))
	if err != nil {
		t.Fatal(err)
	}
	sched, disc := freeAddr(t), freeAddr(t)
	specs, hosts, sites, kinds := x.buildFleet(func(int) string { return freeAddr(t) })
	clock := scheduler.SystemClock()
	from := clock() + 100*time.Millisecond

	// Discovery.
	loop := scheduler.NewLoop(clock)
	engine := nbionet.New(nbionet.Options{Loop: loop, ConnectTimeout: dialTimeout, Log: log})
	if err := engine.Start(); err != nil {
		t.Fatal(err)
	}
	defer engine.Close()
	listing := newDiscovery(loop, hosts)
	ln, err := nbionet.Listen(disc, 0)
	if err != nil {
		t.Fatal(err)
	}
	engine.Serve(ln, 8, newServer(loop, listing.serve).opened)
	stop := make(chan struct{})
	finished := make(chan struct{})
	go func() { loop.Run(stop); close(finished) }()
	defer func() { close(stop); <-finished }()

	// Nodes.
	spec := FleetSpec{Rules: x.Rules.emulatorRules(), Nodes: specs, Schedulers: []string{sched}, Unsafe: x.atMostOnceClasses()}
	for i, at := range []time.Duration{300 * time.Millisecond, 500 * time.Millisecond} {
		name, at := specs[3*i].Name, from+at
		spec.Restarts = append(spec.Restarts, Restart{name, at + 200*time.Millisecond})
		loop.Post(func() {
			loop.Deadlines.Add(at, func() { listing.updateNode(name, "terminating", 0) })
			loop.Deadlines.Add(at+220*time.Millisecond, func() { listing.updateNode(name, "in_service", at+200*time.Millisecond) })
		})
	}
	ready, fleetStop, fleetReport := make(chan struct{}), make(chan struct{}), make(chan FleetReport, 1)
	go func() {
		report, err := ServeFleet(spec, log, func() { close(ready) }, fleetStop)
		if err != nil {
			t.Error(err)
		}
		fleetReport <- report
	}()
	select {
	case <-ready:
	case <-fleetReport:
		t.FailNow() // ServeFleet failed before the nodes listened
	}

	// The scheduler.
	file, err := x.config(sched, disc, x.settings(sites, kinds))
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Load(func(name string) string { return map[string]string{"PROXY_CONFIG": "f"}[name] },
		func(string) ([]byte, error) { return file, nil })
	if err != nil {
		t.Fatal(err)
	}
	cfg.Cores = cores
	n, err := scheduling.New(cfg, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	schedulerDone := make(chan error, 1)
	go func() { schedulerDone <- n.Run(ctx) }()
	r := &Runner{}
	if err := r.awaitReady(loop, engine, sched); err != nil {
		t.Fatal(err)
	}

	load, err := Drive(LoadSpec{Seed: 1, Schedulers: []string{sched}, Classes: x.requestClasses(), Callers: 24, From: from, Measure: from,
		Till: from + time.Second}, log)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := <-schedulerDone; err != nil {
		t.Error(err)
	}
	close(fleetStop)
	fleet := <-fleetReport
	if load.Served == 0 || load.Wrong+load.Extra+load.Unanswered+load.Broken > 0 || fleet.Duplicates+fleet.Unknown > 0 || len(fleet.Restarted) != 2 {
		t.Errorf("client report %+v; fleet report %+v", load, fleet)
	}
	if got := load.Served + load.Refused + load.Failed; got != load.Asked {
		t.Errorf("%d of %d requests were answered", got, load.Asked)
	}
}

// A fleet whose last address is in use does not start: the error names the address, and no node keeps listening.
func TestServeFleetAddressInUse(t *testing.T) {
	x, err := ParseExperiment("small", []byte(small))
	if err != nil {
		t.Fatal(err)
	}
	specs, _, _, _ := x.buildFleet(func(int) string { return freeAddr(t) })
	last := specs[len(specs)-1].Listen[0]
	taken, err := net.Listen("tcp", last)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	spec := FleetSpec{Rules: x.Rules.emulatorRules(), Nodes: specs, Schedulers: []string{freeAddr(t)}}
	_, err = ServeFleet(spec, slog.New(slog.NewTextHandler(io.Discard, nil)), func() { t.Error("ServeFleet reported that it is ready") }, nil)
	if err == nil || !strings.Contains(err.Error(), last) {
		t.Fatalf("ServeFleet returned %v, not an error that names the address", err)
	}
	again, err := net.Listen("tcp", specs[0].Listen[0])
	if err != nil {
		t.Fatalf("a node still listens: %v", err)
	}
	_ = again.Close()
}
