package plane

import (
	"time"

	"ravendale/control/view"
)

// Times by which stores are asked to take part in the core.
const (
	zonePatience  = 700 * time.Millisecond  // so long a store of a zone that has none yet is waited for
	answerWithin  = 3 * time.Second         // after which a store that was asked and has not come is not counted on any more
	askAgain      = time.Second             // between two questions to the same store
	replaceAfter  = 1500 * time.Millisecond // a voter that is away for longer gets a substitute: a second loss may follow soon
	leavePatience = 2 * time.Second         // so long a substitute for a store that retires is waited for
	votersAtMost  = 2                       // times the wanted number: more than that are not asked, whatever is away
)

// membership is what a process knows of the core.
type membership struct {
	voters   []view.Member
	chain    []view.ID
	retiring map[string]bool // rpc addresses of the core's members on machines that are being emptied
	stopping map[string]bool // the same of those that were told to stop, and may not come back
}

// stays says whether a member is counted on.
func (m *membership) stays(address string) bool { return !m.retiring[address] && !m.stopping[address] }

func (m *membership) voter(address string) (view.Member, bool) {
	for _, member := range m.voters {
		if member.Address == address {
			return member, true
		}
	}
	return view.Member{}, false
}

func (m *membership) attached(id view.ID) bool {
	for _, other := range m.chain {
		if other == id {
			return true
		}
	}
	return false
}

// recruiter decides which stores are asked to take part in the core, and which to leave it. It is pure: time and events go in.
type recruiter struct {
	wanted       int // voters
	asked        map[string]question
	lackingSince time.Duration // negative: nothing is lacking
	awaySince    time.Duration // the same of voters that are not in the chain
	leavingSince map[string]time.Duration
}

type question struct {
	zone string
	at   time.Duration
}

func newRecruiter(wanted int) *recruiter {
	return &recruiter{
		wanted: wanted, asked: make(map[string]question), lackingSince: -1, awaySince: -1, leavingSince: make(map[string]time.Duration),
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
	if member, ok := core.voter(address); ok {
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
		_, voter := core.voter(address)
		if now-last.at >= answerWithin || voter {
			delete(r.asked, address)
		}
	}
	staying, attached := r.count(core)
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

// count tells how many voters are to stay, and how many of them are in the chain.
func (r *recruiter) count(core *membership) (staying, attached int) {
	for _, member := range core.voters {
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

// lacks says whether another store is wanted: there are too few voters, or one has been away for long.
func (r *recruiter) lacks(now time.Duration, core *membership) bool {
	staying, attached := r.count(core)
	coming := len(r.asked)
	if staying+coming < r.wanted {
		return true
	}
	away := r.awaySince >= 0 && now-r.awaySince >= replaceAfter
	return away && attached+coming < r.wanted && len(core.voters)+coming < votersAtMost*r.wanted
}

// covered says whether a zone has a member already, or one that was asked.
func (r *recruiter) covered(core *membership, zone string) bool {
	for _, member := range core.voters {
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

// leaves says whether a store is to give its vote up, as it is being emptied or stops: once enough others hold the state. One that is being
// emptied also leaves if none more come.
func (r *recruiter) leaves(now time.Duration, core *membership, address string) bool {
	if _, voter := core.voter(address); !voter || core.stays(address) {
		delete(r.leavingSince, address)
		return false
	}
	began, known := r.leavingSince[address]
	if !known {
		began = now
		r.leavingSince[address] = now
	}
	if _, attached := r.count(core); attached >= r.wanted {
		return true
	}
	return core.retiring[address] && now-began >= leavePatience && len(r.asked) == 0
}
