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

// Ticks of the model: a view that is wanted is decided within one, as long as a majority of the voters is up.
const (
	downTicks      = 2  // of silence, then a voter may lose its vote to another
	joinTicks      = 1  // after a start, until a machine is heard of
	fillTicks      = 2  // after a machine has come into the chain, until it is complete
	catchupTicks   = 6  // after a start, until a machine does not count as lost any more
	removableTicks = 14 // of silence, then a voter may be given up
)

// machine is one of a site of the core: it is up or lost.
type machine struct {
	ID      view.ID
	Address int
	Up      bool
	Stops   bool // it has been told to stop, and waits for its vote to be taken
	Since   int  // ticks since it has started or was lost, up to removableTicks
	Filled  int  // ticks in the chain, up to fillTicks
}

// site is where one member of the core runs. It counts as lost while its machine is down, and until its successor has had its time.
type site struct {
	Machine   machine
	Successor *machine // of a planned replacement: it has come, the old one still runs
	Waits     int      // ticks until it is not lost any more, zero if it is not
}

// replacing is a model of the membership alone: machines are lost and replaced, and a view is decided whenever another is planned. The rest
// of the core is assumed as its simulation shows it: silence is noticed, newcomers are heard of and filled within bounds.
type replacing struct {
	tolerated int // losses that are borne
	Sites     []site
	Replaced  []machine // that were replaced, until they are unreachable for removableTicks
	View      view.View
	Next      view.ID
	Left      int // replacements that may still be begun
	mistake   func(know *view.Knowledge)
}

func newReplacing(sites, tolerated, replacements int) *replacing {
	r := &replacing{tolerated: tolerated, Left: replacements, Next: view.ID(sites + 1)}
	r.View.Epoch = 1
	for i := range sites {
		id := view.ID(i + 1)
		r.Sites = append(r.Sites, site{Machine: machine{ID: id, Address: i, Up: true, Since: removableTicks, Filled: fillTicks}})
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

// machines lists all that exist, or were there lately.
func (r *replacing) machines() []*machine {
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

func (r *replacing) find(id view.ID) *machine {
	for _, m := range r.machines() {
		if m.ID == id {
			return m
		}
	}
	return nil
}

func (r *replacing) knowledge() view.Knowledge {
	unreachable := func(id view.ID, ticks int) bool {
		m := r.find(id)
		return m == nil || !m.Up && m.Since >= ticks
	}
	know := view.Knowledge{
		Alive: func(id view.ID) bool { return !unreachable(id, 1) },
		Joinable: func(id view.ID) bool {
			m := r.find(id)
			return m != nil && m.Up && (m.Since >= joinTicks || r.View.Position(id) >= 0)
		},
		Connected: func(a, b view.ID) bool { return true },
		Down:      func(id view.ID) bool { return unreachable(id, downTicks) },
		Removable: func(id view.ID) bool { return unreachable(id, removableTicks) },
		Leaving:   func(id view.ID) bool { m := r.find(id); return m != nil && m.Stops },
	}
	for _, m := range r.machines() {
		if m.Up {
			know.Known = append(know.Known, view.Member{ID: m.ID, Address: fmt.Sprint(m.Address)})
		}
	}
	if r.mistake != nil {
		r.mistake(&know)
	}
	return know
}

func (r *replacing) complete(id view.ID) bool {
	m := r.find(id)
	at := r.View.Position(id)
	return m != nil && m.Up && at >= 0 && (at < r.View.Complete || m.Filled >= fillTicks)
}

func (r *replacing) upVoters() int {
	up := 0
	for _, voter := range r.View.Voters {
		if m := r.find(voter.ID); m != nil && m.Up {
			up++
		}
	}
	return up
}

// decide decides the view that is planned, if there is another one and a majority is up.
func (r *replacing) decide() {
	if r.upVoters() < r.View.Majority() {
		return
	}
	next, ok := view.Plan(&r.View, r.knowledge(), r.complete)
	if !ok || view.Same(&r.View, &next) {
		return
	}
	next.Epoch = 1 // epochs have no bearing here
	r.View = next
}

// tick lets time pass: machines age, newcomers are filled, those that have handed over their votes end.
func (r *replacing) tick() {
	r.decide()
	for _, m := range r.machines() {
		m.Since = min(m.Since+1, removableTicks)
		if m.Up && r.View.Position(m.ID) >= 0 {
			m.Filled = min(m.Filled+1, fillTicks)
		}
	}
	r.Replaced = slices.DeleteFunc(r.Replaced, func(m machine) bool { return m.Since >= removableTicks })
	r.decide()
	for i := range r.Sites {
		p := &r.Sites[i]
		p.Waits = max(0, p.Waits-1)
		if p.Machine.Stops {
			r.end(p.Machine)
			p.Machine, p.Successor = *p.Successor, nil
		}
	}
}

// counted says whether a site counts as lost.
func (p *site) counted() bool {
	return p.Waits > 0 || !p.Machine.Up || p.Successor != nil && !p.Successor.Up
}

func (r *replacing) lostSites() int {
	counted := 0
	for i := range r.Sites {
		if r.Sites[i].counted() {
			counted++
		}
	}
	return counted
}

// Enabled implements explore.System: a machine may be lost when that is within the tolerance, or its site counts as lost already.
func (r *replacing) Enabled() []explore.Action {
	actions := []explore.Action{{Name: "tick"}}
	add := func(verb string, at int) {
		fault := verb == "lose" || verb == "lose-new" || verb == "plan"
		actions = append(actions, explore.Action{Name: fmt.Sprint(verb, " ", at), Fault: fault})
	}
	may := r.lostSites() < r.tolerated
	for at := range r.Sites {
		p := &r.Sites[at]
		counted := p.counted()
		switch {
		case !p.Machine.Up:
			add("return", at)
			if r.Left > 0 {
				add("elsewhere", at)
				add("empty", at)
			}
		case p.Successor != nil && !p.Machine.Stops:
			add("stop", at)
			if counted && p.Successor.Up {
				add("lose-new", at)
			}
			if !p.Successor.Up {
				add("return-new", at)
			}
		case p.Successor == nil:
			if may || counted {
				add("lose", at)
			}
			if (may || counted) && r.Left > 0 {
				add("plan", at)
			}
		}
	}
	return actions
}

// Do implements explore.System.
func (r *replacing) Do(name string) {
	var verb string
	var at int
	if _, err := fmt.Sscan(name, &verb, &at); err != nil {
		r.tick()
		return
	}
	p := &r.Sites[at]
	switch verb {
	case "lose":
		p.Machine.Up, p.Machine.Since = false, 0
	case "lose-new":
		p.Successor.Up, p.Successor.Since = false, 0
	case "return":
		p.Machine.Up, p.Machine.Since, p.Machine.Filled, p.Waits = true, 0, 0, catchupTicks
	case "return-new":
		p.Successor.Up, p.Successor.Since, p.Successor.Filled, p.Waits = true, 0, 0, catchupTicks
	case "elsewhere":
		r.end(p.Machine)
		p.Machine, p.Waits = r.newcomer(int(r.Next)), catchupTicks
	case "empty":
		r.end(p.Machine)
		p.Machine, p.Waits = r.newcomer(p.Machine.Address), catchupTicks
	case "plan":
		successor := r.newcomer(int(r.Next))
		p.Successor, p.Waits = &successor, catchupTicks
	case "stop":
		p.Machine.Stops = true
	}
}

func (r *replacing) end(m machine) {
	if m.Up {
		m.Up, m.Since = false, 0
	}
	r.Replaced = append(r.Replaced, m)
}

func (r *replacing) newcomer(address int) machine {
	r.Left--
	r.Next++
	return machine{ID: r.Next - 1, Address: address, Up: true}
}

// State implements explore.System. Of identities only the order has a bearing, of addresses only which are the same.
func (r *replacing) State() []byte {
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
	b = encoder.Append(b, r.Left)
	for _, member := range r.View.Members() {
		for _, m := range r.machines() {
			b = encoder.Append(b, member.Address == fmt.Sprint(m.Address))
		}
	}
	return b
}

// Clone implements explore.System.
func (r *replacing) Clone() explore.System { return explore.Clone(r) }

// Check implements explore.System: whatever else may be lost, a majority is left, and a complete member.
func (r *replacing) Check() error {
	voters, complete := 0, 0
	for i := range r.Sites {
		p := &r.Sites[i]
		if p.counted() && p.Successor == nil || !p.Machine.Up {
			continue
		}
		reliable := []*machine{&p.Machine}
		if p.Successor != nil && !p.counted() {
			reliable = append(reliable, p.Successor)
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
	more := max(0, r.tolerated-r.lostSites())
	if voters-more < r.View.Majority() {
		return fmt.Errorf("%d of %d voters can be relied on, and %d more may be lost", voters, len(r.View.Voters), more)
	}
	if complete-more < 1 {
		return fmt.Errorf("%d complete members can be relied on, and %d more may be lost", complete, more)
	}
	return nil
}

var searchLarge = flag.Int("explore", 5000, "states of the search of each kind of core")

// TestNoOrderOfReplacementsLeavesNoMajority searches from calm cores, as far as a number of states allows.
func TestNoOrderOfReplacementsLeavesNoMajority(t *testing.T) {
	for _, c := range []struct{ sites, tolerated, replacements, faults int }{{3, 1, 2, 3}, {4, 1, 2, 3}, {5, 1, 2, 3}, {5, 2, 2, 3}} {
		t.Run(fmt.Sprintf("%d machines, %d lost", c.sites, c.tolerated), func(t *testing.T) {
			t.Parallel()
			result := explore.Run(newReplacing(c.sites, c.tolerated, c.replacements), explore.Scope{States: *searchLarge, Faults: c.faults})
			t.Log(result)
			require.Nil(t, result.Violation)
		})
	}
}

// TestVotesThatAreKeptAreFound has voters that are down, or that are told to stop, keep their votes, or newcomers get votes at once.
func TestVotesThatAreKeptAreFound(t *testing.T) {
	for name, mistake := range map[string]func(know *view.Knowledge){
		"down":     func(know *view.Knowledge) { know.Down = know.Removable },
		"stopping": func(know *view.Knowledge) { know.Leaving = no },
		"eager":    func(know *view.Knowledge) { know.MutateImmediateVote = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			start := newReplacing(3, 1, 2)
			start.mistake = mistake
			result := explore.Run(start, explore.Scope{States: 40000, Faults: 2})
			require.NotNil(t, result.Violation, "not caught: %v", result)
			require.ErrorContains(t, result.Violation.Err, "voters can be relied on")
			again := newReplacing(3, 1, 2)
			again.mistake = mistake
			require.Error(t, explore.Replay(again, result.Violation.Trace), "the trace replays")
		})
	}
}
