package queue

import (
	"fmt"
	"runtime"
	"testing"

	"ravendale/cluster/wire"
)

// fillCore puts n messages into a core, and finishes them if finish is set.
func fillCore(b *testing.B, n int, finish bool) *driver {
	b.Helper()
	t := &testing.T{}
	r, peer, e := newReadyPrimary(t)
	for i := range n {
		id := fmt.Sprintf("0.1abcdefghijkl-%d", i)
		r.put(plainMsg(id), e)
		if finish {
			r.report(wire.Report{ID: id, Kind: wire.ReportDone, Signature: "s"}, e)
		}
		if i%100 == 0 || i == n-1 {
			r.syncAndAck(peer)
			peer.notifications = peer.notifications[:0]
			e.notifications = nil
		}
	}
	return r
}

func benchmarkMemory(b *testing.B, finish bool) {
	const count = 50_000
	var before, after runtime.MemStats
	var bytes float64
	for range b.N {
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := fillCore(b, count, finish)
		r.records = nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		bytes = float64(after.HeapAlloc) - float64(before.HeapAlloc)
		runtime.KeepAlive(r)
	}
	b.ReportMetric(bytes/count, "B/message")
}

func BenchmarkMemoryPending(b *testing.B) { benchmarkMemory(b, false) }

func BenchmarkMemoryFinished(b *testing.B) { benchmarkMemory(b, true) }

func BenchmarkPut(b *testing.B) {
	b.ReportAllocs()
	fillCore(b, b.N, false)
}
