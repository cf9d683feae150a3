package view

import "slices"

// membership is the voters and learners of the view that is being planned.
//
// A newcomer is a learner at first, so that it raises no majority before it can be relied on. It gets a vote in three ways: it takes that
// of a voter that is down, leaves, or has lost its disk, which leaves the majority as it is; it makes an even number of voters odd, which
// does so too; or two that are complete become voters together, which raises the majority by one and the losses that are borne by one.
type membership struct {
	knowledge Knowledge
	complete  func(ID) bool
	voters    []Member
	learners  []Member
}

func planMembers(current *View, knowledge Knowledge, complete func(ID) bool) (voters, learners []Member) {
	m := &membership{knowledge: knowledge, complete: complete}
	m.retain(current)
	m.admit()
	if knowledge.MutateImmediateVote {
		m.voters, m.learners = append(m.voters, m.learners...), nil
	}
	m.replace()
	m.grow()
	m.demote()
	m.learners = slices.DeleteFunc(m.learners, func(member Member) bool { return knowledge.Removable(member.ID) })
	return m.voters, m.learners
}

// retain takes over the members, except that a new disk replaces the one of its address, vote included, and that those go who wish to and may.
func (m *membership) retain(current *View) {
	for _, member := range current.Voters {
		if m.dispensable(member.ID) {
			continue
		}
		if successor, ok := m.successor(member); ok {
			member = successor
		}
		if !m.has(member.ID) {
			m.voters = append(m.voters, member)
		}
	}
	for _, member := range current.Learners {
		if _, replaced := m.successor(member); !replaced && !m.has(member.ID) && !m.dispensable(member.ID) {
			m.learners = append(m.learners, member)
		}
	}
}

// admit makes those learners that were heard of and are no members.
func (m *membership) admit() {
	for _, member := range sortedMembers(m.knowledge.Known) {
		if !m.has(member.ID) && m.eligible(member) && !m.superseded(member) {
			m.learners = append(m.learners, member)
		}
	}
}

// replace gives the vote of each voter that is down or leaves to a learner, if there is one that can take it.
func (m *membership) replace() {
	for i, member := range m.voters {
		if !m.unreliable(member) {
			continue
		}
		if replacement := m.bestCandidate(); replacement >= 0 {
			m.voters[i], m.learners[replacement] = m.learners[replacement], member
		}
	}
}

// grow makes voters of learners as far as that lets more be lost.
func (m *membership) grow() {
	if len(m.voters)%2 == 0 {
		m.promote(m.bestCandidate())
	}
	for {
		first := m.bestComplete(-1)
		second := m.bestComplete(first)
		if first < 0 || second < 0 {
			return
		}
		m.promote(max(first, second))
		m.promote(min(first, second))
	}
}

func (m *membership) promote(at int) {
	if at >= 0 {
		m.voters = append(m.voters, m.learners[at])
		m.learners = slices.Delete(m.learners, at, at+1)
	}
}

// bestCandidate is the index of the learner that had better get a vote, -1 if there is none that can: a complete one, if there is one.
func (m *membership) bestCandidate() int {
	if at := m.bestComplete(-1); at >= 0 {
		return at
	}
	return slices.IndexFunc(m.learners, m.eligible)
}

func (m *membership) bestComplete(but int) int {
	for at, member := range m.learners {
		if at != but && m.eligible(member) && m.complete(member.ID) {
			return at
		}
	}
	return -1
}

func (m *membership) eligible(member Member) bool {
	return m.knowledge.Joinable(member.ID) && !m.knowledge.Leaving(member.ID)
}

func (m *membership) dispensable(id ID) bool {
	return m.knowledge.Dispensable != nil && m.knowledge.Dispensable(id)
}

func (m *membership) has(id ID) bool {
	_, voter := find(m.voters, id)
	_, learner := find(m.learners, id)
	return voter || learner
}

// successor finds the member that has a voter's or learner's address with another disk.
func (m *membership) successor(of Member) (Member, bool) {
	if m.knowledge.Alive(of.ID) {
		return Member{}, false
	}
	for _, other := range m.knowledge.Known {
		if other.Address == of.Address && other.ID != of.ID && m.eligible(other) && !m.superseded(other) {
			return other, true
		}
	}
	return Member{}, false
}

// superseded says whether a member that is heard of shares its address with another that is heard of too: the address tells too little.
func (m *membership) superseded(member Member) bool {
	return slices.ContainsFunc(m.knowledge.Known, func(other Member) bool {
		return other.Address == member.Address && other.ID > member.ID && m.knowledge.Joinable(other.ID)
	})
}

// leastVoters is how many voters are kept: were there fewer, the loss of one for good could leave nobody to decide, though others come back.
const leastVoters = 3

// demote drops voters that are down or leave as far as that lets the rest bear more losses. They are learners until they come back.
func (m *membership) demote() {
	var unreliable []ID
	for _, member := range m.voters {
		if m.unreliable(member) {
			unreliable = append(unreliable, member.ID)
		}
	}
	best, bestMargin := 0, margin(len(m.voters), len(unreliable))
	for drop := 1; drop <= min(len(unreliable), len(m.voters)-leastVoters); drop++ {
		if left := margin(len(m.voters)-drop, len(unreliable)-drop); left > bestMargin {
			best, bestMargin = drop, left
		}
	}
	m.voters = slices.DeleteFunc(m.voters, func(member Member) bool {
		dropped := slices.Contains(unreliable[:best], member.ID)
		if dropped {
			m.learners = append(m.learners, member)
		}
		return dropped
	})
}

// unreliable says whether a voter is down, or about to be.
func (m *membership) unreliable(member Member) bool {
	return m.knowledge.Down(member.ID) || m.knowledge.Leaving(member.ID)
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
