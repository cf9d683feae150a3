package dispatch

import (
	"time"

	"ravendale/cluster/wire"
)

// replacedTTL is how long a worker is excluded, although it is listed, after another worker was found at its address. It
// exceeds the delay of the worker list.
const replacedTTL = 5 * time.Second

// replacedWorkers holds the listed workers at whose address another worker was found.
type replacedWorkers struct {
	until      map[string]time.Duration // by name: when the worker may be tried again
	nextExpiry time.Duration            // when the first of them may be tried again; 0: none is excluded
}

func (r *replacedWorkers) has(name string) bool {
	_, found := r.until[name]
	return found
}

func (r *replacedWorkers) add(now time.Duration, name string) {
	r.until[name] = now + replacedTTL
	r.updateNextExpiry()
}

// retain removes the workers that are no longer listed.
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
	r.updateNextExpiry()
}

// expire removes the workers that may be tried again, and reports whether there were any.
func (r *replacedWorkers) expire(now time.Duration) bool {
	if r.nextExpiry == 0 || r.nextExpiry > now {
		return false
	}
	for name, until := range r.until {
		if until <= now {
			delete(r.until, name)
		}
	}
	r.updateNextExpiry()
	return true
}

// updateNextExpiry recomputes nextExpiry.
func (r *replacedWorkers) updateNextExpiry() {
	r.nextExpiry = 0
	for _, until := range r.until {
		if r.nextExpiry == 0 || until < r.nextExpiry {
			r.nextExpiry = until
		}
	}
}
