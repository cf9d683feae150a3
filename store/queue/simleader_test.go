package queue

import (
	"fmt"
	"slices"
	"time"

	"ravendale/cluster/wire"
)

// members returns the running edges, as the leader reports them to stores. A store may get a list that is out of date.
func (s *sim) members() []wire.Edge {
	var list []wire.Edge
	for _, e := range s.edges {
		if e.up {
			list = append(list, wire.Edge{ID: e.id})
		}
	}
	return list
}

// publish sends the current view to a store after a random delay.
func (s *sim) publish(n *simStore) {
	incarnation, view := n.disk.incarnation, s.view
	s.after(s.between(0, s.maxViewDelay), func() {
		if n.up && n.disk.incarnation == incarnation {
			n.core.SetEdges(n.time(), s.members())
			n.core.SetView(n.time(), view)
			n.applyMutant()
		}
	})
}

// runLeader computes the next view as a simple leader: it removes unavailable stores, adds joining ones, and promotes
// those that are complete.
func (s *sim) runLeader() {
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
	s.installView(next)
}

// storeOf returns the index in sim.stores of the store that has the disk with the given index in a view.
func (s *sim) storeOf(view *wire.StoreView, index uint16) (uint16, bool) {
	at := slices.IndexFunc(s.stores, func(n *simStore) bool { return n.disk.name == view.Stores[index].Disk })
	return uint16(max(at, 0)), at >= 0
}

// installView makes a view the current one and publishes it.
func (s *sim) installView(next *wire.StoreView) {
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
		if synced || s.mutant.promoteUnfilled {
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
	if len(joining) == 0 && s.random.IntN(150) == 0 && !s.stopped { // a planned change of the primary
		slices.Reverse(replicas)
	}
	return wire.Placement{Replicas: replicas, Joining: joining}
}
