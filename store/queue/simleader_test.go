package queue

import (
	"fmt"
	"slices"
	"time"

	"ravendale/cluster/wire"
)

// members are the edges as the leader sees them: one that has just departed or arrived may be missed.
func (s *sim) members() []wire.Edge {
	var list []wire.Edge
	for _, e := range s.edges {
		if e.up {
			list = append(list, wire.Edge{ID: e.id})
		}
	}
	return list
}

// publish sends the newest view to a store, some time later.
func (s *sim) publish(n *simStore) {
	incarnation, view := n.disk.incarnation, s.view
	s.after(s.between(0, s.lag), func() {
		if n.up && n.disk.incarnation == incarnation {
			n.core.SetEdges(n.time(), s.members())
			n.core.SetView(n.time(), view)
			n.mutate()
		}
	})
}

// lead is the leader: it removes unavailable stores, has others join, and promotes those that are complete.
func (s *sim) lead() {
	if s.leader != nil {
		s.leader()
		return
	}
	next := &wire.StoreView{Epoch: s.view.Epoch + 1, Copies: s.view.Copies, Stores: s.view.Stores}
	for number, placed := range s.view.Partitions {
		next.Partitions = append(next.Partitions, s.nextPlacement(uint16(number), placed))
	}
	if fmt.Sprint(next.Partitions) == fmt.Sprint(s.view.Partitions) {
		return
	}
	s.enact(next)
}

// storeOf is the index of the store that has a disk of a view, by its index there.
func (s *sim) storeOf(view *wire.StoreView, index uint16) (uint16, bool) {
	at := slices.IndexFunc(s.stores, func(n *simStore) bool { return n.disk.name == view.Stores[index].Disk })
	return uint16(max(at, 0)), at >= 0
}

// enact has a view take effect.
func (s *sim) enact(next *wire.StoreView) {
	s.view = next
	for _, n := range s.stores {
		if n.up {
			s.publish(n)
		}
	}
	for _, e := range s.edges {
		e.publish()
	}
}

func (s *sim) nextPlacement(number uint16, placed wire.Placement) wire.Placement {
	isAlive := func(i uint16) bool { return s.stores[i].up || s.now-s.stores[i].downAt < time.Second }
	replicas := slices.DeleteFunc(slices.Clone(placed.Replicas), func(i uint16) bool { return !isAlive(i) })
	joining := slices.DeleteFunc(slices.Clone(placed.Joining), func(i uint16) bool { return !isAlive(i) })
	if len(replicas) == 0 {
		return placed
	}
	for _, i := range slices.Clone(joining) {
		status := s.stores[i].core.Status()
		synced := s.stores[i].up && status.Epoch == s.view.Epoch && slices.Contains(status.Synced, number)
		if synced || s.mutant.syncWithoutAll {
			replicas = append(replicas, i)
			joining = slices.DeleteFunc(joining, func(other uint16) bool { return other == i })
		}
	}
	for offset := range s.stores {
		i := uint16((int(number) + int(s.view.Epoch) + offset) % len(s.stores))
		if len(replicas)+len(joining) >= int(s.view.Copies) {
			break
		}
		if s.stores[i].up && !slices.Contains(replicas, i) && !slices.Contains(joining, i) {
			joining = append(joining, i)
		}
	}
	if len(joining) == 0 && s.random.IntN(150) == 0 && !s.stopped { // a planned move
		slices.Reverse(replicas)
	}
	return wire.Placement{Replicas: replicas, Joining: joining}
}
