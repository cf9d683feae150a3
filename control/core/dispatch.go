package core

import (
	"time"

	"github.com/tinylib/msgp/msgp"

	"ravendale/control/chain"
	"ravendale/control/lease"
	"ravendale/control/view"
)

// inboundMessage is a message from the node to itself.
type inboundMessage struct {
	from    view.Member
	message any
}

// send sends a message to a member, which may be the node itself.
func (n *node) send(to view.ID, message msgp.Marshaler) {
	if to == n.self.ID {
		n.deliver(outboundMessage{n.self.Address, message})
		return
	}
	if member, ok := n.view.Member(to); ok {
		n.deliver(outboundMessage{member.Address, message})
	}
}

// deliver sends a message, through the inbox if the node itself is the recipient.
func (n *node) deliver(m outboundMessage) {
	if m.To == n.self.Address {
		n.inbox = append(n.inbox, inboundMessage{n.self, m.Message})
		return
	}
	n.output.Messages = append(n.output.Messages, m)
}

func (n *node) sendMembers(message msgp.Marshaler) {
	for _, member := range n.view.Members() {
		n.deliver(outboundMessage{member.Address, message})
	}
}

func (n *node) sendVoters(message msgp.Marshaler) {
	for _, member := range n.view.Voters {
		n.deliver(outboundMessage{member.Address, message})
	}
}

// Receive handles a message of another member, or of a process without a disk.
func (n *node) Receive(now time.Duration, from view.Member, message any) {
	if !n.ready() {
		n.observeUninitialized(now, message)
		return
	}
	n.dispatch(now, from, message)
	n.finishStep(now)
}

// dispatch handles a message according to the node's state.
func (n *node) dispatch(now time.Duration, from view.Member, message any) {
	if !n.config.Disk {
		n.dispatchDiskless(now, from, message)
		return
	}
	if n.degraded() {
		n.dispatchDegraded(now, from, message)
		return
	}
	switch m := message.(type) {
	case *heartbeat:
		n.onHeartbeat(now, m)
	case *decided:
		n.adopt(now, &m.View)
	case *view.Prepare:
		n.onPrepare(now, from, m)
	case *view.Promise:
		n.onPromise(now, from, m)
	case *view.Accept:
		n.onAccept(from, m)
	case *view.AcceptReply:
		n.onAcceptReply(now, from, m)
	case *chain.Attach:
		n.chain.OnAttach(now, from.ID, m)
	case *chain.Fill:
		n.chain.OnFill(now, from.ID, m)
	case *chain.Append:
		n.chain.OnAppend(now, from.ID, m)
	case *chain.Ack:
		n.chain.OnAck(m)
	case *chain.Gap:
		n.chain.OnGap(now, from.ID, m)
	case *propose:
		n.onPropose(now, m)
	case *lease.Request:
		n.onLeaseRequest(now, from, m)
	case *lease.Reply:
		n.onLeaseReply(now, from, m)
	case *lease.Release:
		n.lease.voter.Release(from.ID, m)
	case *leaving:
		n.onLeaving(now, m)
	}
}

// dispatchDiskless is dispatch for a process without a disk.
func (n *node) dispatchDiskless(now time.Duration, from view.Member, message any) {
	switch m := message.(type) {
	case *heartbeat:
		n.recordHeartbeat(now, m)
		if m.Epoch < n.view.Epoch {
			// A process that has just started may reach the core only through this one.
			n.deliver(outboundMessage{m.Member.Address, &decided{View: n.view}})
		}
	case *decided:
		if m.View.Epoch > n.view.Epoch {
			n.view = m.View
		}
	default:
		n.onBootstrapMessage(now, from, message)
	}
}
