package view

import "slices"

// Knowledge is what a proposer knows of the others when it plans.
type Knowledge struct {
	Lives    func(ID) bool      // it is heard of
	Joinable func(ID) bool      // it lives, and has for long enough to be taken in
	Touch    func(a, b ID) bool // messages pass between both, both ways
	Gone     func(ID) bool      // it has been down for so long that its vote is better given up
	Leaving  func(ID) bool      // it wishes to be no voter any more, and the others can spare it; nil: nobody does
	Others   []Member           // members that were heard of, whether or not they are voters
}

// Plan makes the successor of a view, epoch and holder apart: members of the chain that are whole stay in their order, then
// come those that may join. It refuses a chain without any whole member.
func Plan(current *View, know Knowledge, whole func(ID) bool) (View, bool) {
	next := View{Voters: planVoters(current, know)}
	for _, id := range current.Chain {
		if know.Lives(id) && whole(id) && fits(next.Chain, id, know) && hasVoter(next.Voters, id) {
			next.Chain = append(next.Chain, id)
		}
	}
	next.Whole = len(next.Chain)
	if next.Whole == 0 {
		return View{}, false
	}
	for _, id := range joiners(current, next.Voters) {
		if !slices.Contains(next.Chain, id) && know.Joinable(id) && fits(next.Chain, id, know) {
			next.Chain = append(next.Chain, id)
		}
	}
	return next, true
}

func fits(chain []ID, id ID, know Knowledge) bool {
	return len(chain) == 0 || know.Touch(chain[len(chain)-1], id)
}

func hasVoter(voters []Member, id ID) bool {
	return slices.ContainsFunc(voters, func(member Member) bool { return member.ID == id })
}

// joiners lists the voters, those of the current chain first and in its order, so that a plan is the same as long as nothing changes.
func joiners(current *View, voters []Member) []ID {
	order := slices.Clone(current.Chain)
	for _, member := range voters {
		if !slices.Contains(order, member.ID) {
			order = append(order, member.ID)
		}
	}
	return slices.DeleteFunc(order, func(id ID) bool { return !hasVoter(voters, id) })
}

// planVoters keeps the voters, except that a new disk replaces the one of its address; others that join are added; and those gone for
// long are given up as far as that lets the rest bear more losses.
func planVoters(current *View, know Knowledge) []Member {
	var voters []Member
	for _, member := range current.Voters {
		if !replaced(member, know) && !leaves(member.ID, know) {
			voters = append(voters, member)
		}
	}
	for _, member := range sortedMembers(know.Others) {
		if !hasVoter(voters, member.ID) && know.Joinable(member.ID) && !superseded(member, know) && !leaves(member.ID, know) {
			voters = append(voters, member)
		}
	}
	return giveUp(voters, know)
}

func replaced(member Member, know Knowledge) bool {
	if know.Lives(member.ID) {
		return false
	}
	return slices.ContainsFunc(know.Others, func(other Member) bool {
		return other.Address == member.Address && other.ID != member.ID && know.Joinable(other.ID)
	})
}

func leaves(id ID, know Knowledge) bool { return know.Leaving != nil && know.Leaving(id) }

// superseded says whether a member that is heard of shares its address with another that is heard of too: the address tells too little.
func superseded(member Member, know Knowledge) bool {
	return slices.ContainsFunc(know.Others, func(other Member) bool {
		return other.Address == member.Address && other.ID > member.ID && know.Joinable(other.ID)
	})
}

func giveUp(voters []Member, know Knowledge) []Member {
	var gone []ID
	for _, member := range voters {
		if know.Gone(member.ID) {
			gone = append(gone, member.ID)
		}
	}
	best, bestMargin := 0, margin(len(voters), len(gone))
	for drop := 1; drop <= len(gone); drop++ {
		if m := margin(len(voters)-drop, len(gone)-drop); m > bestMargin {
			best, bestMargin = drop, m
		}
	}
	return slices.DeleteFunc(voters, func(member Member) bool { return slices.Contains(gone[:best], member.ID) })
}

// margin is how many more voters may be lost with a majority left.
func margin(voters, down int) int { return (voters-1)/2 - down }

func sortedMembers(members []Member) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		if a.ID > b.ID {
			return 1
		}
		return 0
	})
	return sorted
}

// Same says whether a plan would change nothing.
func Same(current *View, planned *View) bool {
	return slices.Equal(current.Chain, planned.Chain) && current.SameVoters(planned)
}

// Durability is what a chain must have to commit.
type Durability struct {
	Copies      int // disks
	LostZones   int // zones that may be lost: the chain lies in more
	LostRegions int
	RegionOf    func(zone string) string
}

// Met says whether the chain of a view has enough disks, in enough zones and regions.
func (d Durability) Met(v *View) bool {
	zones, regions := make(map[string]bool), make(map[string]bool)
	for _, id := range v.Chain {
		member, _ := v.Voter(id)
		zones[member.Zone] = true
		if d.RegionOf != nil {
			regions[d.RegionOf(member.Zone)] = true
		}
	}
	if len(v.Chain) < d.Copies {
		return false
	}
	return len(zones) > d.LostZones && (d.LostRegions == 0 || len(regions) > d.LostRegions)
}

// leastVoters bear the loss of one.
const leastVoters = 3

// Voters is how many voters bear the losses that are to be borne, if they lie in as many zones.
func (d Durability) Voters() int {
	return max(leastVoters, 2*max(d.Copies-1, d.LostZones, d.LostRegions)+1)
}
