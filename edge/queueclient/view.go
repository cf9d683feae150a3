package queueclient

import (
	"slices"
	"time"

	"ravendale/cluster/host"
	"ravendale/cluster/wire"
)

// view is a placement together with the stores in it. It is immutable.
type view struct {
	*wire.StoreView
	stores  []*store // by index in StoreView.Stores
	host    host.Host
	ownZone []uint16 // partitions whose primary is in the edge's zone
}

func ownPartitions(v *wire.StoreView, zone string) []uint16 {
	var own []uint16
	for i, p := range v.Partitions {
		if len(p.Replicas) > 0 && int(p.Replicas[0]) < len(v.Stores) && v.Stores[p.Replicas[0]].Zone == zone {
			own = append(own, uint16(i))
		}
	}
	return own
}

// replicas returns the stores of a partition, the primary first.
func (v *view) replicas(partition uint16) []*store {
	if int(partition) >= len(v.Partitions) {
		return nil
	}
	var found []*store
	for _, i := range v.Partitions[partition].Replicas {
		if int(i) < len(v.stores) {
			found = append(found, v.stores[i])
		}
	}
	return found
}

func (v *view) primary(partition uint16) *store {
	if int(partition) >= len(v.Partitions) {
		return nil
	}
	replicas := v.Partitions[partition].Replicas
	if len(replicas) == 0 || int(replicas[0]) >= len(v.stores) {
		return nil
	}
	return v.stores[replicas[0]]
}

func (v *view) isPrimary(s *store, id string) bool {
	partition, ok := wire.PartitionOf(id)
	return ok && v.primary(partition) == s
}

// isAvailable reports whether a partition has stores and none of them is suspect.
func (v *view) isAvailable(partition uint16, now time.Duration) bool {
	replicas := v.Partitions[partition].Replicas
	for _, i := range replicas {
		if int(i) >= len(v.stores) || v.stores[i].isSuspect(now) {
			return false
		}
	}
	return len(replicas) > 0
}

// mayAttempt reports whether a put to the partition may be attempted now. While one of its stores is suspect, only one
// put at a time is sent there: further puts would probably get no answer either, and their clients are better off with
// an early rejection.
func (v *view) mayAttempt(partition uint16, now time.Duration) bool {
	for _, s := range v.replicas(partition) {
		if time.Duration(s.suspectUntil.Load()) > now {
			return v.primary(partition).unanswered.Load() == 0
		}
	}
	return true
}

// choose picks a random partition for an unordered message. It prefers an available partition (no replica is suspect)
// whose primary is in the edge's zone, then any available partition, then any partition whose primary is connected.
// Partitions that were attempted before come last. While another attempt may still be answered, only available
// partitions that were not attempted qualify.
func (v *view) choose(now time.Duration, attempted []uint16, pending bool) (uint16, bool) {
	everywhere := func(i int) uint16 { return uint16(i) }
	ownZone := func(i int) uint16 { return v.ownZone[i] }
	available := func(p uint16) bool { return v.isAvailable(p, now) }
	connected := func(p uint16) bool { s := v.primary(p); return s != nil && s.conn() != nil }
	for _, untried := range []bool{true, false} {
		skip := func(p uint16) bool { return untried && slices.Contains(attempted, p) }
		if p, ok := v.pick(len(v.ownZone), ownZone, skip, available); ok {
			return p, true
		}
		if p, ok := v.pick(len(v.Partitions), everywhere, skip, available); ok {
			return p, true
		}
		if pending {
			break
		}
		if p, ok := v.pick(len(v.Partitions), everywhere, skip, connected); ok {
			return p, true
		}
	}
	return 0, false
}

// pick returns the first suitable of count partitions, starting at a random one and skipping those for which skip holds.
func (v *view) pick(count int, at func(int) uint16, skip, suitable func(uint16) bool) (uint16, bool) {
	if count == 0 {
		return 0, false
	}
	start := int(v.host.Uint64() % uint64(count))
	for i := range count {
		if p := at((start + i) % count); !skip(p) && suitable(p) {
			return p, true
		}
	}
	return 0, false
}
