package leader

import (
	"bytes"
	"context"
	"slices"
	"time"

	"ravendale/cluster/wire"
	"ravendale/control/state"
)

// Timeouts and intervals of the list of members.
const (
	membersQuietPeriod   = 300 * time.Millisecond // without a new scheduler, before the first list of a term
	firstMembersDelay    = 600 * time.Millisecond // minimum age of a term for its first list, unless an earlier leader saved its list
	membersInterval      = 100 * time.Millisecond // between two lists
	membersFetchTimeout  = 150 * time.Millisecond // for a member to send the list that it has, before the saved one is published
	saveInterval         = 250 * time.Millisecond // between two saves of the schedulers for the next leader
	controlCheckInterval = 2 * time.Second        // between two checks for changed addresses of the control processes
)

// memberList publishes the list of members, and saves the schedulers among them for the next leader.
type memberList struct {
	*leadership
	topics   *publisher
	leases   *memberLeases
	takeover *takeover

	renewedEdges map[string]bool // IDs of the schedulers that renewed in this term
	newEdgeAt    time.Duration   // when the newest of them renewed first

	changed     bool // since the last publication
	published   []byte
	publishedAt time.Duration

	control          []string // addresses of the control processes, as of controlCheckedAt
	controlCheckedAt time.Duration

	saving bool
	saveAt time.Duration // earliest time of the next save
}

func newMemberList(l *leadership, topics *publisher, leases *memberLeases, takeover *takeover) *memberList {
	return &memberList{leadership: l, topics: topics, leases: leases, takeover: takeover, renewedEdges: make(map[string]bool)}
}

// recordRenewal records a scheduler that renews for the first time in this term.
func (m *memberList) recordRenewal(now time.Duration, member *wire.Member) {
	if member.Edge && !m.renewedEdges[member.ID] {
		m.renewedEdges[member.ID] = true
		m.newEdgeAt = now
	}
}

// firstListDue returns when the first list of members of this term is published: at once if a list of an earlier term
// was adopted from a member, or if there is only one that an earlier leader saved; otherwise once the list is expected
// to be complete. With too short a list the schedulers would each take too large a share of a service.
func (m *memberList) firstListDue() time.Duration {
	switch earlier := m.takeover; {
	case earlier.adopted[wire.TopicMembers] != (wire.Version{}), earlier.edgesSaved && !earlier.membersKnown:
		return 0
	case earlier.edgesSaved:
		return earlier.membersKnownAt + membersFetchTimeout
	case earlier.membersKnown:
		return m.leases.config.MaxLease()
	}
	return max(m.newEdgeAt+membersQuietPeriod, firstMembersDelay)
}

// addDeadlines calls consider with each time at which the list must be published or saved.
func (m *memberList) addDeadlines(now time.Duration, consider func(at time.Duration)) {
	if m.published == nil {
		consider(max(m.firstListDue(), now+invalidPause))
	} else if m.changed {
		consider(m.publishedAt + membersInterval)
	}
	if m.saveAt > now {
		consider(m.saveAt)
	}
}

// publish publishes the list if it has changed and is due.
func (m *memberList) publish(now time.Duration) {
	if m.published == nil && (now < m.firstListDue() || len(m.renewedEdges) == 0 && !m.takeover.edgesSaved) {
		return
	}
	m.checkControl(now)
	if !m.changed || m.published != nil && now < m.publishedAt+membersInterval {
		return
	}
	m.changed, m.publishedAt = false, now
	members := &wire.Members{Edges: m.leases.registry.Edges(), Core: m.control}
	payload, err := members.MarshalMsg(nil)
	if err != nil || m.published != nil && bytes.Equal(payload, m.published) {
		return
	}
	m.published = payload
	m.topics.publishNext(wire.TopicMembers, members)
}

// checkControl updates the addresses of the control processes, at most once per controlCheckInterval.
func (m *memberList) checkControl(now time.Duration) {
	if m.control != nil && now < m.controlCheckedAt+controlCheckInterval {
		return
	}
	m.controlCheckedAt = now
	control := append([]string{}, m.service.config.Core()...)
	slices.Sort(control)
	if m.control == nil || !slices.Equal(control, m.control) {
		m.control, m.changed = control, true
	}
}

// save stores the listed schedulers in the control state if they have changed.
func (m *memberList) save(ctx context.Context, now time.Duration) {
	if m.published == nil || m.saving || now < m.saveAt {
		return
	}
	edges := m.leases.registry.Edges()
	if slices.EqualFunc(edges, m.service.config.State().Edges, sameEdge) {
		m.saveAt = now + saveInterval // listing them all after each renewal is half of the cost of a large fleet
		return
	}
	m.saving = true
	m.tasks.Go(func() {
		m.submit(ctx, edges)
		m.box.Post(func() { m.saving, m.saveAt = false, m.now()+saveInterval })
	})
}

func sameEdge(a, b wire.Edge) bool {
	a.Ready, b.Ready = false, false
	return a == b
}

func (m *memberList) submit(ctx context.Context, edges []wire.Edge) {
	if !m.valid() {
		return
	}
	if _, err := m.service.submit(ctx, &state.PutMembers{Term: m.number, Edges: edges}); err != nil {
		m.service.log.Debug("failed to save the schedulers for the next leader", "error", err)
	}
}
