package view

import "slices"

// membership is the voters and learners of the view that is being planned.
//
// A newcomer is a learner at first, so that it doesn't raise the majority before it is reliable. It becomes a voter
// in one of three ways. It replaces a voter that is down, is leaving or has lost its disk, which leaves the majority
// unchanged. It makes an even number of voters odd, which leaves the majority unchanged, too. Or two complete
// learners become voters together, which raises both the majority and the number of tolerated failures by one.
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

// retain takes over the members of the current view. A new disk at the address of a member replaces that member,
// including its vote. Members that want to be removed and can be spared are left out.
func (m *membership) retain(current *View) {
	for _, member := range current.Voters {
		if m.dispensable(member.ID) {
			continue
		}
		if successor, ok := m.replacementFor(member); ok {
			member = successor
		}
		if !m.contains(member.ID) {
			m.voters = append(m.voters, member)
		}
	}
	for _, member := range current.Learners {
		if _, replaced := m.replacementFor(member); !replaced && !m.contains(member.ID) && !m.dispensable(member.ID) {
			m.learners = append(m.learners, member)
		}
	}
}

// admit adds eligible known members that are not part of the view yet as learners.
func (m *membership) admit() {
	for _, member := range sortedMembers(m.knowledge.Known) {
		if !m.contains(member.ID) && m.eligible(member) && !m.superseded(member) {
			m.learners = append(m.learners, member)
		}
	}
}

// replace gives the vote of each voter that is down or leaving to a learner, as far as there are eligible learners.
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

// grow promotes learners to voters: one if the number of voters is even, then complete learners in pairs, each of
// which raises the number of tolerated failures by one.
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

func (m *membership) promote(index int) {
	if index >= 0 {
		m.voters = append(m.voters, m.learners[index])
		m.learners = slices.Delete(m.learners, index, index+1)
	}
}

// bestCandidate returns the index of the learner to promote next: a complete one if possible, else any eligible one,
// -1 if there is none.
func (m *membership) bestCandidate() int {
	if at := m.bestComplete(-1); at >= 0 {
		return at
	}
	return slices.IndexFunc(m.learners, m.eligible)
}

func (m *membership) bestComplete(except int) int {
	for at, member := range m.learners {
		if at != except && m.eligible(member) && m.complete(member.ID) {
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

func (m *membership) contains(id ID) bool {
	_, voter := findMember(m.voters, id)
	_, learner := findMember(m.learners, id)
	return voter || learner
}

// replacementFor returns the member that has the address of an unreachable member, but another disk.
func (m *membership) replacementFor(member Member) (Member, bool) {
	if m.knowledge.Alive(member.ID) {
		return Member{}, false
	}
	for _, other := range m.knowledge.Known {
		if other.Address == member.Address && other.ID != member.ID && m.eligible(other) && !m.superseded(other) {
			return other, true
		}
	}
	return Member{}, false
}

// superseded reports whether another known member that may join has the same address and a higher ID. The address
// alone doesn't show which of both disks is current.
func (m *membership) superseded(member Member) bool {
	return slices.ContainsFunc(m.knowledge.Known, func(other Member) bool {
		return other.Address == member.Address && other.ID > member.ID && m.knowledge.Joinable(other.ID)
	})
}

// minVoters is the number below which voters are not demoted. With fewer voters, the permanent loss of one could
// leave no majority to decide a view, even if the others recover.
const minVoters = 3

// demote turns voters that are down or leaving into learners as far as that raises the number of further failures
// that the remaining voters tolerate. They can become voters again when they are back.
func (m *membership) demote() {
	var unreliable []ID
	for _, member := range m.voters {
		if m.unreliable(member) {
			unreliable = append(unreliable, member.ID)
		}
	}
	bestDrop, bestMargin := 0, failureMargin(len(m.voters), len(unreliable))
	for drop := 1; drop <= min(len(unreliable), len(m.voters)-minVoters); drop++ {
		if remaining := failureMargin(len(m.voters)-drop, len(unreliable)-drop); remaining > bestMargin {
			bestDrop, bestMargin = drop, remaining
		}
	}
	m.voters = slices.DeleteFunc(m.voters, func(member Member) bool {
		dropped := slices.Contains(unreliable[:bestDrop], member.ID)
		if dropped {
			m.learners = append(m.learners, member)
		}
		return dropped
	})
}

// unreliable reports whether a voter is down or leaving.
func (m *membership) unreliable(member Member) bool {
	return m.knowledge.Down(member.ID) || m.knowledge.Leaving(member.ID)
}

// failureMargin returns the number of further voters that may fail while a majority remains.
func failureMargin(voters, down int) int { return (voters-1)/2 - down }

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
