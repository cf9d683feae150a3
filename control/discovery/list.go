package discovery

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"ravendale/cluster/wire"
)

const stateDraining = "draining"

// ErrEntry is wrapped by errors of entries that lack something.
var ErrEntry = errors.New("entry is incomplete")

type page struct {
	Instances []instance `json:"instances"`
	NextToken *string    `json:"nextToken"`
}

type instance struct {
	ID       string  `json:"id"`
	Backend  string  `json:"backend"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version"`
	Capacity float64 `json:"capacity"`
	State    string  `json:"state"`
	WarmupMs float64 `json:"warmupMs"`
}

// Parse reads one page. Next is the token of the following page, empty after the last one.
func Parse(body []byte) (workers []wire.Worker, next string, err error) {
	var p page
	if err := json.Unmarshal(body, &p); err != nil {
		return nil, "", fmt.Errorf("discovery: page: %w", err)
	}
	if p.Instances == nil {
		return nil, "", errors.New("discovery: page has no instances")
	}
	workers = make([]wire.Worker, 0, len(p.Instances))
	for i, entry := range p.Instances {
		if entry.ID == "" || entry.Backend == "" || entry.Address == "" {
			return nil, "", fmt.Errorf("discovery: instances[%d] (id %q): %w", i, entry.ID, ErrEntry)
		}
		workers = append(workers, entry.worker())
	}
	if p.NextToken != nil {
		next = *p.NextToken
	}
	return workers, next, nil
}

func (e *instance) worker() wire.Worker {
	return wire.Worker{
		ID: e.ID, Service: e.Backend, Address: e.Address, Zone: e.Zone, Version: e.Version,
		Capacity: toUint32(e.Capacity), Draining: e.State == stateDraining, WarmupMillis: toUint32(e.WarmupMs),
	}
}

func toUint32(figure float64) uint32 {
	if !(figure > 0) {
		return 0
	}
	return uint32(min(figure, 1<<31))
}

// Sort orders entries, and keeps of those with the same id the last one.
func Sort(entries []wire.Worker) *wire.Workers {
	last := make(map[string]int, len(entries))
	for i := range entries {
		last[entries[i].ID] = i
	}
	kept := make([]wire.Worker, 0, len(last))
	for i := range entries {
		if last[entries[i].ID] == i {
			kept = append(kept, entries[i])
		}
	}
	slices.SortFunc(kept, func(a, b wire.Worker) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return &wire.Workers{Entries: kept}
}

// Merge says what follows old once fresh was read, and whether that is worth telling. What remains of a warm-up counts from when
// a worker was first seen: it does not change until it is over, and is not worth telling by itself.
func Merge(old, fresh *wire.Workers) (merged *wire.Workers, changed bool) {
	if old == nil {
		return fresh, true
	}
	warmups := make(map[string]uint32, len(old.Entries))
	for i := range old.Entries {
		warmups[old.Entries[i].ID] = old.Entries[i].WarmupMillis
	}
	merged = &wire.Workers{Entries: slices.Clone(fresh.Entries)}
	for i := range merged.Entries {
		entry := &merged.Entries[i]
		if first, known := warmups[entry.ID]; known && entry.WarmupMillis > 0 {
			entry.WarmupMillis = first
		}
	}
	return merged, !slices.EqualFunc(old.Entries, merged.Entries, equalButWarmup)
}

func equalButWarmup(a, b wire.Worker) bool {
	a.WarmupMillis, b.WarmupMillis = 0, 0
	return a == b
}
