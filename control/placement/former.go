package placement

import "slices"

// The functions of this file keep count of what lies where while a partition has too few complete replicas: stores that were dropped then are
// its former members.

// dropWiped takes out the stores whose disks are lost.
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

// mayRebuild says whether a partition must do without its complete replicas. Former members that will come back are waited for.
func (a *assignment) mayRebuild() bool {
	live := func(s *store) bool { return s.live }
	if len(a.former) > 0 && len(without(slices.Concat(a.former, a.joining), live)) > 0 {
		return false
	}
	return len(a.replicas) == 0 || a.covered && a.unavailable()
}

// sparesStalled says whether enough stores can write to do without those that can't. Else they are waited for: what fewer than Copies
// members change lies on too few disks.
func (p *plan) sparesStalled() bool {
	writable := without(p.stores, func(s *store) bool { return !p.certain(s) })
	return len(writable) >= p.config.Copies && (!p.strict() || p.domains(writable) >= p.config.Copies)
}

// dropDead takes out the members that don't live, and with spares those that can't write, as long as another complete one can. What they
// have counts until enough others are complete.
func (a *assignment) dropDead(spares bool) {
	works := func(s *store) bool { return s.live && !s.stalled }
	spares = spares && slices.ContainsFunc(a.replicas, works)
	dead := func(s *store) bool { return !s.live || s.stalled && (spares || slices.Contains(a.joining, s)) }
	for _, s := range a.replicas {
		if dead(s) {
			a.covered = true
			a.addFormer(s)
		}
	}
	for _, s := range a.joining {
		if dead(s) {
			a.addFormer(s)
		}
	}
	a.replicas = without(a.replicas, dead)
	a.joining = without(a.joining, dead)
}

// rebuild is for a partition all complete replicas of which have lost their disks: what former members have and joining ones got is all
// there is. One of them becomes the primary, and the others give it what it lacks.
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

// rejoin has former members that live give an unsure primary what it lacks.
func (p *plan) rejoin() {
	for i := range p.partitions {
		partition := &p.partitions[i]
		if partition.unavailable() || !partition.unsure {
			continue
		}
		for _, s := range partition.former {
			if s.live && !s.stalled && !partition.has(s) {
				partition.joining = append(partition.joining, s)
				s.load++
			}
		}
	}
}

// clearRejoined notes the former members that are complete now: each has given an unsure primary what it has.
func (a *assignment) clearRejoined() {
	a.former = without(a.former, func(s *store) bool { return slices.Contains(a.replicas, s) })
	a.unsure = a.unsure && len(a.former) > 0
	a.covered = a.covered && len(a.former) > 0
}

// forgetFormer forgets the former members of partitions of which enough stores that stay are complete. An unsure primary needs all of them.
func (p *plan) forgetFormer() {
	for i := range p.partitions {
		partition := &p.partitions[i]
		if partition.unavailable() {
			continue
		}
		if !partition.unsure && p.enough(partition.replicas) || p.config.mutant.forgetFormer {
			partition.former = nil
		}
		partition.clearRejoined()
	}
}

// enough says whether the replicas that may be counted on suffice: those that have been heard of and are neither to be emptied nor
// about to stop.
func (p *plan) enough(replicas []*store) bool {
	return len(without(replicas, func(s *store) bool { return !p.certain(s) })) >= p.config.Copies
}

// uncover notes the partitions that go on with too few members: what they change lies on these alone.
func (p *plan) uncover() {
	for i := range p.partitions {
		partition := &p.partitions[i]
		if !partition.unavailable() {
			partition.covered = partition.covered && len(partition.members()) >= p.config.Copies
		}
	}
}
