package slopes

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/catalog"
	"ravendale/cluster/relay"
	"ravendale/cluster/relay/delta"
	"ravendale/cluster/wire"
	"ravendale/control/discovery"
	"ravendale/control/placement"
	"ravendale/control/registry"
	"ravendale/edge/dispatch"
	"ravendale/edge/worker"
)

// Fleet sizes at which the benchmarks run.
var (
	fleetSizes  = []int{30, 100, 300, 1000, 3000, 10_000}
	workerSizes = []int{1000, 10_000, 100_000}
	storeSizes  = []int{10, 30, 100, 300}
)

func members(count int) *wire.Members {
	const zones, regions = 31, 12
	list := &wire.Members{}
	for i := range count {
		zone := i * zones / count
		list.Edges = append(list.Edges, wire.Edge{
			ID: fmt.Sprintf("%05d-1-edge", i), Node: fmt.Sprintf("edge-zone-%02d-%05d", zone, i),
			Address: fmt.Sprintf("10.%d.%d.%d:17241", i>>16, i>>8&255, i&255),
			Zone:    fmt.Sprintf("zone-%02d", zone), Region: fmt.Sprintf("region-%02d", zone*regions/zones), Ready: true,
		})
	}
	return list
}

// zonesOf returns the zones of the members, which must be sorted by zone.
func zonesOf(list *wire.Members) []string {
	var zones []string
	for _, edge := range list.Edges {
		if len(zones) == 0 || zones[len(zones)-1] != edge.Zone {
			zones = append(zones, edge.Zone)
		}
	}
	return zones
}

func workers(count, services int) []wire.Worker {
	entries := make([]wire.Worker, count)
	for i := range entries {
		entries[i] = wire.Worker{
			ID: fmt.Sprintf("i-%011d", i), Service: service(i % max(services, 1)), Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
			Zone: fmt.Sprintf("zone-%02d", i%31), Version: "v12", Capacity: 8, WarmupMillis: 3000,
		}
	}
	return entries
}

func encoded(b *testing.B, message interface{ MarshalMsg([]byte) ([]byte, error) }) []byte {
	b.Helper()
	payload, err := message.MarshalMsg(nil)
	require.NoError(b, err)
	return payload
}

func runForFleetSizes(b *testing.B, run func(b *testing.B, count int)) {
	for _, count := range fleetSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) { run(b, count) })
	}
}

// BenchmarkRenewal measures what the leader's registry does for each renewal and the tick after it.
func BenchmarkRenewal(b *testing.B) {
	runForFleetSizes(b, func(b *testing.B, count int) {
		r := registry.New(registry.DefaultConfig(time.Hour))
		var renewals []*wire.Renew
		for _, edge := range members(count).Edges {
			renewals = append(renewals, &wire.Renew{Member: wire.Member{
				ID: edge.ID, Node: edge.Node, Address: edge.Address, Zone: edge.Zone, Region: edge.Region, Edge: true, Ready: true,
			}})
		}
		for i, renew := range renewals {
			r.Renew(0, uint64(i+1), renew)
		}
		now := time.Duration(0)
		i := 0
		for b.Loop() {
			r.Renew(now, uint64(i+1), renewals[i])
			r.Tick(now)
			i = (i + 1) % count
			now += time.Microsecond
		}
	})
}

// BenchmarkListMembers measures what the leader does for each change of the members topic: encode the list and its delta.
func BenchmarkListMembers(b *testing.B) {
	runForFleetSizes(b, func(b *testing.B, count int) {
		list := members(count)
		before := encoded(b, list)
		list.Edges[count/2].Ready = false
		var change []byte
		for b.Loop() {
			payload := encoded(b, list)
			var err error
			change, err = delta.Make(before, payload)
			require.NoError(b, err)
		}
		b.ReportMetric(float64(len(before)), "B/whole")
		b.ReportMetric(float64(len(change)), "B/change")
	})
}

// BenchmarkTakeMembers measures what each scheduler does for each change of the members topic: apply the delta, decode the list,
// find its relay parents.
func BenchmarkTakeMembers(b *testing.B) {
	runForFleetSizes(b, func(b *testing.B, count int) {
		list := members(count)
		before := encoded(b, list)
		list.Edges[count/2].Ready = false
		change, err := delta.Make(before, encoded(b, list))
		require.NoError(b, err)
		last := list.Edges[count-1]
		self := wire.Member{ID: last.ID, Zone: last.Zone, Edge: true}
		b.ReportAllocs()
		for b.Loop() {
			whole, err := delta.Apply(before, change)
			require.NoError(b, err)
			decoded := new(wire.Members)
			_, err = decoded.UnmarshalMsg(whole)
			require.NoError(b, err)
			relay.Parents(self, decoded, 0, "leader")
		}
	})
}

// BenchmarkWorkers measures what the leader and each scheduler do for each change of the platform's list of workers.
func BenchmarkWorkers(b *testing.B) {
	for _, count := range workerSizes {
		b.Run(fmt.Sprintf("leader/%d", count), func(b *testing.B) { benchmarkLeaderWorkers(b, count) })
		b.Run(fmt.Sprintf("scheduler/%d", count), func(b *testing.B) { benchmarkSchedulerWorkers(b, count) })
	}
}

func benchmarkLeaderWorkers(b *testing.B, count int) {
	old := discovery.Sort(workers(count, count/100))
	fresh := workers(count, count/100)
	fresh[count/2].Draining = true
	var whole, change []byte
	before := encoded(b, old)
	for b.Loop() {
		merged, changed := discovery.Merge(old, discovery.Sort(fresh))
		require.True(b, changed)
		whole = encoded(b, merged)
		var err error
		change, err = delta.Make(before, whole)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(len(whole))/float64(count), "B/worker")
	b.ReportMetric(float64(len(change)), "B/change")
}

func benchmarkSchedulerWorkers(b *testing.B, count int) {
	list := discovery.Sort(workers(count, count/100))
	before := encoded(b, list)
	list.Entries[count/2].Draining = true
	change, err := delta.Make(before, encoded(b, list))
	require.NoError(b, err)
	list = nil
	decoded := new(wire.Workers)
	empty := heapInUse()
	for b.Loop() {
		whole, err := delta.Apply(before, change)
		require.NoError(b, err)
		decoded = new(wire.Workers)
		_, err = decoded.UnmarshalMsg(whole)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(heapInUse()-empty)/float64(count), "B-memory/worker")
	runtime.KeepAlive(decoded)
	runtime.KeepAlive(before)
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkPlacement measures how the leader plans the placement after one store has failed.
func BenchmarkPlacement(b *testing.B) {
	for _, count := range storeSizes {
		for _, partitions := range []int{64, 1024} {
			b.Run(fmt.Sprintf("%d-stores/%d-partitions", count, partitions), func(b *testing.B) { benchmarkPlacement(b, count, partitions) })
		}
	}
}

func benchmarkPlacement(b *testing.B, count, partitions int) {
	var live []placement.Store
	for i := range count {
		name := fmt.Sprintf("store-%05d", i)
		live = append(live, placement.Store{Disk: "disk-" + name, Node: name, Address: name + ":1", Zone: fmt.Sprintf("zone-%02d", i%31), Region: "region"})
	}
	config := placement.Config{Copies: 2, Partitions: partitions}
	view, founded := placement.Plan(nil, live, config)
	require.True(b, founded)
	for b.Loop() {
		_, changed := placement.Plan(view, live[1:], config)
		require.True(b, changed)
	}
	b.ReportMetric(float64(len(encoded(b, view))), "B/view")
}

// BenchmarkPlane measures what an edge's dispatchers do for each change of the list of members and of the list of workers. There
// are ten workers per edge.
func BenchmarkPlane(b *testing.B) {
	for _, count := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprintf("members/%d", count), func(b *testing.B) {
			plane, list, _ := newPlane(b, count)
			i := 0
			for b.Loop() {
				changed := append([]wire.Edge(nil), list.Edges...)
				changed[i%count].Ready = false
				plane.SetEdges(changed)
				i++
			}
		})
		b.Run(fmt.Sprintf("workers/%d", count), func(b *testing.B) {
			plane, _, entries := newPlane(b, count)
			i := 0
			for b.Loop() {
				changed := append([]wire.Worker(nil), entries.Entries...)
				changed[i%len(changed)].Draining = true
				plane.SetWorkers(&wire.Workers{Entries: changed})
				i++
			}
		})
	}
}

func newPlane(b *testing.B, count int) (*dispatch.Manager, *wire.Members, *wire.Workers) {
	const services, workersEach = 3, 10
	list := members(count)
	self := list.Edges[count/2]
	client := worker.NewClient()
	b.Cleanup(client.Close)
	plane := dispatch.NewManager(dispatch.Config{
		Topology: dispatch.Topology{Edge: self.ID, Zone: self.Zone, Zones: zonesOf(list)}, Window: 5 * time.Second, Overshoot: 1.1,
		MaxBodyBytes: 1 << 20,
	}, client)
	b.Cleanup(plane.Close)
	config, err := catalog.Parse(document(1, services, services))
	require.NoError(b, err)
	entries := discovery.Sort(workers(workersEach*count, services))
	plane.ApplyConfig(catalog.NewIndex(config))
	plane.SetEdges(list.Edges)
	plane.SetWorkers(entries)
	return plane, list, entries
}

// BenchmarkEndpoints measures what an edge's dispatcher does for a change of one member, one worker or one route. Most services
// are endpoints with a rate limit that all edges share. Each iteration makes a different change.
func BenchmarkEndpoints(b *testing.B) {
	for _, edges := range []int{70, 300, 1000} {
		for _, services := range []int{60, 300, 1200} {
			name := fmt.Sprintf("%d-edges/%d-services", edges, services)
			b.Run("member/"+name, func(b *testing.B) { benchmarkEndpointsMember(b, edges, services) })
			b.Run("worker/"+name, func(b *testing.B) { benchmarkEndpointsWorker(b, edges, services) })
			b.Run("route/"+name, func(b *testing.B) { benchmarkEndpointsRoute(b, edges, services) })
		}
	}
}

func benchmarkEndpointsMember(b *testing.B, edges, services int) {
	core, list, _, _ := newEndpointsCore(b, edges, services)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		removed := i % (edges / 2) // never the edge itself
		core.SetEdges(time.Duration(i)*time.Millisecond, slices.Delete(slices.Clone(list.Edges), removed, removed+1))
	}
}

func benchmarkEndpointsWorker(b *testing.B, edges, services int) {
	core, _, entries, _ := newEndpointsCore(b, edges, services)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		changed := slices.Clone(entries.Entries)
		changed[i%len(changed)].Draining = true
		core.SetWorkers(time.Duration(i)*time.Millisecond, &wire.Workers{Entries: changed})
	}
}

func benchmarkEndpointsRoute(b *testing.B, edges, services int) {
	core, _, _, config := newEndpointsCore(b, edges, services)
	var indexes []*catalog.Index
	for i := range 2 {
		changed := *config
		changed.Routes = slices.Clone(config.Routes)
		changed.Routes[0].TimeoutMs += float64(i)
		indexes = append(indexes, catalog.NewIndex(&changed))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		core.ApplyConfig(time.Duration(i)*time.Millisecond, indexes[i%len(indexes)])
	}
}

// newEndpointsCore returns a dispatcher core with two services that have listed workers, one worker per edge; all other services
// are endpoints.
func newEndpointsCore(b *testing.B, edges, services int) (*dispatch.Core, *wire.Members, *wire.Workers, *catalog.Config) {
	b.Helper()
	const listed = 2
	config := &catalog.Config{Version: 1}
	for i := range services {
		entry := catalog.Service{Name: service(i), MaxConns: 34}
		if i >= listed {
			entry.RatePerS, entry.Endpoint = 75, fmt.Sprintf("10.9.%d.%d:80", i>>8, i&255)
		}
		config.Services = append(config.Services, entry)
		config.Routes = append(config.Routes, catalog.Route{
			Name: fmt.Sprint("route-", i), Host: "h.example", PathPrefix: fmt.Sprintf("/%d/", i), Type: dispatch.DeferredType, Service: entry.Name, TimeoutMs: 800, RetentionS: 90,
		})
	}
	list := members(edges)
	self := list.Edges[edges/2]
	core := dispatch.NewCore(dispatch.Config{
		Topology: dispatch.Topology{Edge: self.ID, Zone: self.Zone, Zones: zonesOf(list)}, Window: 5 * time.Second, Overshoot: 1.1,
		MaxBodyBytes: 1 << 20, Seed: 1,
	})
	entries := discovery.Sort(workers(edges, listed))
	core.SetEdges(0, list.Edges)
	core.ApplyConfig(0, catalog.NewIndex(config))
	core.SetWorkers(0, entries)
	return core, list, entries, config
}

// BenchmarkDeliveries measures what an edge's dispatcher does for a message from its acceptance to its acknowledgement, with the
// given number of services, of which only one has work.
func BenchmarkDeliveries(b *testing.B) {
	for _, services := range []int{3, 60, 300, 1200} {
		b.Run(fmt.Sprint(services), func(b *testing.B) { benchmarkDeliveries(b, services) })
	}
}

func benchmarkDeliveries(b *testing.B, services int) {
	core, _, _, _ := newEndpointsCore(b, 70, services)
	message := &wire.Message{RequestID: "r", Method: "POST", Host: "h.example", Target: "/0/", RetentionMs: 90_000, Body: []byte("body")}
	now := time.Second
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += time.Millisecond
		accepted := *message
		accepted.ID = fmt.Sprint("0.", i)
		actions := core.Accept(now, &accepted, false)
		core.Next()
		for _, action := range actions {
			if deliver, ok := action.(dispatch.Deliver); ok {
				core.FinishAttempt(now, deliver.Job, deliver.Attempt, worker.Result{Outcome: worker.Done, Signature: "s"})
				core.Next()
			}
		}
		core.Acknowledged(now, accepted.ID)
		core.Next()
	}
}
