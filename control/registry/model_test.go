package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravendale/cluster/wire"
)

// scan is the table without indexes: each event passes over all entries.
type scan struct {
	config   Config
	entries  map[string]*entry
	replaced map[string]bool
}

func (s *scan) next() (next time.Duration, some bool) {
	for _, e := range s.entries {
		if !some || e.deadline < next {
			next, some = e.deadline, true
		}
	}
	return next, some
}

func (s *scan) shift(now time.Duration) {
	next, some := s.next()
	if !some || now <= next+maxLateness {
		return
	}
	for _, e := range s.entries {
		e.deadline = max(e.deadline+now-next, now+s.config.Reconnect)
	}
}

func (s *scan) drop(id string) Changes {
	member := s.entries[id].member
	delete(s.entries, id)
	return Changes{Members: member.Edge, Stores: member.Storage, Urgent: member.Storage}
}

func (s *scan) renew(now time.Duration, link uint64, renew *wire.Renew) (time.Duration, Changes) {
	s.shift(now)
	var changes Changes
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
	changes.add(difference(known, renew))
	s.entries[renew.Member.ID] = &entry{member: renew.Member, status: renew.Store, link: link, deadline: now + lease}
	return lease, changes
}

func (s *scan) adopt(now time.Duration, edges []wire.Edge) Changes {
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

func (s *scan) disconnected(now time.Duration, link uint64) Changes {
	s.shift(now)
	var changes Changes
	for id, e := range s.entries {
		if e.link != link || link == 0 {
			continue
		}
		e.link = 0
		switch {
		case e.member.Leaving:
			changes.add(s.drop(id))
		case e.member.Storage:
			e.deadline = min(e.deadline, now+s.config.Reconnect)
		}
	}
	return changes
}

func (s *scan) tick(now time.Duration) Changes {
	s.shift(now)
	var changes Changes
	for id, e := range s.entries {
		if now >= e.deadline {
			changes.add(s.drop(id))
		}
	}
	return changes
}

func (s *scan) heard() bool {
	for _, e := range s.entries {
		if e.adopted {
			return false
		}
	}
	return true
}

// Whatever happens, the table with its indexes says what a scan of all entries would.
func TestIndexesSayWhatAScanDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultConfig(time.Second)
		r := New(config)
		model := &scan{config: config, entries: make(map[string]*entry), replaced: make(map[string]bool)}
		now := time.Duration(0)
		number := func(name string, limit int) int { return rapid.IntRange(0, limit).Draw(t, name) }
		for range number("events", 60) {
			now += time.Duration(number("pause", 900)) * time.Millisecond
			switch number("event", 5) {
			case 0:
				require.Equal(t, model.tick(now), r.Tick(now))
			case 1:
				link := uint64(number("link", 4))
				require.Equal(t, model.disconnected(now, link), r.Disconnected(now, link))
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
				link := uint64(number("link", 4))
				lease, changes := model.renew(now, link, renew)
				got, gotChanges := r.Renew(now, link, renew)
				require.Equal(t, lease, got)
				require.Equal(t, changes, gotChanges)
			}
			next, some := model.next()
			gotNext, gotSome := r.Next()
			require.Equal(t, some, gotSome)
			require.Equal(t, next, gotNext)
			require.Equal(t, model.heard(), r.Heard())
			require.Len(t, r.Edges(), countOf(model, true))
			require.Len(t, r.Stores(), countOf(model, false))
			require.Len(t, r.deadlines, len(model.entries))
		}
	})
}

func countOf(s *scan, edges bool) int {
	count := 0
	for _, e := range s.entries {
		if e.member.Edge == edges {
			count++
		}
	}
	return count
}
