package core

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// checkHistory checks that the history is linearizable: the order in which commands were applied must explain all
// answers.
func (s *simulation) checkHistory() {
	value := 0
	seen := make(map[string]bool)
	for at, command := range s.appliedCommands {
		name, from, to := parseCommand(command)
		output := "refused"
		if name == "read" {
			output = strconv.Itoa(value)
		} else if value == from {
			value, output = to, "taken"
		}
		operation := s.operations[command]
		if operation.output != "" && operation.output != output {
			s.fail("command %d %q was answered %q and not %q", at, command, operation.output, output)
		}
		if seen[command] {
			s.fail("command %d %q was applied twice", at, command)
		}
		seen[command] = true
	}
	earliest := maxDuration
	for at := len(s.appliedCommands) - 1; at >= 0; at-- {
		operation := s.operations[s.appliedCommands[at]]
		if operation.from > earliest {
			s.fail("command %d %q was submitted after a later one was answered", at, s.appliedCommands[at])
		}
		earliest = min(earliest, operation.to)
	}
	for command, operation := range s.operations {
		if operation.output != "" && operation.output != "never" && !seen[command] {
			s.fail("%q was answered %q but never applied", command, operation.output)
		}
	}
}

// checkLease checks that there is at most one valid holder. A frozen one counts: it may be thawed and act.
func (s *simulation) checkLease() {
	var holders []string
	for _, member := range s.members {
		if member.running && member.node != nil && member.node.lease.holder.Valid(member.clock()) {
			holders = append(holders, member.address)
		}
	}
	if len(holders) > 1 {
		s.fail("%v hold the leader lease at once", holders)
	}
}

func (s *simulation) expectService(when string, within time.Duration) {
	if s.violation != "" {
		return
	}
	if s.now-s.lastAnswerAt > within {
		s.fail("%s: nothing was answered for %v\n%s", when, s.now-s.lastAnswerAt, s.debugString())
	}
	holders := 0
	for _, member := range s.members {
		if member.running && member.node.lease.holder.Valid(member.clock()) {
			holders++
		}
		if member.running && !member.node.chain.Attached() {
			s.fail("%s: %s is not in the chain\n%s", when, member.address, s.debugString())
		}
	}
	if holders != 1 {
		s.fail("%s: %d members hold the leader lease\n%s", when, holders, s.debugString())
	}
}

func (s *simulation) debugString() string {
	var text strings.Builder
	for _, member := range s.members {
		n := member.node
		if n == nil {
			continue
		}
		fmt.Fprintf(&text, "%s id %v running %v epoch %d chain %v voters %d learners %d position %d complete %v attached %v sealed %v fault %q idle %v last %d synced %d committed %d missing %v wanted %v proposer %v leader %q\n",
			member.address, n.self.ID, member.running, n.view.Epoch, n.view.Chain, len(n.view.Voters), len(n.view.Learners), n.chain.Position(), n.chain.Complete(), n.chain.Attached(),
			n.vote.Sealed(n.view.Epoch), n.durability.degradation.fault, n.cannotOrder, n.chain.Last(), n.chain.Synced(), n.chain.Committed(), n.peers.unresponsive, n.viewChange.pendingSince, n.viewChange.proposer != nil, n.leaderAddress(member.clock()))
	}
	return text.String()
}
