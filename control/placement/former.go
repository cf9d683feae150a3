package placement

import "slices"

// The functions of this file keep count of what lies where while a partition has too few whole copies: stores that were dropped then are
// its former members.

// dropWiped takes out the stores whose disks are lost.
func (p *plan) dropWiped() {
	for i := range p.partitions {
		p.partitions[i].dropWiped()
	}
}

func (p *partition) dropWiped() {
	gone := func(s *store) bool { return s.gone }
	p.covered = p.covered && !slices.ContainsFunc(p.former, gone)
	p.replicas = without(p.replicas, gone)
	p.joining = without(p.joining, gone)
	p.former = without(p.former, gone)
}

// mayStartAnew says whether a partition must do without its whole replicas. Former members that will come back are waited for.
func (p *partition) mayStartAnew() bool {
	live := func(s *store) bool { return s.live }
	if len(p.former) > 0 && len(without(slices.Concat(p.former, p.joining), live)) > 0 {
		return false
	}
	return len(p.replicas) == 0 || p.covered && p.stuck()
}

// sparesStalled says whether enough stores can write to do without those that can't. Else they are waited for: what fewer than Copies
// members change lies on too few disks.
func (p *plan) sparesStalled() bool {
	able := without(p.stores, func(s *store) bool { return !p.certain(s) })
	return len(able) >= p.config.Copies && (!p.strict() || p.domains(able) >= p.config.Copies)
}

// dropDead takes out the members that don't live, and with spares those that can't write, as long as another whole one can. What they
// have counts until enough others are whole.
func (p *partition) dropDead(spares bool) {
	works := func(s *store) bool { return s.live && !s.stalled }
	spares = spares && slices.ContainsFunc(p.replicas, works)
	dead := func(s *store) bool { return !s.live || s.stalled && (spares || slices.Contains(p.joining, s)) }
	for _, s := range p.replicas {
		if dead(s) {
			p.covered = true
			p.addFormer(s)
		}
	}
	for _, s := range p.joining {
		if dead(s) {
			p.addFormer(s)
		}
	}
	p.replicas = without(p.replicas, dead)
	p.joining = without(p.joining, dead)
}

// startAnew is for a partition all whole replicas of which have lost their disks: what former members have and joining ones got is all
// there is. One of them becomes the primary, and the others give it what it lacks.
func (p *plan) startAnew(part *partition) {
	part.covered = false
	for _, s := range part.joining {
		part.addFormer(s)
	}
	first := slices.IndexFunc(part.former, func(s *store) bool { return s.live && !s.stalled })
	if first < 0 {
		first = slices.IndexFunc(part.former, func(s *store) bool { return s.live })
	}
	var primary *store
	if first >= 0 {
		primary = part.former[first]
	} else {
		primary = p.candidate(part, false)
	}
	if primary == nil {
		return
	}
	part.replicas = []*store{primary}
	part.joining = without(part.joining, func(s *store) bool { return s == primary })
	part.former = without(part.former, func(s *store) bool { return s == primary })
	part.unsure = len(part.former) > 0
}

func (p *partition) addFormer(s *store) {
	if !slices.Contains(p.former, s) {
		p.former = append(p.former, s)
	}
}

// rejoin has former members that live give an unsure primary what it lacks.
func (p *plan) rejoin() {
	for i := range p.partitions {
		part := &p.partitions[i]
		if part.stuck() || !part.unsure {
			continue
		}
		for _, s := range part.former {
			if s.live && !s.stalled && !part.has(s) {
				part.joining = append(part.joining, s)
				s.load++
			}
		}
	}
}

// tell notes the former members that are whole now: each has given an unsure primary what it has.
func (p *partition) tell() {
	p.former = without(p.former, func(s *store) bool { return slices.Contains(p.replicas, s) })
	p.unsure = p.unsure && len(p.former) > 0
	p.covered = p.covered && len(p.former) > 0
}

// forgetFormer forgets the former members of partitions of which enough stores that stay are whole. An unsure primary needs all of them.
func (p *plan) forgetFormer() {
	for i := range p.partitions {
		part := &p.partitions[i]
		if part.stuck() {
			continue
		}
		if !part.unsure && p.enough(part.replicas) || p.config.mutant.forgetFormer {
			part.former = nil
		}
		part.tell()
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
		part := &p.partitions[i]
		if !part.stuck() {
			part.covered = part.covered && len(part.members()) >= p.config.Copies
		}
	}
}
