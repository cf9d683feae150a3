package queue

import (
	"fmt"
	"runtime"
	"testing"

	"ravendale/cluster/wire"
)

// fillCore puts messages into a core, and has them end if wanted.
func fillCore(b *testing.B, n int, end bool) *rig {
	b.Helper()
	t := &testing.T{}
	r, peer, e := primary(t)
	for i := range n {
		id := fmt.Sprintf("0.1abcdefghijkl-%d", i)
		r.put(plain(id), e)
		if end {
			r.report(wire.Report{ID: id, Kind: wire.ReportDone, Signature: "s"}, e)
		}
		if i%100 == 0 || i == n-1 {
			r.syncAndAck(peer)
			peer.notices = peer.notices[:0]
			e.notices = nil
		}
	}
	return r
}

func benchmarkMemory(b *testing.B, end bool) {
	const count = 50_000
	var before, after runtime.MemStats
	var bytes float64
	for range b.N {
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := fillCore(b, count, end)
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
