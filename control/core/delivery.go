package core

import (
	"time"

	"github.com/tinylib/msgp/msgp"

	"ravendale/control/chain"
	"ravendale/control/lease"
	"ravendale/control/view"
)

// send posts a message to a member.
func (n *node) send(to view.ID, message msgp.Marshaler) {
	if to == n.self.ID {
		n.deliver(post{n.self.Address, message})
		return
	}
	if member, ok := n.view.Member(to); ok {
		n.deliver(post{member.Address, message})
	}
}

func (n *node) deliver(p post) {
	if p.To == n.self.Address {
		n.inbox = append(n.inbox, letter{n.self, p.Message})
		return
	}
	n.out.Posts = append(n.out.Posts, p)
}

func (n *node) sendMembers(message msgp.Marshaler) {
	for _, member := range n.view.Members() {
		n.deliver(post{member.Address, message})
	}
}

func (n *node) sendVoters(message msgp.Marshaler) {
	for _, member := range n.view.Voters {
		n.deliver(post{member.Address, message})
	}
}

// Receive takes a message of another member, or of a process without a disk.
func (n *node) Receive(now time.Duration, from view.Member, message any) {
	if !n.ready() {
		n.overhearUnborn(now, message)
		return
	}
	n.dispatch(now, from, message)
	n.finish(now)
}

func (n *node) dispatch(now time.Duration, from view.Member, message any) {
	if !n.config.Disk {
		n.overhear(now, from, message)
		return
	}
	if n.aside.from != "" {
		n.dispatchAside(now, from, message)
		return
	}
	switch m := message.(type) {
	case *beat:
		n.onBeat(now, m)
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
		n.voter.Release(from.ID, m)
	case *leaving:
		n.onLeaving(now, m)
	}
}

// overhear is all that a process without a disk takes in.
func (n *node) overhear(now time.Duration, from view.Member, message any) {
	switch m := message.(type) {
	case *beat:
		n.hear(now, m)
		if m.Epoch < n.view.Epoch {
			n.deliver(post{m.Member.Address, &decided{View: n.view}}) // to one that has just come, it may be the only way to the core
		}
	case *decided:
		if m.View.Epoch > n.view.Epoch {
			n.view = m.View
		}
	default:
		n.onFounding(now, from, message)
	}
}
