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

var replacementSeeds = flag.Uint64("replacements", 2, "histories of replacements of each size of core, way and bound")

// way is how a member of the core is replaced.
type way int

const (
	replacedElsewhere way = iota // it is gone for good, an empty one comes later at another address
	wipedSameAddress             // it comes back at its address with an empty disk
	planned                      // the new one comes first, at another address; then the old one is told to stop
	ways
)

func (w way) String() string {
	return [...]string{"gone, another address", "wiped, same address", "planned, the new one first"}[w]
}

// slot is a place in the core that a machine fills, or its successor. It counts as lost while its machine is down, frozen or cut off, and
// for a while after that has returned; a successor counts as the machine that it replaces.
type slot struct {
	machine          *simulated
	successor        *simulated // started, while machine has still to stop
	unavailableUntil time.Duration
}

const notBack = endless // of slot.lostUntil: its machine is lost now

// replacements is a simulation whose machines are replaced, one after the other, as fast as the tolerance allows.
type replacements struct {
	*simulation
	t       *testing.T
	catchup time.Duration
	slots   []*slot
	next    int // number of the next machine
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
	s.load(60 * time.Millisecond)
	s.run(5 * time.Second)
	s.expectService("at first", 500*time.Millisecond)
	return r
}

// machine adds a machine that has not started.
func (r *replacements) machine() *simulated {
	at := r.next
	r.next++
	m := &simulated{
		s: r.simulation, address: fmt.Sprintf("10.0.0.%d:1", at), zone: fmt.Sprint("zone-", at%3), folder: slotstest.New(),
		rate: 0.965 + 0.07*r.random.Float64(), offset: time.Duration(r.random.Int64N(int64(time.Hour))), idSeed: uint64(at) * 1001,
	}
	r.members = append(r.members, m)
	r.byAddr[m.address] = m
	return m
}

func (r *replacements) drop(m *simulated) {
	m.kill()
	r.members = slices.DeleteFunc(r.members, func(other *simulated) bool { return other == m })
}

// replace has the machine of a slot replaced, the new one gap after (or, planned, gap before) the old one's end. It returns once the new
// one has started.
func (r *replacements) replace(s *slot, w way, gap time.Duration) {
	old := s.machine
	s.unavailableUntil = notBack
	switch w {
	case replacedElsewhere:
		old.powerLoss()
		r.drop(old)
		r.watch(r.now + gap)
		s.machine = r.machine()
		s.machine.start()
	case wipedSameAddress:
		old.wipe()
		r.watch(r.now + gap)
		old.start()
	case planned:
		s.successor = r.machine()
		s.successor.start()
		s.unavailableUntil = r.now + r.catchup
		r.after(gap, func() {
			old.terminate(func() {
				r.drop(old)
				s.machine, s.successor = s.successor, nil
			})
		})
		return
	}
	s.unavailableUntil = r.now + r.catchup
}

// watch runs until a time, and sees at every step whether what may still be lost would leave a majority and a complete member.
func (r *replacements) watch(until time.Duration) {
	const step = 20 * time.Millisecond
	for r.now < until && r.broken == "" {
		r.run(min(r.now+step, until))
		r.checkMargin()
	}
	if r.now < until {
		r.now = until
	}
}

// newestView is the latest view that any member has heard is decided.
func (r *replacements) newestView() *view.View {
	var newest *view.View
	for _, m := range r.members {
		if m.node != nil && (newest == nil || m.node.view.Epoch > newest.Epoch) {
			newest = &m.node.view
		}
	}
	return newest
}

// soundMachines lists the machines that do not count as lost, and tells how many slots do.
func (r *replacements) soundMachines() (sound []*simulated, unavailable int) {
	for _, s := range r.slots {
		switch {
		case s.unavailableUntil <= r.now:
			sound = append(sound, s.machine)
			if s.successor != nil {
				sound = append(sound, s.successor)
			}
		case s.successor != nil:
			sound = append(sound, s.machine) // the new one counts as lost, the old one runs
			unavailable++
		default:
			unavailable++
		}
	}
	return sound, unavailable
}

// checkMargin sees whether the losses that the tolerance still allows would leave a majority of the voters, with a member that holds all
// that was committed.
func (r *replacements) checkMargin() {
	if r.broken != "" {
		return
	}
	v := r.newestView()
	sound, unavailable := r.soundMachines()
	more := max(0, r.tolerated-unavailable) // losses
	voters, complete := 0, 0
	for _, m := range sound {
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
		r.fail("no majority is left if %d more are lost: %d sound of %d voters\n%s", more, voters, len(v.Voters), r.describe())
	}
	if complete-more < 1 {
		r.fail("no whole member is left if %d more are lost: %d sound and whole\n%s", more, complete, r.describe())
	}
}

// chainOfReplacements replaces machine after machine, each as soon as the one before it has ceased to count as lost, then loses as many as
// may be at once after a while, and then, at some seeds, all lose their power.
func chainOfReplacements(t *testing.T, seed uint64, members, tolerated int, w way, catchup, gap, pause time.Duration, m mutant) string {
	r := newReplacements(t, seed, members, tolerated, catchup, m)
	for round := range 2 * members {
		if r.broken != "" {
			return r.broken
		}
		way := w
		if way == ways {
			way = r.drawWay()
		}
		s := r.slots[(round+int(seed))%members]
		r.replace(s, way, gap)
		r.watch(max(r.now, s.unavailableUntil))
		if s.successor != nil { // it has had its time before the old one is told to stop
			r.watchUntil(func() bool { return s.successor == nil }, gap+5*time.Second)
		}
	}
	r.watch(r.now + pause)
	r.secondLoss()
	if r.broken == "" {
		r.checkHistory()
	}
	return r.broken
}

func (r *replacements) drawWay() way { return way(r.random.IntN(int(ways))) }

func (r *replacements) watchUntil(holds func() bool, bound time.Duration) {
	for deadline := r.now + bound; r.now < deadline && !holds() && r.broken == ""; {
		r.watch(r.now + 20*time.Millisecond)
	}
	if !holds() {
		r.fail("a member that was told to stop did not")
	}
}

// secondLoss loses as many at once as may be, by any cause, and expects service from the others.
func (r *replacements) secondLoss() {
	if r.broken != "" {
		return
	}
	for _, at := range r.random.Perm(len(r.slots))[:r.tolerated] {
		s := r.slots[at]
		s.unavailableUntil = notBack
		switch r.random.IntN(4) {
		case 0:
			s.machine.kill()
		case 1:
			s.machine.powerLoss()
		case 2:
			s.machine.frozen = true
		case 3:
			r.separate([]*simulated{s.machine}, true)
		}
	}
	struck := r.now
	r.until(failoverBound, func() bool { return r.newest > struck })
	if r.newest <= struck {
		r.fail("nothing was answered for %v after the second loss\n%s", r.now-struck, r.describe())
	}
}

const failoverBound = 3500 * time.Millisecond

func TestAMajorityRemainsThroughReplacements(t *testing.T) {
	cores := []struct{ members, tolerated int }{{3, 1}, {4, 1}, {5, 1}, {5, 2}}
	for _, size := range cores {
		for w := range ways + 1 {
			name := "all ways"
			if w < ways {
				name = w.String()
			}
			t.Run(fmt.Sprintf("%d members, %d lost, %s", size.members, size.tolerated, name), func(t *testing.T) {
				t.Parallel()
				for seed := range *replacementSeeds {
					catchup := []time.Duration{4400 * time.Millisecond, 2 * time.Second}[seed%2]
					gap := time.Duration(seed*7%5) * 500 * time.Millisecond
					pause := time.Duration(seed*11%16) * time.Second
					broken := chainOfReplacements(t, seed, size.members, size.tolerated, w, catchup, gap, pause, sound)
					require.Empty(t, broken, "seed %d, catchup %v, gap %v, second loss after %v", seed, catchup, gap, pause)
				}
			})
		}
	}
}

// TestMistakesInReplacementsAreCaught takes out one guard of a second loss each, and has the histories of replacements find it.
func TestMistakesInReplacementsAreCaught(t *testing.T) {
	for _, c := range []struct {
		name     string
		mistake  mutant
		way      way
		expected string
	}{
		{"a voter that is down keeps its vote for ten seconds", lateDown, replacedElsewhere, "no majority is left"},
		{"a member that is told to stop keeps its vote", stayingVote, planned, "no majority is left"},
		{"a newcomer gets a vote at once", eagerVote, replacedElsewhere, "no majority is left"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			const most = 20 // seeds until it must have been seen
			for seed := range uint64(most) {
				broken := chainOfReplacements(t, seed, 3, 1, c.way, 2*time.Second, time.Second, 0, c.mistake)
				if strings.Contains(broken, c.expected) {
					t.Logf("seed %d: %s", seed, broken)
					return
				}
				require.Empty(t, broken, "seed %d: another rule", seed)
			}
			require.Fail(t, "not caught", "in %d histories", most)
		})
	}
}
