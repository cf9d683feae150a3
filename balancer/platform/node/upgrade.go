package node

import (
	"maps"
	"slices"
	"time"

	"ravendale/balancer/deadline"
	"ravendale/balancer/handover"
	"ravendale/balancer/platform"
	"ravendale/balancer/scheduler"
	"ravendale/balancer/transport"
)

// During an upgrade two processes act as one scheduler: see docs/design.md. The new process requests the state of the old one.
// Once the new one accepts clients, the old one stops accepting, finishes its requests and exits.

const (
	// stateWithin is how long a new process waits for the old one's state, as the old one may be hung.
	stateWithin = time.Second
	// leaveCheck is the interval at which an old process checks whether it can exit.
	leaveCheck = 100 * time.Millisecond
)

// upgrade holds this process's links to the other processes that act as the same scheduler.
type upgrade struct {
	peers          handover.Links                 // links to the other processes
	successor      *handover.Link                 // link to the process that accepts clients in place of this one, if any
	successorTerms *scheduler.Terms               // the terms under which the successor accepts requests
	transferred    int                            // number of requests transferred to the successor
	unconfirmed    map[string]unconfirmedTransfer // transferred requests that are not confirmed yet, by ID
	stateTimeout   *deadline.Deadline             // timeout for the other process's state; nil when not waiting for it
}

// start opens the operators' endpoint, and requests the state of the previous process, if a handover socket is configured.
func (n *Node) start() {
	cfg := n.cfg
	if cfg.Management != "" {
		if err := n.ports.Operators(cfg.Management, adminConns, n.admin.Opened); err != nil {
			n.fail(err)
			return
		}
	}
	if cfg.Handover == "" {
		n.begin(nil)
		return
	}
	previous := handover.Dial(n.ports, cfg.Handover, func(l *handover.Link) { l.Send(handover.Message{Hello: true}) }, n.handleMessage, n.linkEnded)
	n.upgrade.stateTimeout = n.loop.After(stateWithin, func() {
		n.log.Warn("previous process did not send its state in time; starting without it", "at", cfg.Handover)
		previous.Close()
		n.begin(nil)
	})
}

// begin starts to accept clients, with the state of the previous process, or without one if state is nil.
func (n *Node) begin(state *handover.State) {
	cfg, list := n.cfg, n.cfg.Known
	n.loop.Deadlines.Drop(n.upgrade.stateTimeout)
	n.upgrade.stateTimeout = nil
	if n.many != nil {
		n.many.board.RecordPulse(n.loop.Now())
		n.many.pulse(n.ports.Echo, n.fail)
		n.many.rebalance()
	}
	if state != nil {
		list = state.List
		if state.InFile == cfg.FileDiscovery() {
			n.table.SetDiscovery(state.Discovery) // a reload (SIGHUP) moved the old process there, while the environment may still have the old address
		}
	}
	err := n.table.Recall(list)
	if err == nil && state != nil {
		n.core.Inherit(state.Memory, state.IDs)
		n.operatorsAway(state.Away)
	}
	if err == nil {
		accepted, _ := n.limits()
		err = n.ports.Clients(cfg.Listen, cfg.Descriptor, accepted, n.clients.Targets(), n.clients.Choose)
	}
	if err != nil {
		n.fail(err)
		return
	}
	n.table.StartPushed()
	n.serving = true
	n.enter()
	n.log.Info("serving", "name", cfg.Name, "listen", cfg.Listen, "takes over", state != nil)
	n.upgrade.peers.Send(handover.Message{Serving: true, Terms: n.core.Terms()})
	if cfg.Handover != "" {
		if err := n.ports.Successors(cfg.Handover, n.acceptSuccessor); err != nil {
			n.log.Warn("can't listen for a successor; a new version can't take over", "err", err)
		}
	}
}

// acceptSuccessor accepts the connection of a new process.
func (n *Node) acceptSuccessor(c transport.Conn) transport.Handler {
	return handover.Accept(c, n.handleMessage, n.linkEnded)
}

// handleMessage handles a message from another process. Messages for all processes are passed on to the other links: a new
// version may start before the last but one has exited, so that there are three processes.
func (n *Node) handleMessage(l *handover.Link, m handover.Message) {
	if m.State != nil && n.upgrade.stateTimeout != nil {
		n.join(l)
		n.begin(m.State)
		return
	}
	if m.Hello {
		n.sendState(l)
		return
	}
	if slices.Contains(n.upgrade.peers, l) && !n.handleDirect(l, m) {
		n.applyShared(m)
		n.upgrade.peers.Except(l).Send(m)
	}
}

// handleDirect handles a message that is for this process only, and returns false for any other.
func (n *Node) handleDirect(l *handover.Link, m handover.Message) bool {
	switch {
	case m.Job != nil:
		n.adopt(l, m.Job)
	case m.Has != "":
		if x, is := n.upgrade.unconfirmed[m.Has]; is {
			delete(n.upgrade.unconfirmed, m.Has)
			x.client.Drop()
		}
	case m.Terms != nil && !m.Serving:
		if n.upgrade.successor == l {
			n.upgrade.successorTerms = m.Terms
		}
	case m.Serving:
		n.upgrade.successor, n.upgrade.successorTerms = l, m.Terms
		n.log.Info("a new process accepts clients; this one stops accepting", "owed", n.core.Owed())
		n.leaveFleet("handed over")
		n.ports.Pause(true)
		n.clients.Retire(true)
		n.leaveOnceDone()
	case m.Callback != nil:
		n.servers.PassCallback(m.Callback, func() {
			n.upgrade.peers.Except(l).Send(m)
			if n.upgrade.successor == l && n.upgrade.transferred > 0 {
				l.Send(m) // the request may have been transferred while the call-back was in transit; this copy arrives after it
			}
		})
	default:
		return false
	}
	return true
}

// applyShared applies a message that is for all processes of this scheduler.
func (n *Node) applyShared(m handover.Message) {
	switch {
	case m.Took != "":
		n.core.TookElsewhere(m.Took)
	case m.Sent != "":
		n.core.SentElsewhere(m.Sent)
	case m.Ended != "":
		n.core.EndedElsewhere(m.Ended)
	case m.Detached != "":
		n.core.SetDetached(m.Detached, true)
	case m.Attached != "":
		n.core.SetDetached(m.Attached, false)
	case m.Away != nil:
		n.operatorsAway(*m.Away)
	case m.Discovery != "":
		n.table.Follow(m.Discovery)
	}
}

// sendState sends the state to a new process, and joins it.
func (n *Node) sendState(l *handover.Link) {
	list, err := n.table.List()
	if err != nil || !n.serving {
		l.Close()
		return
	}
	memory, ids := n.core.Snapshot()
	l.Send(handover.Message{State: &handover.State{List: list, Discovery: n.table.Discovery(), InFile: n.cfg.FileDiscovery(),
		Away: n.awayByOperator(), IDs: ids, Memory: memory}})
	n.join(l)
}

// join adds a process: the limits are divided among all processes, and shared state is exchanged from now on.
func (n *Node) join(l *handover.Link) {
	n.upgrade.peers = append(n.upgrade.peers, l)
	n.core.Join(n.upgrade.peers)
	n.setLimits()
}

// linkEnded handles the end of a link. If the other process was the successor, this process accepts clients again.
func (n *Node) linkEnded(l *handover.Link, err error) {
	if n.upgrade.stateTimeout != nil {
		n.begin(nil) // there is no previous process
		return
	}
	if !slices.Contains(n.upgrade.peers, l) {
		return
	}
	n.log.Info("link to another process of this scheduler ended", "err", err)
	n.upgrade.peers = n.upgrade.peers.Except(l)
	n.core.Join(n.upgrade.peers)
	n.setLimits()
	if n.upgrade.successor == l {
		n.upgrade.successor = nil
		n.enter()
		n.ports.Pause(false)
		n.clients.Retire(false)
	}
	n.takeBack(l)
}

// limits returns this process's share of the descriptors, for clients and for backend servers.
func (n *Node) limits() (accepted, dialled int) {
	accepted, dialled = splitDescriptors(n.cfg, n.fleetLinks())
	return accepted / (1 + len(n.upgrade.peers)), dialled / (1 + len(n.upgrade.peers))
}

func (n *Node) setLimits() {
	accepted, dialled := n.limits()
	n.ports.SetLimit(accepted)
	n.clients.Limit(accepted)
	n.servers.Limit(dialled)
	if n.ProcessCountChanged != nil {
		n.ProcessCountChanged(1 + len(n.upgrade.peers))
	}
}

// transferEvery is the interval at which a process that stops looks for requests that it can transfer to its successor. A backend
// server takes up to 50 ms to confirm that it accepted one.
const transferEvery = 50 * time.Millisecond

// transferRequests transfers open requests to the successor of a process that stops, repeatedly until the process exits: a job
// may run for longer than the stop, clients may still send requests on existing connections, and the successor may start after
// the order to stop. Requests that can't be transferred are answered here in time, as at any stop.
func (n *Node) transferRequests() {
	n.loop.After(transferEvery, n.transferRequests)
	if n.upgrade.successor == nil || n.upgrade.successorTerms == nil {
		return
	}
	given := n.core.Transfer(n.upgrade.successorTerms, func(c scheduler.TransferredRequest, ex *scheduler.Exchange) bool {
		message, ok := ex.Message.(*platform.Message)
		return ok && n.clients.Give(ex, func(client transport.Conn, closes bool) bool {
			job := &handover.Job{TransferredRequest: c, Request: *message, Closes: closes}
			kept := n.upgrade.successor.SendConn(handover.Message{Job: job}, client)
			if kept != nil {
				n.upgrade.unconfirmed[c.ID] = unconfirmedTransfer{job, kept, n.upgrade.successor}
			}
			return kept != nil
		})
	})
	if n.upgrade.transferred += given; given > 0 {
		n.log.Info("requests transferred", "requests", given, "owed", n.core.Owed())
	}
}

// adopt continues a request that another process transferred.
func (n *Node) adopt(l *handover.Link, j *handover.Job) {
	if g := l.ReceivedConn(); g != nil {
		n.resumeRequest(g, j)
		l.Send(handover.Message{Has: j.ID})
	} else {
		n.log.Warn("transferred request has no client connection; dropped", "id", j.ID)
	}
}

// resumeRequest continues a request, whose client is connected at g.
func (n *Node) resumeRequest(g transport.PassedConn, j *handover.Job) {
	ex := &scheduler.Exchange{ID: j.ID, Message: &j.Request}
	if err := n.clients.Adopt(g, ex, j.Closes, n.ports.Adopt); err != nil {
		n.log.Warn("can't adopt the client connection of a transferred request; dropped", "id", j.ID, "err", err)
		return
	}
	n.core.Adopt(j.TransferredRequest, ex)
}

// unconfirmedTransfer is a transferred request that the other process has not confirmed yet.
type unconfirmedTransfer struct {
	job    *handover.Job
	client transport.PassedConn
	to     *handover.Link
}

// takeBack continues the requests that were transferred to another process which ended before confirming them.
func (n *Node) takeBack(from *handover.Link) {
	for _, id := range slices.Sorted(maps.Keys(n.upgrade.unconfirmed)) {
		if x := n.upgrade.unconfirmed[id]; x.to == from {
			n.log.Info("successor ended before confirming a transferred request; continuing the request here", "id", id)
			delete(n.upgrade.unconfirmed, id)
			n.resumeRequest(x.client, x.job)
		}
	}
}

// leaveOnceDone ends a process that has a successor, as soon as no client is connected and all requests are answered.
func (n *Node) leaveOnceDone() {
	n.loop.After(leaveCheck, func() {
		n.clients.Clients(func(clients int) {
			switch {
			case n.upgrade.successor == nil: // the successor has ended
			case n.core.Owed()+len(n.upgrade.unconfirmed)+clients == 0:
				n.end("a new process has taken its place")
			default:
				n.leaveOnceDone()
			}
		})
	})
}

// stray passes a call-back on an attempt of another process on to the other processes.
func (n *Node) stray(body []byte) {
	n.upgrade.peers.Send(handover.Message{Callback: body})
}
