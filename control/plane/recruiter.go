package plane

import (
	"slices"
	"time"

	"ravendale/control/view"
)

// Times by which stores are asked to take part in the core.
const (
	zonePatience    = 700 * time.Millisecond  // so long a store of a zone that has none yet is waited for
	answerWithin    = 3 * time.Second         // after which a store that was asked and has not come is not counted on any more
	askAgain        = time.Second             // between two questions to the same store
	replaceAfter    = 1500 * time.Millisecond // a member that is away for longer gets a substitute: a second loss may follow soon
	startPatience   = 1500 * time.Millisecond // so long control processes that start a little late are waited for
	controlPatience = 3 * time.Second         // replaceAfter where control processes are members: they return and are replaced by themselves
	leavePatience   = 2 * time.Second         // so long a substitute for a store that retires is waited for
	surplusPatience = 30 * time.Second        // so long control processes have made do without a store before that may go
	membersAtMost   = 2                       // times the wanted number of voters: more than that are not asked, whatever is away
)

// membership is what a process knows of the core.
type membership struct {
	members  []view.Member // voters and learners
	chain    []view.ID
	retiring map[string]bool // rpc addresses of the core's members on machines that are being emptied
	stopping map[string]bool // the same of those that were told to stop, and may not come back
}

// stays says whether a member is counted on.
func (m *membership) stays(address string) bool { return !m.retiring[address] && !m.stopping[address] }

func (m *membership) member(address string) (view.Member, bool) {
	for _, member := range m.members {
		if member.Address == address {
			return member, true
		}
	}
	return view.Member{}, false
}

func (m *membership) attached(id view.ID) bool { return slices.Contains(m.chain, id) }

// hasControl says whether control processes are members.
func (m *membership) hasControl() bool {
	return slices.ContainsFunc(m.members, func(member view.Member) bool { return !member.Storage })
}

// lastStore is the address of the store that is let go first if there are more than needed, empty if there is none.
func (m *membership) lastStore() (address string) {
	for _, member := range m.members {
		if member.Storage && m.attached(member.ID) {
			address = max(address, member.Address)
		}
	}
	return address
}

// recruiter decides which stores are asked to take part in the core, and which to leave it, so that there are as many members as the losses
// that are to be borne need. It is pure: time and events go in.
type recruiter struct {
	wanted       int // voters
	asked        map[string]question
	fewSince     time.Duration // negative: there are enough members, or stores have been asked
	lackingSince time.Duration // negative: no store is to be asked
	awaySince    time.Duration // the same of members that are not in the chain
	leavingSince map[string]time.Duration
}

type question struct {
	zone string
	at   time.Duration
}

func newRecruiter(wanted int) *recruiter {
	return &recruiter{
		wanted: wanted, asked: make(map[string]question), fewSince: -1, lackingSince: -1, awaySince: -1,
		leavingSince: make(map[string]time.Duration),
	}
}

// joins says whether a store that was just heard of is to be asked to take part.
func (r *recruiter) joins(now time.Duration, core *membership, address, zone string) bool {
	r.look(now, core)
	if !core.stays(address) {
		return false
	}
	if last, ok := r.asked[address]; ok && now-last.at < askAgain {
		return false
	}
	if member, ok := core.member(address); ok {
		if core.attached(member.ID) {
			return false
		}
		return r.ask(now, address, zone) // it may have come back without its disk
	}
	if !r.lacks(now, core) || r.covered(core, zone) && now-r.lackingSince < zonePatience {
		return false
	}
	return r.ask(now, address, zone)
}

func (r *recruiter) ask(now time.Duration, address, zone string) bool {
	r.asked[address] = question{zone, now}
	return true
}

// look notes since when something is lacking, and forgets old questions.
func (r *recruiter) look(now time.Duration, core *membership) {
	for address, last := range r.asked {
		_, member := core.member(address)
		if now-last.at >= answerWithin || member {
			delete(r.asked, address)
		}
	}
	staying, attached := r.count(core)
	since(&r.fewSince, now, staying+len(r.asked) < r.wanted)
	since(&r.awaySince, now, attached < min(staying, r.wanted))
	since(&r.lackingSince, now, r.lacks(now, core))
}

func since(at *time.Duration, now time.Duration, holds bool) {
	switch {
	case !holds:
		*at = -1
	case *at < 0:
		*at = now
	}
}

// lasted says whether something has been so for a time.
func lasted(at, now, span time.Duration) bool { return at >= 0 && now-at >= span }

// count tells how many members are to stay, and how many of them are in the chain.
func (r *recruiter) count(core *membership) (staying, attached int) {
	for _, member := range core.members {
		if !core.stays(member.Address) {
			continue
		}
		staying++
		if core.attached(member.ID) {
			attached++
		}
	}
	return staying, attached
}

// lacks says whether another store is wanted: there are too few members, or one has been away for long.
func (r *recruiter) lacks(now time.Duration, core *membership) bool {
	few, away := time.Duration(0), replaceAfter
	if core.hasControl() {
		few, away = startPatience, controlPatience
	}
	staying, attached := r.count(core)
	coming := len(r.asked)
	if staying+coming < r.wanted {
		return lasted(r.fewSince, now, few)
	}
	return lasted(r.awaySince, now, away) && attached+coming < r.wanted && len(core.members)+coming < membersAtMost*r.wanted
}

// covered says whether a zone has a member already, or one that was asked.
func (r *recruiter) covered(core *membership, zone string) bool {
	for _, member := range core.members {
		if member.Zone == zone && core.attached(member.ID) && core.stays(member.Address) {
			return true
		}
	}
	for _, last := range r.asked {
		if last.zone == zone {
			return true
		}
	}
	return false
}

// leaves says whether a store is to leave the core: it is being emptied or stops, and enough others hold the state, or it is not needed any more.
// One that is being emptied also leaves if no others come.
func (r *recruiter) leaves(now time.Duration, core *membership, address string) bool {
	_, member := core.member(address)
	staying, enough := core.stays(address), r.enoughWithout(core, address)
	if !member || staying && !enough {
		delete(r.leavingSince, address)
		return false
	}
	began, known := r.leavingSince[address]
	if !known {
		began = now
		r.leavingSince[address] = now
	}
	if staying {
		return now-began >= surplusPatience
	}
	return enough || core.retiring[address] && now-began >= leavePatience && len(r.asked) == 0
}

// enoughWithout says whether the core can do without a store: others hold the state, as many as are wanted. One that stays is only let go where
// control processes are members, and one at a time.
func (r *recruiter) enoughWithout(core *membership, address string) bool {
	_, attached := r.count(core)
	if !core.stays(address) {
		return attached >= r.wanted
	}
	return core.hasControl() && core.lastStore() == address && attached > r.wanted
}
