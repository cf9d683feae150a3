package view

import "slices"

// Knowledge is what a proposer knows of the others when it plans a view.
type Knowledge struct {
	Alive               func(ID) bool      // it is heard of
	Joinable            func(ID) bool      // it is alive, and has been for long enough to be admitted
	Connected           func(a, b ID) bool // messages pass between both, both ways
	Down                func(ID) bool      // it has been unreachable for so long that its vote had better be another's, or nobody's
	Removable           func(ID) bool      // it has been down for so long that it is removed
	Leaving             func(ID) bool      // it is alive, and is about to stop or wants to be no member any more
	Dispensable         func(ID) bool      // it wants to be no member any more, and the others can do without it; nil: none is
	Known               []Member           // members that were heard of, whether or not they are of the view
	MutateImmediateVote bool               // a mutation of tests: a newcomer gets a vote at once
}

// Plan makes the successor of a view, epoch and holder apart: members of the chain that are complete stay in their order, then
// come those that may join. Members that are about to end are left out, unless no other is complete. It refuses a chain without any complete
// member.
func Plan(current *View, knowledge Knowledge, complete func(ID) bool) (View, bool) {
	voters, learners := planMembers(current, knowledge, complete)
	next := View{Voters: voters, Learners: learners}
	next.Chain = retainChain(current, &next, knowledge, func(id ID) bool { return complete(id) && !knowledge.Leaving(id) })
	if len(next.Chain) == 0 {
		next.Chain = retainChain(current, &next, knowledge, complete)
	}
	next.Complete = len(next.Chain)
	if next.Complete == 0 {
		return View{}, false
	}
	for _, id := range joiners(current, &next) {
		if !slices.Contains(next.Chain, id) && knowledge.Joinable(id) && !knowledge.Leaving(id) && fits(next.Chain, id, knowledge) {
			next.Chain = append(next.Chain, id)
		}
	}
	return next, true
}

// retainChain lists those of the chain that are alive and complete, but for those that would leave too many of the others out.
func retainChain(current, next *View, knowledge Knowledge, complete func(ID) bool) []ID {
	var kept []ID
	for _, id := range current.Chain {
		if _, member := next.Member(id); member && knowledge.Alive(id) && complete(id) {
			kept = append(kept, id)
		}
	}
	return longestConnected(kept, knowledge.Connected)
}

// longestConnected is the longest part of a list, in its order, whose neighbours are connected; of several the one that begins first. One that hears nobody,
// even the head, must not exclude the others: were it lost then, nobody would be complete.
func longestConnected(list []ID, connected func(a, b ID) bool) []ID {
	length, before := make([]int, len(list)), make([]int, len(list))
	end := -1
	for i := range list {
		length[i], before[i] = 1, -1
		for j := range i {
			if connected(list[j], list[i]) && length[j]+1 > length[i] {
				length[i], before[i] = length[j]+1, j
			}
		}
		if end < 0 || length[i] > length[end] {
			end = i
		}
	}
	var chain []ID
	for ; end >= 0; end = before[end] {
		chain = append(chain, list[end])
	}
	slices.Reverse(chain)
	return chain
}

func fits(chain []ID, id ID, knowledge Knowledge) bool {
	return len(chain) == 0 || knowledge.Connected(chain[len(chain)-1], id)
}

// joiners lists the members, those of the current chain first and in its order, so that a plan is the same as long as nothing changes.
func joiners(current, next *View) []ID {
	order := slices.Clone(current.Chain)
	for _, member := range next.Members() {
		if !slices.Contains(order, member.ID) {
			order = append(order, member.ID)
		}
	}
	return slices.DeleteFunc(order, func(id ID) bool {
		_, member := next.Member(id)
		return !member
	})
}

// Same reports whether a plan would change nothing but to remove learners.
func Same(current *View, planned *View) bool {
	for _, member := range planned.Learners {
		if _, known := current.Member(member.ID); !known {
			return false
		}
	}
	return slices.Equal(current.Chain, planned.Chain) && current.SameVoters(planned)
}

// Durability is what a chain must have to commit.
type Durability struct {
	Copies           int // disks
	ToleratedZones   int // zones that may be lost: the chain lies in more of them
	ToleratedRegions int
	RegionOf         func(zone string) string
}

// Met reports whether the chain of a view has enough disks, in enough zones and regions.
func (d Durability) Met(v *View) bool {
	zones, regions := make(map[string]bool), make(map[string]bool)
	for _, id := range v.Chain {
		member, _ := v.Member(id)
		zones[member.Zone] = true
		if d.RegionOf != nil {
			regions[d.RegionOf(member.Zone)] = true
		}
	}
	if len(v.Chain) < d.Copies {
		return false
	}
	return len(zones) > d.ToleratedZones && (d.ToleratedRegions == 0 || len(regions) > d.ToleratedRegions)
}

// Voters returns how many voters tolerate the losses, if they lie in as many zones.
func (d Durability) Voters() int {
	return max(leastVoters, 2*max(d.Copies-1, d.ToleratedZones, d.ToleratedRegions)+1)
}
