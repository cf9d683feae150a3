package deadline

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestQueueSweepOrderAndDrop(t *testing.T) {
	q := NewQueue()
	var got []string
	note := func(s string) func() { return func() { got = append(got, s) } }
	q.Add(3, note("c"))
	q.Add(1, func() {
		got = append(got, "a")
		q.Add(2, note("added"))
	})
	q.Add(3, note("d"))
	dropped := q.Add(2, note("dropped"))
	q.Drop(dropped)
	q.Drop(dropped)
	q.Drop(nil)
	q.Add(4, note("late"))
	q.Sweep(3)
	if diff := cmp.Diff([]string{"a", "added", "c", "d"}, got); diff != "" {
		t.Error(diff)
	}
	if at, any := q.Next(); !any || at != time.Duration(4) || q.Len() != 1 {
		t.Errorf("next deadline is %v (%v), queue has %d; want 4 of 1", at, any, q.Len())
	}
	q.Sweep(4)
	if _, any := q.Next(); any {
		t.Error("an empty queue has a next deadline")
	}
}
