package plane

import (
	"slices"
	"time"

	"ravendale/control/view"
)

// Times by which stores are invited to take part in the core.
const (
	zoneTimeout           = 700 * time.Millisecond  // so long a store of a zone that has none yet is waited for
	inviteTimeout         = 3 * time.Second         // after which a store that was invited and has not come is not counted on any more
	inviteInterval        = time.Second             // between two invitations of the same store
	replaceTimeout        = 1500 * time.Millisecond // a member that is away for longer gets a substitute: a second loss may follow soon
	startupGracePeriod    = 1500 * time.Millisecond // so long control processes that start a little late are waited for
	controlReplaceTimeout = 3 * time.Second         // replaceTimeout where control processes are members: they return and are replaced by themselves
	leaveTimeout          = 2 * time.Second         // so long a substitute for a store that retires is waited for
	surplusTimeout        = 30 * time.Second        // so long control processes have made do without a store before that may go
	maxMembersFactor      = 2                       // times the required voters: more than that are not invited, whatever is away
)

// membership is what a process knows of the core.
type membership struct {
	members  []view.Member // voters and learners
	chain    []view.ID
	retiring map[string]bool // rpc addresses of the core's members on machines that are being emptied
	stopping map[string]bool // the same of those that are stopping, and may not come back
}

// isStaying says whether a member is counted on.
func (m *membership) isStaying(address string) bool {
	return !m.retiring[address] && !m.stopping[address]
}

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

// recruiter decides which stores are invited to take part in the core, and which are to leave it, so that there are as many members as the losses
// that are to be borne need. It is pure: time and events go in.
type recruiter struct {
	requiredVoters   int // that bear the losses which the settings name
	invitations      map[string]invitation
	fewSince         time.Duration // negative: there are enough members, or stores have been invited
	needsMemberSince time.Duration // negative: no store is to be invited
	awaySince        time.Duration // the same of members that are not in the chain
	leavingSince     map[string]time.Duration
}

// invitation is the newest order to a store to take part.
type invitation struct {
	zone string
	at   time.Duration
}

func newRecruiter(requiredVoters int) *recruiter {
	return &recruiter{
		requiredVoters: requiredVoters, invitations: make(map[string]invitation), fewSince: -1, needsMemberSince: -1, awaySince: -1,
		leavingSince: make(map[string]time.Duration),
	}
}

// shouldJoin says whether a store that was just heard of is to be invited to take part.
func (r *recruiter) shouldJoin(now time.Duration, core *membership, address, zone string) bool {
	r.update(now, core)
	if !core.isStaying(address) {
		return false
	}
	if invited, ok := r.invitations[address]; ok && now-invited.at < inviteInterval {
		return false
	}
	if member, ok := core.member(address); ok {
		if core.attached(member.ID) {
			return false
		}
		return r.invite(now, address, zone) // it may have come back without its disk
	}
	if !r.needsMember(now, core) || r.covered(core, zone) && now-r.needsMemberSince < zoneTimeout {
		return false
	}
	return r.invite(now, address, zone)
}

func (r *recruiter) invite(now time.Duration, address, zone string) bool {
	r.invitations[address] = invitation{zone, now}
	return true
}

// update records since when something is lacking, and forgets old invitations.
func (r *recruiter) update(now time.Duration, core *membership) {
	for address, invited := range r.invitations {
		_, member := core.member(address)
		if now-invited.at >= inviteTimeout || member {
			delete(r.invitations, address)
		}
	}
	staying, attached := r.count(core)
	since(&r.fewSince, now, staying+len(r.invitations) < r.requiredVoters)
	since(&r.awaySince, now, attached < min(staying, r.requiredVoters))
	since(&r.needsMemberSince, now, r.needsMember(now, core))
}

func since(at *time.Duration, now time.Duration, holds bool) {
	switch {
	case !holds:
		*at = -1
	case *at < 0:
		*at = now
	}
}

// lastedFor says whether something has been so for a time.
func lastedFor(at, now, span time.Duration) bool { return at >= 0 && now-at >= span }

// count returns how many members are to stay, and how many of them are in the chain.
func (r *recruiter) count(core *membership) (staying, attached int) {
	for _, member := range core.members {
		if !core.isStaying(member.Address) {
			continue
		}
		staying++
		if core.attached(member.ID) {
			attached++
		}
	}
	return staying, attached
}

// needsMember says whether another store is required: there are too few members, or one has been away for long.
func (r *recruiter) needsMember(now time.Duration, core *membership) bool {
	few, away := time.Duration(0), replaceTimeout
	if core.hasControl() {
		few, away = startupGracePeriod, controlReplaceTimeout
	}
	staying, attached := r.count(core)
	coming := len(r.invitations)
	if staying+coming < r.requiredVoters {
		return lastedFor(r.fewSince, now, few)
	}
	return lastedFor(r.awaySince, now, away) && attached+coming < r.requiredVoters && len(core.members)+coming < maxMembersFactor*r.requiredVoters
}

// covered says whether a zone has a member already, or one that was invited.
func (r *recruiter) covered(core *membership, zone string) bool {
	for _, member := range core.members {
		if member.Zone == zone && core.attached(member.ID) && core.isStaying(member.Address) {
			return true
		}
	}
	for _, invited := range r.invitations {
		if invited.zone == zone {
			return true
		}
	}
	return false
}

// shouldLeave says whether a store is to leave the core: it is being emptied or stops, and enough others hold the state, or it is not needed any more.
// One that is being emptied also leaves if no others come.
func (r *recruiter) shouldLeave(now time.Duration, core *membership, address string) bool {
	_, member := core.member(address)
	staying, enough := core.isStaying(address), r.enoughWithout(core, address)
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
		return now-began >= surplusTimeout
	}
	return enough || core.retiring[address] && now-began >= leaveTimeout && len(r.invitations) == 0
}

// enoughWithout says whether the core can do without a store: others hold the state, as many as are required. One that stays is only let go where
// control processes are members, and one at a time.
func (r *recruiter) enoughWithout(core *membership, address string) bool {
	_, attached := r.count(core)
	if !core.isStaying(address) {
		return attached >= r.requiredVoters
	}
	return core.hasControl() && core.lastStore() == address && attached > r.requiredVoters
}
