package leader

import (
	"bytes"
	"context"
	"slices"
	"time"

	"ravendale/cluster/wire"
	"ravendale/control/state"
)

// Times of the list of members.
const (
	membersQuiet         = 300 * time.Millisecond // without a new scheduler, before they are listed first
	membersFirst         = 600 * time.Millisecond // before that the first list is not made, unless an earlier leader's was saved
	membersInterval      = 100 * time.Millisecond // between two lists
	membersFetchTimeout  = 150 * time.Millisecond // for a member to hand over the list that it has, before the saved one is published
	saveInterval         = 250 * time.Millisecond // between two saves of the schedulers for the next leader
	controlCheckInterval = 2 * time.Second        // between two looks at which control processes there are
)

// memberList publishes who the members are, and saves the schedulers among them for the next leader.
type memberList struct {
	*leadership
	topics   *publisher
	leases   *memberLeases
	takeover *takeover

	edges   map[string]bool // IDs of those that renewed in this term
	newEdge time.Duration   // when one of them did so first

	changed     bool // since the last publication
	published   []byte
	publishedAt time.Duration

	control          []string // addresses of the control processes, as published last
	controlCheckedAt time.Duration

	saving bool
	saveAt time.Duration // not before
}

func newMemberList(l *leadership, topics *publisher, leases *memberLeases, takeover *takeover) *memberList {
	return &memberList{leadership: l, topics: topics, leases: leases, takeover: takeover, edges: make(map[string]bool)}
}

// renewed notes a scheduler that renews for the first time.
func (m *memberList) renewed(now time.Duration, member *wire.Member) {
	if member.Edge && !m.edges[member.ID] {
		m.edges[member.ID] = true
		m.newEdge = now
	}
}

// due is when the first list of members of this term is made: at once after one was adopted or saved, and else when it can be
// thought to be complete. Too short a list would have schedulers take too large a share of a service.
func (m *memberList) due() time.Duration {
	switch earlier := m.takeover; {
	case earlier.adopted[wire.TopicMembers] != (wire.Version{}), earlier.saved && !earlier.known:
		return 0
	case earlier.saved:
		return earlier.knownAt + membersFetchTimeout
	case earlier.known:
		return m.leases.config.Suspicion()
	}
	return max(m.newEdge+membersQuiet, membersFirst)
}

// next has the times considered at which something is due.
func (m *memberList) next(now time.Duration, consider func(at time.Duration)) {
	if m.published == nil {
		consider(max(m.due(), now+invalidPause))
	} else if m.changed {
		consider(m.publishedAt + membersInterval)
	}
	if m.saveAt > now {
		consider(m.saveAt)
	}
}

// publish publishes the list if it has changed and is due.
func (m *memberList) publish(now time.Duration) {
	if m.published == nil && (now < m.due() || len(m.edges) == 0 && !m.takeover.saved) {
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
	m.topics.announce(wire.TopicMembers, members)
}

// checkControl looks at which control processes there are.
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

// save has the control state keep the schedulers that are listed.
func (m *memberList) save(ctx context.Context, now time.Duration) {
	if m.published == nil || m.saving || now < m.saveAt {
		return
	}
	edges := m.leases.registry.Edges()
	if slices.EqualFunc(edges, m.service.config.State().Edges, sameEdge) {
		m.saveAt = now + saveInterval // to list them all after each renewal is half of a large fleet's cost
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
		m.service.log.Debug("schedulers not saved", "error", err)
	}
}
