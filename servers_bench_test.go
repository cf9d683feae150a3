package ravendale

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkServers is what one job costs the module, from its arrival to its end, by how many workers are listed.
func BenchmarkServers(b *testing.B) {
	for _, n := range []int{10, 60, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d, err := New(startSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			now, acts := time.Hour, []Action(nil)
			acts = d.Handle(now, &Event{Kind: WorkersListed, List: Full, Entries: kinds(n)}, acts)
			for i := range b.N {
				now += 100 * time.Millisecond
				id := JobID(i)
				acts = d.Handle(now, &Event{Kind: JobArrived, Job: id, Class: 0, Tenant: -1, Left: 5 * time.Second}, acts[:0])
				now += time.Millisecond
				acts = d.Handle(now, &Event{Kind: JobStarted, Job: id}, acts[:0])
				acts = d.Handle(now, &Event{Kind: AttemptEnded, Job: id, Outcome: OK, Closed: true}, acts[:0])
			}
		})
	}
}
