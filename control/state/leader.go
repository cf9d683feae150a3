package state

import (
	"bytes"
	"fmt"

	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
)

func (m *Machine) takeTerm(candidate string) *Result {
	next := *m.Current()
	next.Term++
	next.Leader = candidate
	m.current.Store(&next)
	return &Result{Outcome: OutcomeApplied}
}

// putPlacement applies a placement of the next epoch from the current leader, and acknowledges a duplicate of the
// current placement.
func (m *Machine) putPlacement(command *PutPlacement) *Result {
	current := m.Current()
	if command.Term != current.Term || current.Term == 0 {
		return &Result{Outcome: OutcomeStaleTerm}
	}
	if current.Placement != nil && sameView(current.Placement, &command.View) {
		return &Result{Outcome: OutcomeDuplicate}
	}
	if command.View.Epoch != current.Epoch()+1 {
		return &Result{Outcome: OutcomeStaleEpoch}
	}
	if err := validateView(&command.View); err != nil {
		return errorResult(OutcomeInvalid, err)
	}
	next := *current
	next.Placement = &command.View
	m.current.Store(&next)
	return &Result{Outcome: OutcomeApplied}
}

// putMembers saves the current leader's list of schedulers.
func (m *Machine) putMembers(command *PutMembers) *Result {
	next := *m.Current()
	if command.Term != next.Term || next.Term == 0 {
		return &Result{Outcome: OutcomeStaleTerm}
	}
	next.Edges = command.Edges
	for i := range next.Edges {
		next.Edges[i].Ready = false
	}
	m.current.Store(&next)
	return &Result{Outcome: OutcomeApplied}
}

func sameView(one, other *wire.StoreView) bool {
	if one.Epoch != other.Epoch {
		return false
	}
	first, err := one.MarshalMsg(nil)
	if err != nil {
		return false
	}
	second, err := other.MarshalMsg(nil)
	return err == nil && bytes.Equal(first, second)
}

// validateView verifies that the partitions of a placement refer only to stores that it lists, and to each at most once
// as a replica or joining store.
func validateView(view *wire.StoreView) error {
	for i, placement := range view.Partitions {
		seen := make(map[uint16]bool, len(placement.Replicas)+len(placement.Joining))
		for _, list := range [][]uint16{placement.Replicas, placement.Joining} {
			for _, store := range list {
				if int(store) >= len(view.Stores) || seen[store] {
					reason := fmt.Sprintf("store %d is not listed, or named twice", store)
					return catalog.Findings{{Place: fmt.Sprintf("partitions[%d]", i), Reason: reason}}
				}
				seen[store] = true
			}
		}
		for _, store := range placement.Former {
			if int(store) >= len(view.Stores) {
				reason := fmt.Sprintf("former store %d is not listed", store)
				return catalog.Findings{{Place: fmt.Sprintf("partitions[%d]", i), Reason: reason}}
			}
		}
	}
	return nil
}
