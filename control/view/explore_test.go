package view_test

import (
	"flag"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/control/view"
	"ravendale/internal/explore"
)

// Durations in ticks of the model. A wanted view is decided within one tick if a majority of the voters is up.
const (
	downTicks      = 2  // time without messages after which a voter's vote may be given to another member
	joinTicks      = 1  // time from the start of a machine until the others know it
	fillTicks      = 2  // time from joining the chain until a machine is complete
	catchupTicks   = 6  // time from the start of a machine until its site no longer counts as failed
	removableTicks = 14 // time without messages after which a voter may be removed
)

// machine is a machine at a site of the core. It is up or down.
type machine struct {
	ID         view.ID
	Address    int
	Up         bool
	Stopping   bool // it is stopping, and waits until another machine has taken its vote
	Since      int  // ticks since it started or failed, at most removableTicks
	ChainTicks int  // ticks in the chain, at most fillTicks
}

// site is the place of one member of the core. It counts as failed while its machine is down, and until a machine
// that has started there has had catchupTicks.
type site struct {
	Machine       machine
	Successor     *machine // of a planned replacement: it has started, while the old machine still runs
	RecoveryTicks int      // ticks until it no longer counts as failed, zero if it does not
}

// replacementModel is a model of the membership only: machines fail and are replaced, and a view is decided whenever
// the planned one differs. The rest of the core is assumed to behave as its simulation shows: silence is detected,
// and newcomers become known and complete within time bounds.
type replacementModel struct {
	tolerated        int // number of tolerated failures
	Sites            []site
	Replaced         []machine // replaced machines, until they have been unreachable for removableTicks
	View             view.View
	NextID           view.ID
	ReplacementsLeft int // number of replacements that may still begin
	fault            func(knowledge *view.Knowledge)
}

func newReplacementModel(sites, tolerated, replacements int) *replacementModel {
	r := &replacementModel{tolerated: tolerated, ReplacementsLeft: replacements, NextID: view.ID(sites + 1)}
	r.View.Epoch = 1
	for i := range sites {
		id := view.ID(i + 1)
		r.Sites = append(r.Sites, site{Machine: machine{ID: id, Address: i, Up: true, Since: removableTicks, ChainTicks: fillTicks}})
		m := view.Member{ID: id, Address: fmt.Sprint(i)}
		if i < sites-1+sites%2 {
			r.View.Voters = append(r.View.Voters, m)
		} else {
			r.View.Learners = append(r.View.Learners, m)
		}
		r.View.Chain = append(r.View.Chain, id)
	}
	r.View.Complete = sites
	return r
}

// machines returns all machines, including those that were replaced recently.
func (r *replacementModel) machines() []*machine {
	var all []*machine
	for i := range r.Replaced {
		all = append(all, &r.Replaced[i])
	}
	for i := range r.Sites {
		all = append(all, &r.Sites[i].Machine)
		if successor := r.Sites[i].Successor; successor != nil {
			all = append(all, successor)
		}
	}
	return all
}

func (r *replacementModel) find(id view.ID) *machine {
	for _, m := range r.machines() {
		if m.ID == id {
			return m
		}
	}
	return nil
}

func (r *replacementModel) knowledge() view.Knowledge {
	unreachable := func(id view.ID, ticks int) bool {
		m := r.find(id)
		return m == nil || !m.Up && m.Since >= ticks
	}
	knowledge := view.Knowledge{
		Alive: func(id view.ID) bool { return !unreachable(id, 1) },
		Joinable: func(id view.ID) bool {
			m := r.find(id)
			return m != nil && m.Up && (m.Since >= joinTicks || r.View.Position(id) >= 0)
		},
		Connected: func(a, b view.ID) bool { return true },
		Down:      func(id view.ID) bool { return unreachable(id, downTicks) },
		Removable: func(id view.ID) bool { return unreachable(id, removableTicks) },
		Leaving:   func(id view.ID) bool { m := r.find(id); return m != nil && m.Stopping },
	}
	for _, m := range r.machines() {
		if m.Up {
			knowledge.Known = append(knowledge.Known, view.Member{ID: m.ID, Address: fmt.Sprint(m.Address)})
		}
	}
	if r.fault != nil {
		r.fault(&knowledge)
	}
	return knowledge
}

func (r *replacementModel) complete(id view.ID) bool {
	m := r.find(id)
	at := r.View.Position(id)
	return m != nil && m.Up && at >= 0 && (at < r.View.Complete || m.ChainTicks >= fillTicks)
}

func (r *replacementModel) upVoters() int {
	up := 0
	for _, voter := range r.View.Voters {
		if m := r.find(voter.ID); m != nil && m.Up {
			up++
		}
	}
	return up
}

// decide adopts the planned view, if it changes anything and a majority of the voters is up.
func (r *replacementModel) decide() {
	if r.upVoters() < r.View.Majority() {
		return
	}
	next, ok := view.Plan(&r.View, r.knowledge(), r.complete)
	if !ok || view.Unchanged(&r.View, &next) {
		return
	}
	next.Epoch = 1 // the model does not depend on epochs
	r.View = next
}

// tick advances the time by one tick: machines in the chain become complete, and stopping machines whose successors
// have replaced them end.
func (r *replacementModel) tick() {
	r.decide()
	for _, m := range r.machines() {
		m.Since = min(m.Since+1, removableTicks)
		if m.Up && r.View.Position(m.ID) >= 0 {
			m.ChainTicks = min(m.ChainTicks+1, fillTicks)
		}
	}
	r.Replaced = slices.DeleteFunc(r.Replaced, func(m machine) bool { return m.Since >= removableTicks })
	r.decide()
	for i := range r.Sites {
		s := &r.Sites[i]
		s.RecoveryTicks = max(0, s.RecoveryTicks-1)
		if s.Machine.Stopping {
			r.end(s.Machine)
			s.Machine, s.Successor = *s.Successor, nil
		}
	}
}

// countsAsFailed reports whether a site counts as failed.
func (s *site) countsAsFailed() bool {
	return s.RecoveryTicks > 0 || !s.Machine.Up || s.Successor != nil && !s.Successor.Up
}

func (r *replacementModel) failedSites() int {
	failed := 0
	for i := range r.Sites {
		if r.Sites[i].countsAsFailed() {
			failed++
		}
	}
	return failed
}

// Enabled implements explore.System. A machine may fail if that is within the tolerated failures, or if its site
// already counts as failed. The actions other than tick are, for each site:
//
//   - lose: its machine fails;
//   - return: the machine that failed starts again;
//   - elsewhere: the machine that failed is replaced by a new one at another address;
//   - empty: the machine that failed is replaced by a new one at the same address, with an empty disk;
//   - plan: a successor starts at another address, while the old machine still runs;
//   - lose-new, return-new: the successor fails, or starts again;
//   - stop: the old machine is told to stop.
func (r *replacementModel) Enabled() []explore.Action {
	actions := []explore.Action{{Name: "tick"}}
	add := func(verb string, at int) {
		fault := verb == "lose" || verb == "lose-new" || verb == "plan"
		actions = append(actions, explore.Action{Name: fmt.Sprint(verb, " ", at), Fault: fault})
	}
	mayFail := r.failedSites() < r.tolerated
	for at := range r.Sites {
		s := &r.Sites[at]
		countsAsFailed := s.countsAsFailed()
		switch {
		case !s.Machine.Up:
			add("return", at)
			if r.ReplacementsLeft > 0 {
				add("elsewhere", at)
				add("empty", at)
			}
		case s.Successor != nil && !s.Machine.Stopping:
			add("stop", at)
			if countsAsFailed && s.Successor.Up {
				add("lose-new", at)
			}
			if !s.Successor.Up {
				add("return-new", at)
			}
		case s.Successor == nil:
			if mayFail || countsAsFailed {
				add("lose", at)
			}
			if (mayFail || countsAsFailed) && r.ReplacementsLeft > 0 {
				add("plan", at)
			}
		}
	}
	return actions
}

// Do implements explore.System.
func (r *replacementModel) Do(name string) {
	var verb string
	var at int
	if _, err := fmt.Sscan(name, &verb, &at); err != nil {
		r.tick()
		return
	}
	s := &r.Sites[at]
	switch verb {
	case "lose":
		s.Machine.Up, s.Machine.Since = false, 0
	case "lose-new":
		s.Successor.Up, s.Successor.Since = false, 0
	case "return":
		s.Machine.Up, s.Machine.Since, s.Machine.ChainTicks, s.RecoveryTicks = true, 0, 0, catchupTicks
	case "return-new":
		s.Successor.Up, s.Successor.Since, s.Successor.ChainTicks, s.RecoveryTicks = true, 0, 0, catchupTicks
	case "elsewhere":
		r.end(s.Machine)
		s.Machine, s.RecoveryTicks = r.newcomer(int(r.NextID)), catchupTicks
	case "empty":
		r.end(s.Machine)
		s.Machine, s.RecoveryTicks = r.newcomer(s.Machine.Address), catchupTicks
	case "plan":
		successor := r.newcomer(int(r.NextID))
		s.Successor, s.RecoveryTicks = &successor, catchupTicks
	case "stop":
		s.Machine.Stopping = true
	}
}

func (r *replacementModel) end(m machine) {
	if m.Up {
		m.Up, m.Since = false, 0
	}
	r.Replaced = append(r.Replaced, m)
}

func (r *replacementModel) newcomer(address int) machine {
	r.ReplacementsLeft--
	r.NextID++
	return machine{ID: r.NextID - 1, Address: address, Up: true}
}

// State implements explore.System. Of the IDs only the order matters, of the addresses only which ones are equal.
func (r *replacementModel) State() []byte {
	var known []view.ID
	for _, m := range r.machines() {
		known = append(known, m.ID)
	}
	for _, m := range r.View.Members() {
		known = append(known, m.ID)
	}
	slices.Sort(known)
	known = slices.Compact(known)
	encoder := explore.Encoder{
		Scalars: map[reflect.Type]func(int64) int64{
			reflect.TypeFor[view.ID](): func(id int64) int64 { return int64(slices.Index(known, view.ID(id))) },
		},
		Omit: map[reflect.Type][]string{reflect.TypeFor[machine](): {"Address"}, reflect.TypeFor[view.Member](): {"Address"}},
	}
	b := encoder.Append(nil, r.Sites)
	b = encoder.Append(b, r.Replaced)
	b = encoder.Append(b, r.View)
	b = encoder.Append(b, r.ReplacementsLeft)
	for _, member := range r.View.Members() {
		for _, m := range r.machines() {
			b = encoder.Append(b, member.Address == fmt.Sprint(m.Address))
		}
	}
	return b
}

// Clone implements explore.System.
func (r *replacementModel) Clone() explore.System { return explore.Clone(r) }

// Check implements explore.System: after any further tolerated failures, a majority of the voters and a complete
// member must remain.
func (r *replacementModel) Check() error {
	voters, complete := 0, 0
	for i := range r.Sites {
		s := &r.Sites[i]
		if s.countsAsFailed() && s.Successor == nil || !s.Machine.Up {
			continue
		}
		reliable := []*machine{&s.Machine}
		if s.Successor != nil && !s.countsAsFailed() {
			reliable = append(reliable, s.Successor)
		}
		for _, m := range reliable {
			if _, voter := r.View.Voter(m.ID); voter {
				voters++
			}
			if r.complete(m.ID) {
				complete++
			}
		}
	}
	more := max(0, r.tolerated-r.failedSites())
	if voters-more < r.View.Majority() {
		return fmt.Errorf("%d of %d voters are reliable, and %d more may fail", voters, len(r.View.Voters), more)
	}
	if complete-more < 1 {
		return fmt.Errorf("%d complete members are reliable, and %d more may fail", complete, more)
	}
	return nil
}

var maxStates = flag.Int("explore", 5000, "maximum number of states per search")

// TestMajorityRemainsInAnyOrderOfReplacements searches from healthy cores, up to a number of states.
func TestMajorityRemainsInAnyOrderOfReplacements(t *testing.T) {
	for _, c := range []struct{ sites, tolerated, replacements, faults int }{{3, 1, 2, 3}, {4, 1, 2, 3}, {5, 1, 2, 3}, {5, 2, 2, 3}} {
		t.Run(fmt.Sprintf("%d machines, %d failures tolerated", c.sites, c.tolerated), func(t *testing.T) {
			t.Parallel()
			result := explore.Run(newReplacementModel(c.sites, c.tolerated, c.replacements), explore.Scope{States: *maxStates, Faults: c.faults})
			t.Log(result)
			require.Nil(t, result.Violation)
		})
	}
}

// TestSearchDetectsFaultyPlans injects faults: voters that are down or stopping keep their votes, or newcomers get
// votes at once.
func TestSearchDetectsFaultyPlans(t *testing.T) {
	for name, fault := range map[string]func(knowledge *view.Knowledge){
		"voter that is down keeps its vote": func(knowledge *view.Knowledge) { knowledge.Down = knowledge.Removable },
		"stopping voter keeps its vote":     func(knowledge *view.Knowledge) { knowledge.Leaving = never },
		"newcomer gets a vote at once":      func(knowledge *view.Knowledge) { knowledge.MutateImmediateVote = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			start := newReplacementModel(3, 1, 2)
			start.fault = fault
			result := explore.Run(start, explore.Scope{States: 40000, Faults: 2})
			require.NotNil(t, result.Violation, "fault not detected: %v", result)
			require.ErrorContains(t, result.Violation.Err, "voters are reliable")
			replayed := newReplacementModel(3, 1, 2)
			replayed.fault = fault
			require.Error(t, explore.Replay(replayed, result.Violation.Trace), "the trace leads to the violation again")
		})
	}
}
