package core

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/control/slots/slotstest"
	"ravendale/control/view"
)

var replacementSeeds = flag.Uint64("replacements", 2, "number of histories of replacements of each size of core, kind and bound")

// replaceKind is how a member of the core is replaced.
type replaceKind int

const (
	replacedAtNewAddress replaceKind = iota // a new machine with an empty disk starts later, at another address
	wipedSameAddress                        // the machine restarts at the same address with an empty disk
	plannedReplacement                      // the new machine starts first, at another address; then the old one is stopped
	kindCount
)

func (w replaceKind) String() string {
	return [...]string{"new address", "same address, empty disk", "planned"}[w]
}

// slot is a place in the core, filled by a machine or its successor. It counts as lost while its machine is down,
// frozen or partitioned, and for a while afterwards. A successor counts as the machine that it replaces.
type slot struct {
	machine          *simProcess
	successor        *simProcess // already started, while machine is still to be stopped
	unavailableUntil time.Duration
}

const unavailableForever = maxDuration // value of slot.unavailableUntil while its machine is lost

// replacements is a simulation whose machines are replaced one after the other, as fast as the tolerance allows.
type replacements struct {
	*simulation
	t       *testing.T
	catchup time.Duration
	slots   []*slot
	next    int // number of the next new machine
}

func newReplacements(t *testing.T, seed uint64, members, tolerated int, catchup time.Duration, m mutant) *replacements {
	s := newSimulation(seed, members, tolerated, m)
	s.catchup = catchup
	s.catchup = catchup
	r := &replacements{simulation: s, t: t, catchup: catchup, next: members + 1}
	for _, member := range s.members {
		r.slots = append(r.slots, &slot{machine: member})
	}
	s.run(1500 * time.Millisecond)
	s.submitLoad(60 * time.Millisecond)
	s.run(5 * time.Second)
	s.expectService("initially", 500*time.Millisecond)
	return r
}

// newMachine adds a machine that was not started.
func (r *replacements) newMachine() *simProcess {
	at := r.next
	r.next++
	m := &simProcess{
		s: r.simulation, address: fmt.Sprintf("10.0.0.%d:1", at), zone: fmt.Sprint("zone-", at%3), folder: slotstest.New(),
		rate: 0.965 + 0.07*r.random.Float64(), offset: time.Duration(r.random.Int64N(int64(time.Hour))), idSeed: uint64(at) * 1001,
	}
	r.members = append(r.members, m)
	r.byAddress[m.address] = m
	return m
}

func (r *replacements) removeMachine(m *simProcess) {
	m.kill()
	r.members = slices.DeleteFunc(r.members, func(other *simProcess) bool { return other == m })
}

// replace replaces the machine of a slot. The duration between the end of the old machine and the start of the new one
// is gap; in a planned replacement the new one starts first. replace returns once the new one was started.
func (r *replacements) replace(s *slot, kind replaceKind, gap time.Duration) {
	old := s.machine
	s.unavailableUntil = unavailableForever
	switch kind {
	case replacedAtNewAddress:
		old.powerLoss()
		r.removeMachine(old)
		r.runChecked(r.now + gap)
		s.machine = r.newMachine()
		s.machine.start()
	case wipedSameAddress:
		old.wipe()
		r.runChecked(r.now + gap)
		old.start()
	case plannedReplacement:
		s.successor = r.newMachine()
		s.successor.start()
		s.unavailableUntil = r.now + r.catchup
		r.after(gap, func() {
			old.terminate(func() {
				r.removeMachine(old)
				s.machine, s.successor = s.successor, nil
			})
		})
		return
	}
	s.unavailableUntil = r.now + r.catchup
}

// runChecked runs the simulation until the given time, and calls checkMargin at every step.
func (r *replacements) runChecked(until time.Duration) {
	const step = 20 * time.Millisecond
	for r.now < until && r.violation == "" {
		r.run(min(r.now+step, until))
		r.checkMargin()
	}
	if r.now < until {
		r.now = until
	}
}

// newestView returns the latest view that any member knows to be decided.
func (r *replacements) newestView() *view.View {
	var newest *view.View
	for _, m := range r.members {
		if m.node != nil && (newest == nil || m.node.view.Epoch > newest.Epoch) {
			newest = &m.node.view
		}
	}
	return newest
}

// availableMachines returns the machines that do not count as lost, and the number of slots that do.
func (r *replacements) availableMachines() (available []*simProcess, unavailable int) {
	for _, s := range r.slots {
		switch {
		case s.unavailableUntil <= r.now:
			available = append(available, s.machine)
			if s.successor != nil {
				available = append(available, s.successor)
			}
		case s.successor != nil:
			available = append(available, s.machine) // the new one counts as lost, the old one is running
			unavailable++
		default:
			unavailable++
		}
	}
	return available, unavailable
}

// checkMargin checks that the failures which the tolerance still allows would leave a majority of the voters and a
// complete member.
func (r *replacements) checkMargin() {
	if r.violation != "" {
		return
	}
	v := r.newestView()
	available, unavailable := r.availableMachines()
	more := max(0, r.tolerated-unavailable) // failures that are still tolerated
	voters, complete := 0, 0
	for _, m := range available {
		if m.node == nil || !m.running {
			continue
		}
		if _, ok := v.Voter(m.node.self.ID); ok {
			voters++
		}
		if at := v.Position(m.node.self.ID); at >= 0 && (at < v.Complete || m.node.view.Epoch == v.Epoch && m.node.chain.Complete()) {
			complete++
		}
	}
	if voters-more < v.Majority() {
		r.fail("no majority is left if %d more are lost: %d available of %d voters\n%s", more, voters, len(v.Voters), r.debugString())
	}
	if complete-more < 1 {
		r.fail("no complete member is left if %d more are lost: %d available and complete\n%s", more, complete, r.debugString())
	}
}

// runReplacements replaces machine after machine, each as soon as the previous one has ceased to count as lost. After a
// pause it makes as many machines fail at once as are tolerated.
func runReplacements(t *testing.T, seed uint64, members, tolerated int, kind replaceKind, catchup, gap, pause time.Duration, m mutant) string {
	r := newReplacements(t, seed, members, tolerated, catchup, m)
	for round := range 2 * members {
		if r.violation != "" {
			return r.violation
		}
		current := kind
		if current == kindCount {
			current = r.randomKind()
		}
		s := r.slots[(round+int(seed))%members]
		r.replace(s, current, gap)
		r.runChecked(max(r.now, s.unavailableUntil))
		if s.successor != nil { // it no longer counts as lost when the old one is told to stop
			r.runCheckedUntil(func() bool { return s.successor == nil }, gap+5*time.Second)
		}
	}
	r.runChecked(r.now + pause)
	r.failTolerated()
	if r.violation == "" {
		r.checkHistory()
	}
	return r.violation
}

func (r *replacements) randomKind() replaceKind { return replaceKind(r.random.IntN(int(kindCount))) }

func (r *replacements) runCheckedUntil(holds func() bool, bound time.Duration) {
	for deadline := r.now + bound; r.now < deadline && !holds() && r.violation == ""; {
		r.runChecked(r.now + 20*time.Millisecond)
	}
	if !holds() {
		r.fail("a member did not stop in time")
	}
}

// failTolerated makes as many machines fail at once as are tolerated, in random ways, and expects service from the
// others.
func (r *replacements) failTolerated() {
	if r.violation != "" {
		return
	}
	for _, at := range r.random.Perm(len(r.slots))[:r.tolerated] {
		s := r.slots[at]
		s.unavailableUntil = unavailableForever
		switch r.random.IntN(4) {
		case 0:
			s.machine.kill()
		case 1:
			s.machine.powerLoss()
		case 2:
			s.machine.frozen = true
		case 3:
			r.setSidePartition([]*simProcess{s.machine}, true)
		}
	}
	failedAt := r.now
	r.runUntil(failoverBound, func() bool { return r.lastAnswerAt > failedAt })
	if r.lastAnswerAt <= failedAt {
		r.fail("nothing was answered for %v after the second failure\n%s", r.now-failedAt, r.debugString())
	}
}

const failoverBound = 3500 * time.Millisecond

func TestReplacements(t *testing.T) {
	cores := []struct{ members, tolerated int }{{3, 1}, {4, 1}, {5, 1}, {5, 2}}
	for _, size := range cores {
		for kind := range kindCount + 1 {
			name := "random kinds"
			if kind < kindCount {
				name = kind.String()
			}
			t.Run(fmt.Sprintf("%d members, %d tolerated, %s", size.members, size.tolerated, name), func(t *testing.T) {
				t.Parallel()
				for seed := range *replacementSeeds {
					catchup := []time.Duration{4400 * time.Millisecond, 2 * time.Second}[seed%2]
					gap := time.Duration(seed*7%5) * 500 * time.Millisecond
					pause := time.Duration(seed*11%16) * time.Second
					violation := runReplacements(t, seed, size.members, size.tolerated, kind, catchup, gap, pause, noMutation)
					require.Empty(t, violation, "seed %d, catchup %v, gap %v, second failure after %v", seed, catchup, gap, pause)
				}
			})
		}
	}
}

// TestReplacementMutationsAreDetected removes one protection against a second failure at a time, and checks that
// histories of replacements detect that.
func TestReplacementMutationsAreDetected(t *testing.T) {
	for _, c := range []struct {
		name     string
		mutation mutant
		way      replaceKind
		expected string
	}{
		{"an unresponsive voter keeps its vote for ten seconds", lateDown, replacedAtNewAddress, "no majority is left"},
		{"a stopping member keeps its vote", keepVoteOnStop, plannedReplacement, "no majority is left"},
		{"a new member gets a vote at once", immediateVote, replacedAtNewAddress, "no majority is left"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			const maxSeeds = 20 // seeds within which the mutation must be detected
			for seed := range uint64(maxSeeds) {
				violation := runReplacements(t, seed, 3, 1, c.way, 2*time.Second, time.Second, 0, c.mutation)
				if strings.Contains(violation, c.expected) {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
				require.Empty(t, violation, "seed %d: another invariant is violated", seed)
			}
			require.Fail(t, "the mutation was not detected", "in %d histories", maxSeeds)
		})
	}
}
