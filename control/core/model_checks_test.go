package core

import (
	"fmt"
	"slices"
	"strings"

	"ravendale/control/chain"
	"ravendale/control/view"
)

// observe compares a node's view and applied commands with those of the other members.
func (m *model) observe(at int) {
	member := m.members[at]
	n := member.node
	if n.view.Epoch > 0 {
		decided := fmt.Sprint(n.view)
		if known := m.views[n.view.Epoch]; known != "" && known != decided {
			m.fail("two views of epoch %d: %s and %s", n.view.Epoch, known, decided)
		}
		m.views[n.view.Epoch] = decided
	}
	for i, command := range member.machine.Applied {
		switch {
		case i == len(m.appliedCommands):
			m.appliedCommands = append(m.appliedCommands, command)
		case m.appliedCommands[i] != command:
			m.fail("%s applied %q as command %d, others %q", member.address, command, i+1, m.appliedCommands[i])
		}
	}
}

// checkAnswer checks that an answered command is on more disks than may be lost, and that its answer follows from the
// commands before it.
func (m *model) checkAnswer(number int) {
	_, command, _ := strings.Cut(m.scope.commands[number], " ")
	index := slices.Index(m.appliedCommands, command)
	if index < 0 {
		m.fail("submitted command %d was answered %q and never applied", number, m.answers[number])
		return
	}
	machine := &commandLog{}
	var result []byte
	for _, applied := range m.appliedCommands[:index+1] {
		result = machine.Apply([]byte(applied))
	}
	if m.answers[number] != string(result) {
		m.fail("submitted command %d was answered %q, the commands before it imply %q", number, m.answers[number], result)
	}
	disks := 0
	for _, member := range m.members {
		if member.disk.holds(command) {
			disks++
		}
	}
	if disks <= m.scope.tolerated && (disks == 0 || !m.exceeded) {
		m.fail("submitted command %d was answered with %d disks that hold it", number, disks)
	}
}

// holds reports whether a command would be found on the disk after a loss of power.
func (d *modelDisk) holds(command string) bool {
	if d.snapshot == nil {
		return false
	}
	image, err := ReadImage(d.snapshot, d.records)
	if err != nil {
		panic(err)
	}
	machine := &commandLog{}
	if len(image.Machine) > 0 {
		_ = machine.Restore(image.Machine)
	}
	for _, entry := range image.Chain.Entries {
		if string(entry.Command) == command {
			return true
		}
	}
	return slices.Contains(machine.Applied, command)
}

// checkLease checks that at most one member holds the leader lease, including frozen ones, and that no majority of the
// voters would grant it to another member meanwhile.
func (m *model) checkLease() {
	holders := 0
	for at, member := range m.members {
		if member.node == nil || !member.node.lease.holder.Valid(m.clock(at)) {
			continue
		}
		holders++
		if free := m.votersWithoutGrant(&member.node.view, member.node.self.ID); free >= member.node.view.Majority() {
			m.fail("%s holds the leader lease, and %d voters of its view would grant it to another", member.address, free)
		}
	}
	if holders > 1 {
		m.fail("%d members hold the leader lease at once", holders)
	}
}

// votersWithoutGrant counts the running voters of a view that know of no grant to the given holder.
func (m *model) votersWithoutGrant(v *view.View, holder view.ID) int {
	free := 0
	for at, member := range m.members {
		if member.node == nil || member.node.view.Epoch != v.Epoch {
			continue
		}
		if _, voter := v.Voter(member.node.self.ID); !voter {
			continue
		}
		if granted, quiet := member.node.lease.voter.Holder(m.clock(at)); !quiet && granted != holder {
			free++
		}
	}
	return free
}

// newest returns the latest view that is known to be decided by a running member.
func (m *model) newest() *view.View {
	newest := &view.View{}
	for _, member := range m.members {
		if member.node != nil && member.node.view.Epoch > newest.Epoch {
			newest = &member.node.view
		}
	}
	return newest
}

// checkComplete checks that members which are complete in the latest view have all answered commands.
func (m *model) checkComplete() {
	latest := uint64(0)
	for epoch := range m.views {
		latest = max(latest, epoch)
	}
	for _, member := range m.members {
		if member.node == nil || member.node.view.Epoch != latest || !member.node.chain.Complete() {
			continue
		}
		for number, answer := range m.answers {
			_, command, _ := strings.Cut(m.scope.commands[number], " ")
			if (answer == "taken" || answer == "refused") && !member.has(command) {
				m.fail("%s is complete in epoch %d and lacks submitted command %d, which was answered", member.address, latest, number)
			}
		}
	}
}

func (member *modelMember) has(command string) bool {
	return slices.Contains(member.machine.Applied, command) ||
		slices.ContainsFunc(member.node.chain.State().Entries, func(entry chain.Entry) bool { return string(entry.Command) == command })
}

func (member *modelMember) up() bool {
	return member.node != nil && !member.frozen && !member.partitioned && !member.inboundCut
}

// unavailableSlots counts the machines that count as lost: those that were started, except for one that was replaced.
func (m *model) unavailableSlots() int {
	unavailable := 0
	for at, member := range m.members {
		if member.incarnation == 0 || m.replaced && at == 0 {
			continue
		}
		if !member.up() || m.elapsed < member.reliableAt {
			unavailable++
		}
	}
	return unavailable
}

// checkMargin checks that a majority of the voters and a complete member are up while no more machines are lost than
// tolerated.
func (m *model) checkMargin() {
	m.exceeded = m.exceeded || m.unavailableSlots() > m.scope.tolerated
	if m.exceeded {
		return
	}
	v := m.newest()
	voters, complete := 0, 0
	for _, member := range m.members {
		if !member.up() {
			continue
		}
		id := member.node.self.ID
		if _, voter := v.Voter(id); voter {
			voters++
		}
		if at := v.Position(id); at >= 0 && (at < v.Complete || member.node.view.Epoch == v.Epoch && member.node.chain.Complete()) {
			complete++
		}
	}
	if voters < v.Majority() {
		m.fail("%d of %d voters are up, though no more machines are lost than tolerated", voters, len(v.Voters))
	}
	if complete == 0 {
		m.fail("no complete member is up, though no more machines are lost than tolerated")
	}
}

// Check implements explore.System.
func (m *model) Check() error {
	if m.violation != "" {
		return modelViolation(m.violation)
	}
	return nil
}

type modelViolation string

func (b modelViolation) Error() string { return string(b) }
