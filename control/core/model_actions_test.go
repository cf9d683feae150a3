package core

import (
	"fmt"
	"slices"
	"strings"

	"ravendale/internal/explore"
)

// Enabled implements explore.System. Time passes once nothing is under way that is not late.
func (m *model) Enabled() []explore.Action {
	var actions []explore.Action
	add := func(fault bool, format string, arguments ...any) {
		actions = append(actions, explore.Action{Name: fmt.Sprintf(format, arguments...), Fault: fault})
	}
	if m.broken != "" {
		return nil
	}
	waiting := m.deliveries(add)
	for _, member := range m.members {
		if member.node != nil && !member.frozen && len(member.writes) > 0 {
			add(false, "sync %s", member.address)
			waiting = true
		}
	}
	for number, given := range m.given {
		at := int(m.scope.orders[number][0] - '0')
		if !given && m.within(m.scope.orderAt) && m.members[at].node != nil && !m.members[at].frozen {
			add(false, "order %d", number)
		}
	}
	for at, member := range m.members {
		if !waiting && m.within(m.scope.backAt) {
			m.recoveries(at, member, add)
		}
		if m.within(m.scope.faultAt) {
			m.troubles(at, member, add)
		}
	}
	if !waiting && m.steps < m.scope.steps {
		add(false, "tick")
	}
	return actions
}

// deliveries lists what may become of each message, and says whether one that is not late is under way.
func (m *model) deliveries(add func(fault bool, format string, arguments ...any)) (waiting bool) {
	for i, at := range m.deliverable() {
		message := m.mail[at]
		name := m.name(at)
		if i == 0 || m.budget.reorder != 0 || message.late {
			add(false, "deliver %s", name)
		}
		waiting = waiting || !message.late
		if m.budget.lose > 0 {
			add(true, "lose %s", name)
		}
		if m.budget.duplicate > 0 {
			add(true, "repeat %s", name)
		}
		if m.budget.late > 0 && !message.late {
			add(true, "delay %s", name)
		}
	}
	return waiting
}

// within says whether this step is among some, nil for all.
func (m *model) within(steps []int) bool { return steps == nil || slices.Contains(steps, m.steps) }

// recoveries are what ends a member's trouble. They are taken between what else happens in a step.
func (m *model) recoveries(at int, member *modelMember, add func(bool, string, ...any)) {
	name := member.address
	switch {
	case member.node == nil && (!m.scope.replaces || at != 0):
		add(false, "start %s", name)
	case member.frozen:
		add(false, "thaw %s", name)
	case member.partitioned || member.deaf:
		add(false, "heal %s", name)
	}
}

func (m *model) troubles(at int, member *modelMember, add func(bool, string, ...any)) {
	name := member.address
	if member.node == nil {
		return
	}
	if m.scope.only != nil && !slices.Contains(m.scope.only, at) {
		return
	}
	if m.budget.crashes > 0 {
		add(true, "kill %s", name)
		if len(member.writes) > 0 {
			add(true, "power %s", name) // what waits for the disk is lost; a kill lets it land
		}
	}
	if m.budget.wipes > 0 {
		add(true, "wipe %s", name)
	}
	if m.budget.stops > 0 && !member.frozen && member.stopBy == 0 {
		add(true, "stop %s", name)
	}
	if m.budget.freezes > 0 && !member.frozen {
		add(true, "freeze %s", name)
	}
	if m.budget.cuts > 0 && !member.partitioned {
		add(true, "cut %s", name)
	}
	if m.budget.deaf > 0 && !member.deaf {
		add(true, "deafen %s", name)
	}
}

// deliverable lists the messages that may arrive next: on a link, the first that is not late, and all late ones.
func (m *model) deliverable() []int {
	var list []int
	first := make(map[[2]int]bool)
	seen := make(map[string]bool)
	for at := range m.mail {
		message := &m.mail[at]
		if m.members[message.to].frozen {
			continue
		}
		link := [2]int{message.from, message.to}
		if !m.scope.unordered && !message.late {
			if first[link] {
				continue
			}
			first[link] = true
		}
		key := fmt.Sprint(link, message.kind, string(message.data), message.late)
		if !seen[key] {
			seen[key] = true
			list = append(list, at)
		}
	}
	return list
}

// name is a message's among those on their way.
func (m *model) name(at int) string {
	message := &m.mail[at]
	earlier := 0
	for i := range at {
		other := &m.mail[i]
		if other.from == message.from && other.to == message.to && other.kind == message.kind {
			earlier++
		}
	}
	name := fmt.Sprintf("%s>%s %s", m.members[message.from].address, m.members[message.to].address, message.kind)
	if earlier > 0 {
		name += fmt.Sprintf(" #%d", earlier+1)
	}
	return name
}

// Do implements explore.System.
func (m *model) Do(action string) {
	verb, object, _ := strings.Cut(action, " ")
	switch verb {
	case "tick":
		m.tick()
	case "order":
		m.submit(int(object[0] - '0'))
	case "deliver", "lose", "repeat", "delay":
		m.doMail(verb, object)
	default:
		m.doMember(verb, slices.IndexFunc(m.members, func(member *modelMember) bool { return member.address == object }))
	}
	m.deliverHeartbeats()
	m.checkLease()
	m.checkComplete()
	m.checkMargin()
}

func (m *model) doMail(verb, name string) {
	at := 0
	for m.name(at) != name {
		at++
	}
	switch verb {
	case "deliver":
		if m.budget.reorder > 0 && at != m.deliverable()[0] && !m.mail[at].late {
			m.budget.reorder--
		}
		m.deliver(at)
	case "lose":
		m.budget.lose--
		m.mail = slices.Delete(m.mail, at, at+1)
	case "repeat":
		m.budget.duplicate--
		m.receive(m.mail[at])
	case "delay":
		m.budget.late--
		m.mail[at].late = true
	}
}

func (m *model) doMember(verb string, at int) {
	member := m.own(at)
	switch verb {
	case "sync":
		m.sync(at)
	case "start":
		m.start(at)
	case "kill":
		m.budget.crashes--
		m.land(member)
		m.end(at, true)
	case "power":
		m.budget.crashes--
		m.end(at, false)
	case "wipe":
		m.budget.wipes--
		m.end(at, false)
		member.disk = modelDisk{}
		member.disks++
	case "stop":
		m.budget.stops--
		member.node.BeginStop(m.clock(at))
		member.stopBy = m.elapsed + stopTimeout
		m.execute(at)
	case "freeze":
		m.budget.freezes--
		member.frozen = true // what is sent to it waits, in order
	case "thaw":
		member.frozen, member.soundAt = false, m.elapsed+modelCatchup
	case "cut":
		m.budget.cuts--
		member.partitioned = true
		m.mail = slices.DeleteFunc(m.mail, func(message modelMessage) bool { return message.to == at || message.from == at })
	case "deafen":
		m.budget.deaf--
		member.deaf = true
		m.mail = slices.DeleteFunc(m.mail, func(message modelMessage) bool { return message.to == at })
	case "heal":
		member.partitioned, member.deaf, member.soundAt = false, false, m.elapsed+modelCatchup
	}
}

// end has a member's process end. What it sent may still arrive.
func (m *model) end(at int, refusing bool) {
	member := m.members[at]
	for key, number := range m.numbers {
		if key[0] == at && m.answers[number] == "" {
			m.answers[number] = "unknown" // its caller hears no more
		}
	}
	member.node, member.machine, member.writes = nil, nil, nil
	member.frozen, member.refusing, member.stopBy = false, refusing, 0
	m.mail = slices.DeleteFunc(m.mail, func(message modelMessage) bool { return message.to == at })
}
