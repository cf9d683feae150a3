package plane

import (
	"slices"
	"time"

	"ravendale/control/view"
)

// Timeouts and limits for inviting stores to the core and for ordering them to leave it.
const (
	zoneTimeout           = 700 * time.Millisecond  // how long to wait for a store of a zone that has no member yet
	inviteTimeout         = 3 * time.Second         // after which an invited store that has not joined no longer counts
	inviteInterval        = time.Second             // between two invitations of the same store
	replaceTimeout        = 1500 * time.Millisecond // a member detached for longer gets a replacement: a second failure may follow soon
	startupGracePeriod    = 1500 * time.Millisecond // how long to wait for control processes that start a little late
	controlReplaceTimeout = 3 * time.Second         // replaceTimeout if control processes are members: they restart or are replaced without stores
	leaveTimeout          = 2 * time.Second         // how long a retiring store waits for a replacement
	surplusTimeout        = 30 * time.Second        // how long a store must have been unneeded before it leaves
	maxMembersFactor      = 2                       // at most this many members per required voter, however many are detached
)

// membership is the core's membership as one process knows it.
type membership struct {
	members  []view.Member // voters and learners
	chain    []view.ID
	retiring map[string]bool // RPC addresses of the core's members on the machines of retiring stores
	stopping map[string]bool // RPC addresses of members whose process is stopping and may not come back
}

// isStaying reports whether a member is neither retiring nor stopping.
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

// hasControlProcess reports whether any member is a control process.
func (m *membership) hasControlProcess() bool {
	return slices.ContainsFunc(m.members, func(member view.Member) bool { return !member.Storage })
}

// surplusStore returns the address of the store that leaves first if there are more members than needed, or "" if no
// store is attached.
func (m *membership) surplusStore() (address string) {
	for _, member := range m.members {
		if member.Storage && m.attached(member.ID) {
			address = max(address, member.Address)
		}
	}
	return address
}

// recruiter decides which stores are invited to the core, and which have to leave it, so that it has as many members as
// the failures to be tolerated require. It has no side effects and reads no clock: callers pass the time in.
type recruiter struct {
	requiredVoters   int                   // voters needed to tolerate the failures that the settings name
	invitations      map[string]invitation // by the address of the store
	tooFewSince      time.Duration         // since when there are too few members, invited ones included; negative: there are enough
	needsMemberSince time.Duration         // since when a store has to be invited; negative: none has
	detachedSince    time.Duration         // since when too few members are attached to the chain; negative: enough are
	leavingSince     map[string]time.Duration
}

// invitation is the newest order to a store to join the core.
type invitation struct {
	zone string
	at   time.Duration
}

func newRecruiter(requiredVoters int) *recruiter {
	return &recruiter{
		requiredVoters: requiredVoters, invitations: make(map[string]invitation), tooFewSince: -1, needsMemberSince: -1, detachedSince: -1,
		leavingSince: make(map[string]time.Duration),
	}
}

// shouldJoin reports whether a store that has just renewed is to be invited to the core, and records the invitation.
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
		return r.invite(now, address, zone) // the store may have restarted with an empty disk
	}
	if !r.needsMember(now, core) || r.isZoneCovered(core, zone) && now-r.needsMemberSince < zoneTimeout {
		return false
	}
	return r.invite(now, address, zone)
}

// invite records an invitation. It always returns true.
func (r *recruiter) invite(now time.Duration, address, zone string) bool {
	r.invitations[address] = invitation{zone, now}
	return true
}

// update records since when members are missing, and removes expired and accepted invitations.
func (r *recruiter) update(now time.Duration, core *membership) {
	for address, invited := range r.invitations {
		_, member := core.member(address)
		if now-invited.at >= inviteTimeout || member {
			delete(r.invitations, address)
		}
	}
	staying, attached := r.countStaying(core)
	updateSince(&r.tooFewSince, now, staying+len(r.invitations) < r.requiredVoters)
	updateSince(&r.detachedSince, now, attached < min(staying, r.requiredVoters))
	updateSince(&r.needsMemberSince, now, r.needsMember(now, core))
}

// updateSince sets since to now when a condition begins to hold, and to -1 while it does not hold.
func updateSince(since *time.Duration, now time.Duration, holds bool) {
	switch {
	case !holds:
		*since = -1
	case *since < 0:
		*since = now
	}
}

// lastedFor reports whether a condition has held for at least span.
func lastedFor(since, now, span time.Duration) bool { return since >= 0 && now-since >= span }

// countStaying returns the number of members that are neither retiring nor stopping, and how many of them are attached
// to the chain.
func (r *recruiter) countStaying(core *membership) (staying, attached int) {
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

// needsMember reports whether another store is required: there have been too few members, or a member has been
// detached, for longer than the timeout.
func (r *recruiter) needsMember(now time.Duration, core *membership) bool {
	tooFewTimeout, detachedTimeout := time.Duration(0), replaceTimeout
	if core.hasControlProcess() {
		tooFewTimeout, detachedTimeout = startupGracePeriod, controlReplaceTimeout
	}
	staying, attached := r.countStaying(core)
	invited := len(r.invitations)
	if staying+invited < r.requiredVoters {
		return lastedFor(r.tooFewSince, now, tooFewTimeout)
	}
	return lastedFor(r.detachedSince, now, detachedTimeout) && attached+invited < r.requiredVoters && len(core.members)+invited < maxMembersFactor*r.requiredVoters
}

// isZoneCovered reports whether a zone has an attached member that stays, or an invited store.
func (r *recruiter) isZoneCovered(core *membership, zone string) bool {
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

// shouldLeave reports whether a store has to leave the core: it is retiring or stopping and enough other members hold
// the state, or it has not been needed for surplusTimeout. A retiring store also leaves after leaveTimeout if no
// replacement has been invited.
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

// enoughWithout reports whether as many other members as required hold the state. A store that is neither retiring nor
// stopping may only leave if control processes are members, and only one such store at a time.
func (r *recruiter) enoughWithout(core *membership, address string) bool {
	_, attached := r.countStaying(core)
	if !core.isStaying(address) {
		return attached >= r.requiredVoters
	}
	return core.hasControlProcess() && core.surplusStore() == address && attached > r.requiredVoters
}
