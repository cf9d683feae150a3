package core

import (
	"fmt"
	"slices"
	"strings"

	"ravendale/internal/explore"
)

// Enabled implements explore.System. Time may pass only when no message and no write is pending, except for late
// messages.
func (m *model) Enabled() []explore.Action {
	var actions []explore.Action
	add := func(fault bool, format string, arguments ...any) {
		actions = append(actions, explore.Action{Name: fmt.Sprintf(format, arguments...), Fault: fault})
	}
	if m.violation != "" {
		return nil
	}
	waiting := m.messageActions(add)
	for _, member := range m.members {
		if member.node != nil && !member.frozen && len(member.writes) > 0 {
			add(false, "sync %s", member.address)
			waiting = true
		}
	}
	for number, given := range m.submitted {
		at := int(m.scope.commands[number][0] - '0')
		if !given && m.within(m.scope.submitAt) && m.members[at].node != nil && !m.members[at].frozen {
			add(false, "submit %d", number)
		}
	}
	for at, member := range m.members {
		if !waiting && m.within(m.scope.recoverAt) {
			m.recoveryActions(at, member, add)
		}
		if m.within(m.scope.faultAt) {
			m.faultActions(at, member, add)
		}
	}
	if !waiting && m.steps < m.scope.steps {
		add(false, "tick")
	}
	return actions
}

// messageActions adds the actions on each message, and reports whether a message is pending that is not late.
func (m *model) messageActions(add func(fault bool, format string, arguments ...any)) (waiting bool) {
	for i, at := range m.deliverable() {
		message := m.inFlight[at]
		name := m.messageName(at)
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

// within reports whether the current step is one of the given ones; nil means all.
func (m *model) within(steps []int) bool { return steps == nil || slices.Contains(steps, m.steps) }

// recoveryActions adds the actions that end a member's fault. They are enabled when nothing else is pending in a step.
func (m *model) recoveryActions(at int, member *modelMember, add func(bool, string, ...any)) {
	name := member.address
	switch {
	case member.node == nil && (!m.scope.replaces || at != 0):
		add(false, "start %s", name)
	case member.frozen:
		add(false, "thaw %s", name)
	case member.partitioned || member.inboundCut:
		add(false, "heal %s", name)
	}
}

func (m *model) faultActions(at int, member *modelMember, add func(bool, string, ...any)) {
	name := member.address
	if member.node == nil {
		return
	}
	if m.scope.faultMembers != nil && !slices.Contains(m.scope.faultMembers, at) {
		return
	}
	if m.budget.crashes > 0 {
		add(true, "kill %s", name)
		if len(member.writes) > 0 {
			add(true, "power %s", name) // writes that wait for the disk are lost; after a kill they reach it
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
	if m.budget.inboundCuts > 0 && !member.inboundCut {
		add(true, "cut-inbound %s", name)
	}
}

// deliverable returns the messages that may arrive next: on each link the first one that is not late, and all late
// ones.
func (m *model) deliverable() []int {
	var list []int
	first := make(map[[2]int]bool)
	seen := make(map[string]bool)
	for at := range m.inFlight {
		message := &m.inFlight[at]
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

// messageName returns a name for a message that is unique among the pending ones.
func (m *model) messageName(at int) string {
	message := &m.inFlight[at]
	earlier := 0
	for i := range at {
		other := &m.inFlight[i]
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
	case "submit":
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
	for m.messageName(at) != name {
		at++
	}
	switch verb {
	case "deliver":
		if m.budget.reorder > 0 && at != m.deliverable()[0] && !m.inFlight[at].late {
			m.budget.reorder--
		}
		m.deliver(at)
	case "lose":
		m.budget.lose--
		m.inFlight = slices.Delete(m.inFlight, at, at+1)
	case "repeat":
		m.budget.duplicate--
		m.receive(m.inFlight[at])
	case "delay":
		m.budget.late--
		m.inFlight[at].late = true
	}
}

func (m *model) doMember(verb string, at int) {
	member := m.mutableMember(at)
	switch verb {
	case "sync":
		m.sync(at)
	case "start":
		m.start(at)
	case "kill":
		m.budget.crashes--
		m.completeWrites(member)
		m.endProcess(at, true)
	case "power":
		m.budget.crashes--
		m.endProcess(at, false)
	case "wipe":
		m.budget.wipes--
		m.endProcess(at, false)
		member.disk = modelDisk{}
		member.disks++
	case "stop":
		m.budget.stops--
		member.node.BeginStop(m.clock(at))
		member.stopBy = m.elapsed + stopTimeout
		m.execute(at)
	case "freeze":
		m.budget.freezes--
		member.frozen = true // messages to it wait, in order
	case "thaw":
		member.frozen, member.reliableAt = false, m.elapsed+modelCatchup
	case "cut":
		m.budget.cuts--
		member.partitioned = true
		m.inFlight = slices.DeleteFunc(m.inFlight, func(message modelMessage) bool { return message.to == at || message.from == at })
	case "cut-inbound":
		m.budget.inboundCuts--
		member.inboundCut = true
		m.inFlight = slices.DeleteFunc(m.inFlight, func(message modelMessage) bool { return message.to == at })
	case "heal":
		member.partitioned, member.inboundCut, member.reliableAt = false, false, m.elapsed+modelCatchup
	}
}

// endProcess ends a member's process. Messages that it has sent may still arrive.
func (m *model) endProcess(at int, refusing bool) {
	member := m.members[at]
	for key, number := range m.numbers {
		if key[0] == at && m.answers[number] == "" {
			m.answers[number] = "unknown" // its caller gets no answer
		}
	}
	member.node, member.machine, member.writes = nil, nil, nil
	member.frozen, member.refusing, member.stopBy = false, refusing, 0
	m.inFlight = slices.DeleteFunc(m.inFlight, func(message modelMessage) bool { return message.to == at })
}
