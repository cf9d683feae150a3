package audit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// slackMs is what clocks that were compared may still be off, and a span that straddles a date may reach over it.
const slackMs = 250

// process is one start of a member: it has a monotonic clock of its own.
type process struct {
	member      string
	incarnation uint64
}

func (p process) compare(q process) int {
	return cmp.Or(cmp.Compare(p.member, q.member), cmp.Compare(p.incarnation, q.incarnation))
}

// clocks is what the records say of the processes' clocks, in milliseconds.
type clocks struct {
	processes []process                       // in the order of their first entries
	own       map[process][]int64             // wall less monotonic clock, at each entry
	between   map[process]map[process][]int64 // the second's monotonic clock less the first's, as peers measured it
}

// readClocks gathers it.
func (a *Audit) readClocks() *clocks {
	c := &clocks{own: make(map[process][]int64), between: make(map[process]map[process][]int64)}
	for _, m := range a.Members {
		for _, e := range a.records[m].Entries {
			p := process{m, e.Incarnation}
			if c.own[p] == nil {
				c.processes = append(c.processes, p)
			}
			c.own[p] = append(c.own[p], e.Wall-e.Mono)
			for peer, seen := range e.Seen {
				if q := (process{peer, seen.Head.Incarnation}); seen.ErrMs < slackMs {
					c.measured(p, q, seen.OffMs)
					c.measured(q, p, -seen.OffMs)
				}
			}
		}
	}
	return c
}

func (c *clocks) measured(p, q process, offset int64) {
	if c.between[p] == nil {
		c.between[p] = make(map[process][]int64)
	}
	c.between[p][q] = append(c.between[p][q], offset)
}

// aligned returns, for each process of the largest set whose clocks were compared with one another, the reference's wall clock less
// the process's monotonic clock. The reference is the set's first process.
func (c *clocks) aligned() map[process]int64 {
	var largest map[process]int64
	seen := make(map[process]bool)
	for _, first := range c.processes {
		if seen[first] {
			continue
		}
		set := c.from(first)
		for p := range set {
			seen[p] = true
		}
		if len(set) > len(largest) {
			largest = set
		}
	}
	return largest
}

// from lays the clocks of all processes that can be reached from one by measurements on that one's wall clock.
func (c *clocks) from(first process) map[process]int64 {
	set := map[process]int64{first: median(c.own[first])}
	for next := []process{first}; len(next) > 0; next = next[1:] {
		p := next[0]
		for _, q := range slices.SortedFunc(maps.Keys(c.between[p]), process.compare) {
			if _, has := set[q]; !has && c.own[q] != nil {
				set[q], next = set[p]-median(c.between[p][q]), append(next, q)
			}
		}
	}
	return set
}

// median sorts values and returns the middle one.
func median(values []int64) int64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// align gives each entry a time by one clock: that of the first member's first process. Each process's monotonic clock, which
// can't step, is laid on it by what peers measured between their monotonic clocks, outwards from that process. Where nothing was
// measured the process's own wall clock is taken, and that is said.
func (a *Audit) align() {
	c := a.readClocks()
	base := c.aligned()
	for _, m := range a.Members {
		r := a.records[m]
		for i := range r.Entries {
			e := &r.Entries[i]
			p := process{m, e.Incarnation}
			offset, known := base[p]
			if e.Unaligned = !known; e.Unaligned {
				offset = median(c.own[p])
				if len(a.Members) > 1 {
					a.find(Unheard, m, fmt.Sprintf("incarnation %d", e.Incarnation), "its clock was compared with nobody's: its times are its own")
				}
			}
			e.When = offset + e.Mono
		}
	}
	a.order()
}

// order lays all entries on one timeline, causes before effects: by stamp, but never before an earlier entry of the same member.
func (a *Audit) order() {
	type stamped struct {
		stamp Stamp
		entry *PlacedEntry
	}
	var ordered []stamped
	for _, m := range a.Members {
		var last Stamp
		for i := range a.records[m].Entries {
			e := &a.records[m].Entries[i]
			if e.At.Compare(last) > 0 {
				last = e.At
			}
			ordered = append(ordered, stamped{last, e})
		}
	}
	slices.SortStableFunc(ordered, func(x, y stamped) int {
		return cmp.Or(x.stamp.Compare(y.stamp), cmp.Compare(x.entry.Member, y.entry.Member),
			cmp.Compare(x.entry.Incarnation, y.entry.Incarnation), cmp.Compare(x.entry.Seq, y.entry.Seq))
	})
	for _, s := range ordered {
		a.Timeline = append(a.Timeline, *s.entry)
	}
}
