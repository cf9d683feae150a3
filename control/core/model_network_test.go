package core

import (
	"fmt"
	"slices"
	"strings"

	"github.com/tinylib/msgp/msgp"

	"ravendale/control/view"
)

// modelMessage is a pending message. Its content is encoded, as on a connection.
type modelMessage struct {
	from, to int
	sender   view.Member
	kind     string
	data     []byte
	late     bool // time may pass before it arrives
}

// send adds a message to the pending ones, unless the recipient can't be reached.
func (m *model) send(at int, p outboundMessage) {
	to := slices.IndexFunc(m.members, func(other *modelMember) bool { return other.address == p.To })
	if to < 0 || !m.reaches(at, to) {
		return
	}
	data, err := p.Message.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	kind := strings.TrimPrefix(strings.TrimPrefix(fmt.Sprintf("%T", p.Message), "*"), "core.")
	m.inFlight = append(m.inFlight, modelMessage{from: at, to: to, sender: m.members[at].node.self, kind: kind, data: data})
}

func (m *model) reaches(from, to int) bool {
	a, b := m.members[from], m.members[to]
	return b.node != nil && !a.partitioned && !b.partitioned && !b.inboundCut
}

func (m *model) deliver(at int) {
	message := m.inFlight[at]
	m.inFlight = slices.Delete(m.inFlight, at, at+1)
	m.receive(message)
}

func (m *model) receive(message modelMessage) {
	if !m.reaches(message.from, message.to) {
		return
	}
	content := newMessageOf(message.kind)
	if _, err := content.UnmarshalMsg(message.data); err != nil {
		panic(err)
	}
	member := m.mutableMember(message.to)
	member.node.Receive(m.clock(message.to), message.sender, content)
	m.execute(message.to)
}

func newMessageOf(name string) msgp.Unmarshaler {
	for _, kind := range messageKinds {
		if empty := kind.newMessage(); strings.TrimPrefix(strings.TrimPrefix(fmt.Sprintf("%T", empty), "*"), "core.") == name {
			return empty
		}
	}
	panic(name)
}

// deliverHeartbeats delivers all pending heartbeats. Heartbeats are sent without end, so that the search does not reorder them.
func (m *model) deliverHeartbeats() {
	for {
		at := slices.IndexFunc(m.inFlight, func(message modelMessage) bool { return message.kind == "heartbeat" && !m.members[message.to].frozen })
		if at < 0 {
			return
		}
		m.deliver(at)
	}
}
