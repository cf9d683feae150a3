package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravendale/cluster/wire"
)

// scanModel is a model of Registry without indexes: it handles each event by iterating over all entries.
type scanModel struct {
	config   Config
	entries  map[string]*entry
	replaced map[string]bool
}

func (s *scanModel) next() (next time.Duration, ok bool) {
	for _, e := range s.entries {
		if !ok || e.deadline < next {
			next, ok = e.deadline, true
		}
	}
	return next, ok
}

func (s *scanModel) postponeAfterPause(now time.Duration) {
	next, ok := s.next()
	if !ok || now <= next+maxTickDelay {
		return
	}
	for _, e := range s.entries {
		e.deadline = max(e.deadline+now-next, now+s.config.Reconnect)
	}
}

func (s *scanModel) drop(id string) Changes {
	member := s.entries[id].member
	delete(s.entries, id)
	return Changes{Members: member.Edge, Stores: member.Storage, Urgent: member.Storage}
}

func (s *scanModel) renew(now time.Duration, connection uint64, renew *wire.Renew) (time.Duration, Changes) {
	s.postponeAfterPause(now)
	var changes Changes
	for id, e := range s.entries {
		if (id == renew.Member.ID || e.member.Address == renew.Member.Address) && connection < e.newest {
			return 0, changes
		}
	}
	if s.replaced[renew.Member.ID] {
		return 0, changes
	}
	for id, e := range s.entries {
		if id != renew.Member.ID && e.member.Address == renew.Member.Address {
			changes.add(s.drop(id))
			s.replaced[id] = true
		}
	}
	lease := s.config.EdgeLease
	if renew.Member.Storage {
		lease = s.config.StoreLease
	}
	known := s.entries[renew.Member.ID]
	if known == nil {
		known = &entry{}
	}
	changes.add(changesBy(known, renew))
	s.entries[renew.Member.ID] = &entry{
		member: renew.Member, status: renew.Store, connection: connection, newest: connection, deadline: now + lease,
	}
	return lease, changes
}

func (s *scanModel) adopt(now time.Duration, edges []wire.Edge) Changes {
	var changes Changes
	for _, edge := range edges {
		taken := s.entries[edge.ID] != nil || s.replaced[edge.ID]
		for _, e := range s.entries {
			taken = taken || e.member.Address == edge.Address
		}
		if taken {
			continue
		}
		member := wire.Member{ID: edge.ID, Address: edge.Address, Edge: true}
		s.entries[edge.ID] = &entry{member: member, deadline: now + s.config.EdgeLease, adopted: true}
		changes.Members = true
	}
	return changes
}

func (s *scanModel) disconnected(now time.Duration, connection uint64) Changes {
	s.postponeAfterPause(now)
	var changes Changes
	for id, e := range s.entries {
		if e.connection != connection || connection == 0 {
			continue
		}
		e.connection = 0
		switch {
		case e.member.Leaving:
			changes.add(s.drop(id))
		case e.member.Storage:
			e.deadline = min(e.deadline, now+s.config.Reconnect)
		}
	}
	return changes
}

func (s *scanModel) tick(now time.Duration) Changes {
	s.postponeAfterPause(now)
	var changes Changes
	for id, e := range s.entries {
		if now >= e.deadline {
			changes.add(s.drop(id))
		}
	}
	return changes
}

func (s *scanModel) adoptionComplete() bool {
	for _, e := range s.entries {
		if e.adopted {
			return false
		}
	}
	return true
}

// TestRegistryMatchesScanModel compares the results of Registry with those of scanModel for random events.
func TestRegistryMatchesScanModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultConfig(time.Second)
		r := New(config)
		model := &scanModel{config: config, entries: make(map[string]*entry), replaced: make(map[string]bool)}
		now := time.Duration(0)
		number := func(name string, limit int) int { return rapid.IntRange(0, limit).Draw(t, name) }
		for range number("events", 60) {
			now += time.Duration(number("pause", 900)) * time.Millisecond
			switch number("event", 5) {
			case 0:
				require.Equal(t, model.tick(now), r.Tick(now))
			case 1:
				connection := uint64(number("connection", 4))
				require.Equal(t, model.disconnected(now, connection), r.Disconnected(now, connection))
			case 2:
				id := number("member", 6)
				edges := []wire.Edge{{ID: fmt.Sprint(id), Address: fmt.Sprint("a", number("address", 6))}}
				require.Equal(t, model.adopt(now, edges), r.Adopt(now, &wire.Members{Edges: edges}))
			default:
				id := number("member", 6)
				renew := &wire.Renew{Member: wire.Member{
					ID: fmt.Sprint(id), Address: fmt.Sprint("a", number("address", 6)), Edge: id%2 == 0, Storage: id%2 == 1,
					Leaving: number("leaving", 4) == 0, Ready: true,
				}}
				connection := uint64(number("connection", 4))
				lease, changes := model.renew(now, connection, renew)
				got, gotChanges := r.Renew(now, connection, renew)
				require.Equal(t, lease, got)
				require.Equal(t, changes, gotChanges)
			}
			next, ok := model.next()
			gotNext, gotOK := r.Next()
			require.Equal(t, ok, gotOK)
			require.Equal(t, next, gotNext)
			require.Equal(t, model.adoptionComplete(), r.AdoptionComplete())
			require.Len(t, r.Edges(), countMembers(model, true))
			require.Len(t, r.Stores(), countMembers(model, false))
			require.Len(t, r.deadlines, len(model.entries))
		}
	})
}

func countMembers(s *scanModel, edges bool) int {
	count := 0
	for _, e := range s.entries {
		if e.member.Edge == edges {
			count++
		}
	}
	return count
}
