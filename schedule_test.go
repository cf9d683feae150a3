package ravendale

import (
	"testing"
	"time"
)

func TestPendingJobsAreSentByValueThenAge(t *testing.T) {
	s := testSettings()
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[3].Value = 9
	b := newTestBench(t, s, readyEntry("a", 0, 0))
	b.arrive(1, 2, 25*time.Second)
	b.arrive(2, 2, 25*time.Second)
	b.endAttempt(1, 0, Overloaded) // worker a counts as full from now on
	b.arrive(3, 0, 6*time.Second)
	b.arrive(4, 3, 6*time.Second)
	b.requireNone(Send)
	b.endAttempt(2, 0, OK)
	if a := b.requireOne(Send); a.Job != 4 {
		t.Fatalf("job %d is sent first, want 4, which has the highest value", a.Job)
	}
}
