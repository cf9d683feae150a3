package discovery

import (
	"time"

	"ravendale/cluster/wire"
)

const (
	outageInterval = 200 * time.Millisecond // between the starts of reads while a service lacks most of its workers
	outageTimeout  = 30 * time.Second       // ... for so long: workers that are missing for longer are taken for removed
)

// outages are the services that lists have shown, by name, and whether they have lost most of their workers.
type outages map[string]*outage

// outage is what is known of one service.
type outage struct {
	usual int           // ready workers, but while it waits for them to come back
	since time.Duration // when most of them were found missing; 0: it does not wait
}

// saw takes a list that was read at a time, and says whether a service had lost most of its workers a short while ago: their
// successors are waited for, and each interval between two reads is time in which nothing of the service runs.
func (o *outages) saw(list *wire.Workers, at time.Duration) bool {
	ready := readyByService(list)
	if *o == nil {
		*o = make(outages)
	}
	for name := range ready {
		if (*o)[name] == nil {
			(*o)[name] = &outage{}
		}
	}
	waits := false
	for name, s := range *o {
		s.saw(ready[name], at)
		if s.usual == 0 {
			delete(*o, name)
		}
		waits = waits || s.since > 0
	}
	return waits
}

// saw begins to wait when most workers have left between two reads, and ends when as many are back, or after a time.
func (s *outage) saw(ready int, at time.Duration) {
	switch {
	case s.since == 0 && 2*ready < s.usual:
		s.since = max(at, 1)
	case s.since == 0 || ready >= s.usual || at >= s.since+outageTimeout:
		s.usual, s.since = ready, 0
	}
}

// readyByService counts the workers that may be sent to.
func readyByService(list *wire.Workers) map[string]int {
	ready := make(map[string]int)
	for i := range list.Entries {
		if !list.Entries[i].Draining {
			ready[list.Entries[i].Service]++
		}
	}
	return ready
}
