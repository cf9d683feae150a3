package queue

import (
	"fmt"
	"slices"
	"time"

	"ravendale/store/journal"
)

// simDisk is a simulated disk with a journal. Records that aren't synced may be lost.
type simDisk struct {
	name         string
	sim          *sim
	records      [][]byte
	first        int // index of the first record that is still on disk
	removed      int // index of the first record whose removal wasn't requested
	durable      int
	removes      []simRemove
	owner        *simStore
	incarnation  int
	syncing      bool
	stalledUntil time.Duration // no sync completes before this time
}

// simSegment is the number of records in a segment.
const simSegment = 40

// simRemove is a pending removal: all records before the index first are removed once the records before the index
// after are synced.
type simRemove struct {
	first int
	after int
}

func (d *simDisk) Append(payload []byte) (journal.Location, uint64) {
	d.records = append(d.records, slices.Clone(payload))
	d.sync()
	i := len(d.records) - 1
	return journal.Location{Segment: uint32(i/simSegment) + 1, Offset: uint32(i % simSegment)}, uint64(len(d.records))
}

func (d *simDisk) sync() {
	if d.syncing {
		return
	}
	d.syncing = true
	incarnation := d.incarnation
	d.sim.after(d.sim.between(50*time.Microsecond, 100*time.Microsecond), func() {
		if incarnation != d.incarnation {
			return
		}
		upTo := len(d.records)
		duration := d.sim.between(ms/2, 3*ms)
		if d.sim.random.IntN(10) == 0 {
			duration = d.sim.between(5*ms, 40*ms)
		}
		duration = max(duration, d.stalledUntil-d.sim.now)
		d.sim.after(duration, func() {
			if incarnation != d.incarnation {
				return
			}
			d.durable = max(d.durable, upTo)
			d.remove()
			d.syncing = false
			if d.durable < len(d.records) {
				d.sync()
			}
			d.owner.core.JournalSynced(d.owner.time(), uint64(d.durable))
		})
	})
}

func (d *simDisk) Position() uint64 { return uint64(len(d.records)) }

func (d *simDisk) Read(at journal.Location) ([]byte, error) {
	i := int(at.Segment-1)*simSegment + int(at.Offset)
	if at.Segment == 0 || i < d.first || i >= len(d.records) {
		return nil, fmt.Errorf("no record at %v", at)
	}
	return d.records[i], nil
}

// Remove requests the removal of a segment. It takes effect once all records appended so far are synced.
func (d *simDisk) Remove(segment uint32) {
	d.removed = int(segment) * simSegment
	d.removes = append(d.removes, simRemove{first: d.removed, after: len(d.records)})
	d.remove()
}

func (d *simDisk) remove() {
	for len(d.removes) > 0 && d.removes[0].after <= d.durable {
		d.first = d.removes[0].first
		d.removes = d.removes[1:]
	}
}

func (d *simDisk) Segments() (oldest, newest uint32) {
	return uint32(d.removed/simSegment) + 1, uint32(max(len(d.records)-1, 0)/simSegment) + 1
}

func (d *simDisk) Used() int64 { return int64(len(d.records)-d.removed) * 100 }

// stop ends the current incarnation of the store. If power is set, the store loses power, and a random part of the
// unsynced records is lost.
func (d *simDisk) stop(power bool) {
	d.incarnation++
	d.syncing = false
	if power {
		d.records = d.records[:d.durable+d.sim.random.IntN(len(d.records)-d.durable+1)]
	}
	d.durable = len(d.records)
	d.removes, d.removed = nil, d.first
}
