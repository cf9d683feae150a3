package view

import "slices"

// Knowledge is what a proposer knows about the other members when it plans a view. The functions answer for the
// members with the given IDs.
type Knowledge struct {
	Alive               func(ID) bool      // messages have been received from it recently
	Joinable            func(ID) bool      // it is alive, and has been so for long enough to be admitted
	Connected           func(a, b ID) bool // messages pass between both in both directions
	Down                func(ID) bool      // unreachable for so long that another member should get its vote, or none
	Removable           func(ID) bool      // it has been unreachable for so long that it is removed from the members
	Leaving             func(ID) bool      // it is alive, and is about to stop or wants to be removed from the members
	Dispensable         func(ID) bool      // it wants to be removed, and the others can spare it; nil: no member does
	Known               []Member           // members that have been heard from, whether or not they are in the view
	MutateImmediateVote bool               // fault injected by tests: newcomers become voters at once
}

// Plan returns the successor of a view, except its epoch and lease holder. Complete members of the chain keep their
// order; members that may join are appended. Members that are leaving are left out, unless no other member is
// complete. Plan returns false if the chain would have no complete member.
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
	for _, id := range joinOrder(current, &next) {
		if !slices.Contains(next.Chain, id) && knowledge.Joinable(id) && !knowledge.Leaving(id) && connectsToTail(next.Chain, id, knowledge) {
			next.Chain = append(next.Chain, id)
		}
	}
	return next, true
}

// retainChain returns the members of the chain that are alive and complete, without those whose missing connections
// would exclude more of the others.
func retainChain(current, next *View, knowledge Knowledge, complete func(ID) bool) []ID {
	var retained []ID
	for _, id := range current.Chain {
		if _, isMember := next.Member(id); isMember && knowledge.Alive(id) && complete(id) {
			retained = append(retained, id)
		}
	}
	return longestConnected(retained, knowledge.Connected)
}

// longestConnected returns the longest subsequence of a list in which each element is connected to the next. Of
// several it takes the one that ends first. A member without connections, even if it is the head, must not exclude
// the others: if it failed later, no complete member would be left.
func longestConnected(list []ID, connected func(a, b ID) bool) []ID {
	length, previous := make([]int, len(list)), make([]int, len(list))
	end := -1
	for i := range list {
		length[i], previous[i] = 1, -1
		for j := range i {
			if connected(list[j], list[i]) && length[j]+1 > length[i] {
				length[i], previous[i] = length[j]+1, j
			}
		}
		if end < 0 || length[i] > length[end] {
			end = i
		}
	}
	var chain []ID
	for ; end >= 0; end = previous[end] {
		chain = append(chain, list[end])
	}
	slices.Reverse(chain)
	return chain
}

// connectsToTail reports whether a member can be appended to the chain.
func connectsToTail(chain []ID, id ID, knowledge Knowledge) bool {
	return len(chain) == 0 || knowledge.Connected(chain[len(chain)-1], id)
}

// joinOrder returns all members, with those of the current chain first and in its order. That makes a plan stable as
// long as nothing changes.
func joinOrder(current, next *View) []ID {
	order := slices.Clone(current.Chain)
	for _, member := range next.Members() {
		if !slices.Contains(order, member.ID) {
			order = append(order, member.ID)
		}
	}
	return slices.DeleteFunc(order, func(id ID) bool {
		_, isMember := next.Member(id)
		return !isMember
	})
}

// Unchanged reports whether a planned view changes nothing, apart from the removal of learners.
func Unchanged(current *View, planned *View) bool {
	for _, member := range planned.Learners {
		if _, known := current.Member(member.ID); !known {
			return false
		}
	}
	return slices.Equal(current.Chain, planned.Chain) && current.SameVoters(planned)
}

// Durability is what a chain needs to commit.
type Durability struct {
	Copies           int // number of disks
	ToleratedZones   int // number of zones that may fail: the chain must span more zones than that
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

// RequiredVoters returns the number of voters that is needed to tolerate the failures, provided that they are spread
// over as many zones.
func (d Durability) RequiredVoters() int {
	return max(minVoters, 2*max(d.Copies-1, d.ToleratedZones, d.ToleratedRegions)+1)
}
