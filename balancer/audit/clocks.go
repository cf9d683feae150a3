package audit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// slackMs is the tolerance, in milliseconds, for the remaining error of aligned clocks, and for spans that extend past a
// deadline.
const slackMs = 250

// process is one process of a member. Each has its own monotonic clock.
type process struct {
	member      string
	incarnation uint64
}

func (p process) compare(q process) int {
	return cmp.Or(cmp.Compare(p.member, q.member), cmp.Compare(p.incarnation, q.incarnation))
}

// clocks holds the measurements of the processes' clocks in the records, in milliseconds.
type clocks struct {
	processes   []process                       // in the order of their first entries
	ownOffsets  map[process][]int64             // wall clock minus monotonic clock, at each entry
	peerOffsets map[process]map[process][]int64 // the second's monotonic clock minus the first's, as measured by either
}

// readClocks collects the measurements from all records.
func (a *Audit) readClocks() *clocks {
	c := &clocks{ownOffsets: make(map[process][]int64), peerOffsets: make(map[process]map[process][]int64)}
	for _, m := range a.Members {
		for _, e := range a.records[m].Entries {
			p := process{m, e.Incarnation}
			if c.ownOffsets[p] == nil {
				c.processes = append(c.processes, p)
			}
			c.ownOffsets[p] = append(c.ownOffsets[p], e.Wall-e.Mono)
			for peer, seen := range e.Seen {
				if q := (process{peer, seen.Head.Incarnation}); seen.ErrMs < slackMs {
					c.addMeasurement(p, q, seen.OffMs)
					c.addMeasurement(q, p, -seen.OffMs)
				}
			}
		}
	}
	return c
}

func (c *clocks) addMeasurement(p, q process, offset int64) {
	if c.peerOffsets[p] == nil {
		c.peerOffsets[p] = make(map[process][]int64)
	}
	c.peerOffsets[p][q] = append(c.peerOffsets[p][q], offset)
}

// aligned returns, for each process of the largest set connected by measurements, the reference's wall clock minus the
// process's monotonic clock. The reference is the first process of the set.
func (c *clocks) aligned() map[process]int64 {
	var largest map[process]int64
	seen := make(map[process]bool)
	for _, first := range c.processes {
		if seen[first] {
			continue
		}
		set := c.alignFrom(first)
		for p := range set {
			seen[p] = true
		}
		if len(set) > len(largest) {
			largest = set
		}
	}
	return largest
}

// alignFrom aligns all processes that are connected to first by measurements with the wall clock of first.
func (c *clocks) alignFrom(first process) map[process]int64 {
	set := map[process]int64{first: median(c.ownOffsets[first])}
	for next := []process{first}; len(next) > 0; next = next[1:] {
		p := next[0]
		for _, q := range slices.SortedFunc(maps.Keys(c.peerOffsets[p]), process.compare) {
			if _, has := set[q]; !has && c.ownOffsets[q] != nil {
				set[q], next = set[p]-median(c.peerOffsets[p][q]), append(next, q)
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

// align sets the time of each entry by a single clock, the wall clock of the reference process. Offsets between the
// monotonic clocks of processes, which can't step, are taken from the peers' measurements, starting from the reference.
// A process without measurements uses its own wall clock; its entries are marked Unaligned, and with several members a
// finding says so.
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
				offset = median(c.ownOffsets[p])
				if len(a.Members) > 1 {
					a.addFinding(UnmeasuredClock, m, fmt.Sprintf("incarnation %d", e.Incarnation), "its clock was compared with nobody's: its times are its own")
				}
			}
			e.When = offset + e.Mono
		}
	}
	a.order()
}

// order sorts all entries into one timeline, causes before effects: by stamp, but never before an earlier entry of the
// same member.
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
