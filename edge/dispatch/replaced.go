package dispatch

import (
	"time"

	"ravendale/cluster/wire"
)

// replacedFor is how long a worker whose address another has is excluded, though it is listed. It is longer than the list lags behind.
const replacedFor = 5 * time.Second

// replacedWorkers are listed workers whose address another has by now.
type replacedWorkers struct {
	until map[string]time.Duration // by name
	next  time.Duration            // when the first of them may be tried again; 0: there is none
}

func (r *replacedWorkers) has(name string) bool {
	_, is := r.until[name]
	return is
}

func (r *replacedWorkers) add(now time.Duration, name string) {
	r.until[name] = now + replacedFor
	r.updateNext()
}

// retain forgets all that are not listed any more.
func (r *replacedWorkers) retain(workers *wire.Workers) {
	if len(r.until) == 0 {
		return
	}
	listed := make(map[string]bool)
	for i := range workers.Entries {
		listed[workers.Entries[i].ID] = true
	}
	for name := range r.until {
		if !listed[name] {
			delete(r.until, name)
		}
	}
	r.updateNext()
}

// expire forgets those whose time is over, and reports whether there were any.
func (r *replacedWorkers) expire(now time.Duration) bool {
	if r.next == 0 || r.next > now {
		return false
	}
	for name, until := range r.until {
		if until <= now {
			delete(r.until, name)
		}
	}
	r.updateNext()
	return true
}

// updateNext recomputes next.
func (r *replacedWorkers) updateNext() {
	r.next = 0
	for _, until := range r.until {
		if r.next == 0 || until < r.next {
			r.next = until
		}
	}
}
