package core

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"time"

	"ravendale/control/lease"
	"ravendale/internal/explore"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	modelOmitted = map[reflect.Type][]string{
		reflect.TypeFor[node]():        {"config", "output"},
		reflect.TypeFor[durability]():  {"logBytes"},
		reflect.TypeFor[modelMember](): {"machine", "state", "address"},
		reflect.TypeFor[lease.Voter](): {"timing"}, reflect.TypeFor[lease.Holder](): {"timing"},
	}
)

// State implements explore.System. Times are encoded relative to the member's clock, and all times that are long past
// as the same value.
func (m *model) State() []byte {
	var b []byte
	for at, member := range m.members {
		if member.state == nil {
			member.state = m.encode(at, member)
		}
		b = append(b, member.state...)
		b = append(b, '|')
	}
	var messages [][]byte
	for i := range m.inFlight {
		message := &m.inFlight[i]
		messages = append(messages, fmt.Appendf(nil, "%d%d%s%v%v%s", message.from, message.to, message.kind, message.late, message.sender, message.data))
	}
	var encoder explore.Encoder
	if m.scope.unordered {
		b = explore.AppendSorted(b, messages)
	} else {
		slices.SortStableFunc(messages, func(x, y []byte) int { return bytes.Compare(x[:2], y[:2]) }) // ordered by link
		b = encoder.Append(b, messages)
	}
	b = encoder.Append(b, m.appliedCommands)
	b = encoder.Append(b, m.answers)
	b = encoder.Append(b, m.submitted)
	b = encoder.Append(b, m.numbers)
	b = encoder.Append(b, m.views)
	b = encoder.Append(b, []int{m.steps, m.budget.crashes, m.budget.wipes, m.budget.freezes, m.budget.cuts, m.budget.inboundCuts, m.budget.lose, m.budget.duplicate, m.budget.late, m.budget.stops, m.budget.reorder})
	b = encoder.Append(b, []bool{m.replaced, m.exceeded})
	return append(b, m.violation...)
}

func (m *model) encode(at int, member *modelMember) []byte {
	const horizon = 12 * time.Second
	now := int64(m.clock(at))
	encoder := explore.Encoder{Omit: modelOmitted, Scalars: map[reflect.Type]func(int64) int64{
		durationType: func(value int64) int64 {
			if value < 0 {
				return 1 << 50 // unset
			}
			return max(value-now, -int64(horizon))
		},
	}}
	return encoder.Append(nil, member)
}
