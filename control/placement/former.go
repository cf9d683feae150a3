package placement

import "slices"

// The functions of this file keep track of which stores may hold accepted writes while a partition has too few complete
// replicas. Stores that are dropped in that time become its former members.

// dropWiped removes stores whose disks were wiped from all partitions.
func (p *plan) dropWiped() {
	for i := range p.partitions {
		partition := &p.partitions[i]
		covering := partition.former
		if !p.config.mutant.ignoreWipedJoining {
			covering = slices.Concat(partition.former, partition.joining)
		}
		partition.covered = partition.covered && !slices.ContainsFunc(covering, func(s *store) bool { return s.wiped })
		partition.dropWiped()
	}
}

func (a *assignment) dropWiped() {
	wiped := func(s *store) bool { return s.wiped }
	a.replicas = without(a.replicas, wiped)
	a.joining = without(a.joining, wiped)
	a.former = without(a.former, wiped)
}

// needsRebuild reports whether a partition must be rebuilt without its complete replicas: they were all wiped, or none
// is live but the former members and joining stores hold all accepted writes. If there are former members, the
// partition waits until all of them and all joining stores are live.
func (a *assignment) needsRebuild() bool {
	live := func(s *store) bool { return s.live }
	if len(a.former) > 0 && len(without(slices.Concat(a.former, a.joining), live)) > 0 {
		return false
	}
	return len(a.replicas) == 0 || a.covered && a.unavailable()
}

// canDropStalled reports whether enough stores are usable to drop those whose disks accept no writes. If not, the plan
// waits for the stalled stores: writes accepted by fewer than Copies members would be on too few disks.
func (p *plan) canDropStalled() bool {
	writable := without(p.stores, func(s *store) bool { return !p.usable(s) })
	return len(writable) >= p.config.Copies && (!p.mustSpread() || p.countDomains(writable) >= p.config.Copies)
}

// dropFailed removes the members that are not live. It also removes stalled members: joining ones always, complete ones
// only if dropStalled is set and another complete replica is live and accepts writes. Removed members become former
// members until enough others are complete.
func (a *assignment) dropFailed(dropStalled bool) {
	working := func(s *store) bool { return s.live && !s.stalled }
	dropStalled = dropStalled && slices.ContainsFunc(a.replicas, working)
	failed := func(s *store) bool { return !s.live || s.stalled && (dropStalled || slices.Contains(a.joining, s)) }
	for _, s := range a.replicas {
		if failed(s) {
			a.covered = true
			a.addFormer(s)
		}
	}
	for _, s := range a.joining {
		if failed(s) {
			a.addFormer(s)
		}
	}
	a.replicas = without(a.replicas, failed)
	a.joining = without(a.joining, failed)
}

// rebuild chooses a new primary for a partition without a complete replica (see needsRebuild). Only the former members
// and the joining stores still hold writes of it: one of them becomes the primary, and the others send it the writes
// that it lacks. If none of them is live, the partition starts empty on another store.
func (p *plan) rebuild(partition *assignment) {
	partition.covered = false
	for _, s := range partition.joining {
		partition.addFormer(s)
	}
	first := slices.IndexFunc(partition.former, func(s *store) bool { return s.live && !s.stalled })
	if first < 0 {
		first = slices.IndexFunc(partition.former, func(s *store) bool { return s.live })
	}
	var primary *store
	if first >= 0 {
		primary = partition.former[first]
	} else {
		primary = p.candidate(partition, false)
	}
	if primary == nil {
		return
	}
	partition.replicas = []*store{primary}
	partition.joining = without(partition.joining, func(s *store) bool { return s == primary })
	partition.former = without(partition.former, func(s *store) bool { return s == primary })
	partition.unsure = len(partition.former) > 0
}

func (a *assignment) addFormer(s *store) {
	if !slices.Contains(a.former, s) {
		a.former = append(a.former, s)
	}
}

// rejoin makes live former members of a partition with an unsure primary joining stores, so that they send the primary
// the writes it lacks.
func (p *plan) rejoin() {
	for i := range p.partitions {
		partition := &p.partitions[i]
		if partition.unavailable() || !partition.unsure {
			continue
		}
		for _, s := range partition.former {
			if s.live && !s.stalled && !partition.hasMember(s) {
				partition.joining = append(partition.joining, s)
				s.load++
			}
		}
	}
}

// clearRejoined removes the former members that are complete replicas now: each of them has sent its writes to the
// unsure primary.
func (a *assignment) clearRejoined() {
	a.former = without(a.former, func(s *store) bool { return slices.Contains(a.replicas, s) })
	a.unsure = a.unsure && len(a.former) > 0
	a.covered = a.covered && len(a.former) > 0
}

// forgetFormer clears the former members of partitions that have enough usable complete replicas. An unsure primary
// needs all of them, so a partition with one keeps them.
func (p *plan) forgetFormer() {
	for i := range p.partitions {
		partition := &p.partitions[i]
		if partition.unavailable() {
			continue
		}
		if !partition.unsure && p.hasEnoughCopies(partition.replicas) || p.config.mutant.forgetFormer {
			partition.former = nil
		}
		partition.clearRejoined()
	}
}

// hasEnoughCopies reports whether at least Copies of the replicas are on usable stores.
func (p *plan) hasEnoughCopies(replicas []*store) bool {
	return len(without(replicas, func(s *store) bool { return !p.usable(s) })) >= p.config.Copies
}

// clearCovered clears the covered flag of partitions with fewer than Copies members: the former members will lack the
// writes that these accept.
func (p *plan) clearCovered() {
	for i := range p.partitions {
		partition := &p.partitions[i]
		if !partition.unavailable() {
			partition.covered = partition.covered && len(partition.members()) >= p.config.Copies
		}
	}
}
