package ravendale

import (
	"testing"
	"time"
)

func TestPendingJobsGoByValueThenAge(t *testing.T) {
	s := testSettings()
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[3].Value = 9
	b := newBench(t, s, ready("a", 0, 0))
	b.arrive(1, 2, 25*time.Second)
	b.arrive(2, 2, 25*time.Second)
	b.end(1, 0, Overloaded) // a turns jobs away from now on
	b.arrive(3, 0, 6*time.Second)
	b.arrive(4, 3, 6*time.Second)
	b.none(Send)
	b.end(2, 0, OK)
	if a := b.one(Send); a.Job != 4 {
		t.Fatalf("job %d goes first, want 4, which is worth most", a.Job)
	}
}
