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

// ErrIncompleteEntry is wrapped by the errors for entries without an id, a backend or an address.
var ErrIncompleteEntry = errors.New("entry has no id, backend or address")

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

// Parse decodes one page. Next is the token of the following page, empty after the last one.
func Parse(body []byte) (workers []wire.Worker, next string, err error) {
	var p page
	if err := json.Unmarshal(body, &p); err != nil {
		return nil, "", fmt.Errorf("discovery: decoding a page: %w", err)
	}
	if p.Instances == nil {
		return nil, "", errors.New("discovery: page has no instances list")
	}
	workers = make([]wire.Worker, 0, len(p.Instances))
	for i, entry := range p.Instances {
		if entry.ID == "" || entry.Backend == "" || entry.Address == "" {
			return nil, "", fmt.Errorf("discovery: instances[%d] (id %q): %w", i, entry.ID, ErrIncompleteEntry)
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

func toUint32(value float64) uint32 {
	if !(value > 0) {
		return 0
	}
	return uint32(min(value, 1<<31))
}

// Sort orders entries by service and ID. Of entries with the same ID it keeps only the last one.
func Sort(entries []wire.Worker) *wire.Workers {
	last := make(map[string]int, len(entries))
	for i := range entries {
		last[entries[i].ID] = i
	}
	unique := make([]wire.Worker, 0, len(last))
	for i := range entries {
		if last[entries[i].ID] == i {
			unique = append(unique, entries[i])
		}
	}
	slices.SortFunc(unique, func(a, b wire.Worker) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return &wire.Workers{Entries: unique}
}

// Merge returns the list that replaces old after fresh was read, and whether it differs enough to be published. A
// worker's remaining warm-up is counted from when the worker was first listed: the value stays until the warm-up is
// over, and a change of it alone does not count as a difference.
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
