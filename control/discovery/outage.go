package discovery

import (
	"time"

	"ravendale/cluster/wire"
)

const (
	outageInterval = 200 * time.Millisecond // between the starts of reads while a service is missing most of its workers
	outageTimeout  = 30 * time.Second       // maximum length of an outage: workers that are missing for longer count as removed
)

// outages maps the name of each service that has been listed to its outage state.
type outages map[string]*outage

// outage records whether one service is missing most of its workers.
type outage struct {
	readyBefore int           // ready workers in the newest list, or, during an outage, in the last list before it
	since       time.Duration // when the outage was detected; 0: there is no outage
}

// observe records a list that was read at a given time, and returns whether any service is in an outage. During an
// outage the list is read more often, because the service may have no worker to run on until the replacements are
// discovered.
func (o *outages) observe(list *wire.Workers, at time.Duration) bool {
	ready := readyByService(list)
	if *o == nil {
		*o = make(outages)
	}
	for name := range ready {
		if (*o)[name] == nil {
			(*o)[name] = &outage{}
		}
	}
	inOutage := false
	for name, s := range *o {
		s.observe(ready[name], at)
		if s.readyBefore == 0 {
			delete(*o, name)
		}
		inOutage = inOutage || s.since > 0
	}
	return inOutage
}

// observe starts an outage when more than half of the ready workers have disappeared between two reads. It ends the
// outage when as many workers are ready as before, or after outageTimeout.
func (s *outage) observe(ready int, at time.Duration) {
	switch {
	case s.since == 0 && 2*ready < s.readyBefore:
		s.since = max(at, 1)
	case s.since == 0 || ready >= s.readyBefore || at >= s.since+outageTimeout:
		s.readyBefore, s.since = ready, 0
	}
}

// readyByService counts the workers of each service that accept new jobs, that is, those that are not draining.
func readyByService(list *wire.Workers) map[string]int {
	ready := make(map[string]int)
	for i := range list.Entries {
		if !list.Entries[i].Draining {
			ready[list.Entries[i].Service]++
		}
	}
	return ready
}
