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

// An upgrade is two processes that are one scheduler: see docs/design.md. The old one is asked for its state, and once
// the new one takes clients the old one accepts no more, serves what it has and ends.

const (
	// stateWithin is how long a new process waits for the old one's state. What is at the other end may be dead.
	stateWithin = time.Second
	// leaveCheck is how often an old process looks whether it may end.
	leaveCheck = 100 * time.Millisecond
)

// upgrade is this process among those that are one scheduler with it.
type upgrade struct {
	twins          handover.Links     // to the other processes
	successor      *handover.Link     // the one of them that takes clients in this one's place,
	successorTerms *scheduler.Terms   // and under what
	given          int                // requests that were transferred to it
	lent           map[string]lent    // by id
	awaited        *deadline.Deadline // the other process's state is, until then
}

// start opens the operators' endpoint, and asks the process before this one, if there is one.
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
	previous := handover.Dial(n.ports, cfg.Handover, func(l *handover.Link) { l.Send(handover.Message{Hello: true}) }, n.heard, n.parted)
	n.upgrade.awaited = n.loop.After(stateWithin, func() {
		n.log.Warn("no answer from the previous process", "at", cfg.Handover)
		previous.Close()
		n.begin(nil)
	})
}

// begin takes clients, with the state of the process before this one or without.
func (n *Node) begin(state *handover.State) {
	cfg, list := n.cfg, n.cfg.Known
	n.loop.Deadlines.Drop(n.upgrade.awaited)
	n.upgrade.awaited = nil
	if n.many != nil {
		n.many.board.Heard(n.loop.Now())
		n.many.pulse(n.ports.Echo, n.fail)
		n.many.even()
	}
	if state != nil {
		list = state.List
		if state.InFile == cfg.InFile() {
			n.table.Move(state.Discovery) // SIGHUP had it followed there, whatever the environment still says
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
	n.table.Keep()
	n.serving = true
	n.enter()
	n.log.Info("serving", "name", cfg.Name, "listen", cfg.Listen, "takes over", state != nil)
	n.upgrade.twins.Send(handover.Message{Serving: true, Terms: n.core.Terms()})
	if cfg.Handover != "" {
		if err := n.ports.Successors(cfg.Handover, n.acceptSuccessor); err != nil {
			n.log.Warn("a new version can't take over", "err", err)
		}
	}
}

// acceptSuccessor takes the connection of a new process.
func (n *Node) acceptSuccessor(c transport.Conn) transport.Handler {
	return handover.Accept(c, n.heard, n.parted)
}

// heard takes what another process tells, and passes on to the third, if there is one, what is for all: a new version may
// come before the last but one has ended.
func (n *Node) heard(l *handover.Link, m handover.Message) {
	if m.State != nil && n.upgrade.awaited != nil {
		n.join(l)
		n.begin(m.State)
		return
	}
	if m.Hello {
		n.sendState(l)
		return
	}
	if slices.Contains(n.upgrade.twins, l) && !n.heardAlone(l, m) {
		n.applyShared(m)
		n.upgrade.twins.But(l).Send(m)
	}
}

// heardAlone takes what is for this process alone, and returns false for the rest.
func (n *Node) heardAlone(l *handover.Link, m handover.Message) bool {
	switch {
	case m.Job != nil:
		n.adopt(l, m.Job)
	case m.Has != "":
		if x, is := n.upgrade.lent[m.Has]; is {
			delete(n.upgrade.lent, m.Has)
			x.client.Drop()
		}
	case m.Terms != nil && !m.Serving:
		if n.upgrade.successor == l {
			n.upgrade.successorTerms = m.Terms
		}
	case m.Serving:
		n.upgrade.successor, n.upgrade.successorTerms = l, m.Terms
		n.log.Info("a new process takes clients", "owed", n.core.Owed())
		n.leaveFleet("handed over")
		n.ports.Pause(true)
		n.clients.Retire(true)
		n.leaveOnceDone()
	case m.Callback != nil:
		n.servers.PassCallback(m.Callback, func() {
			n.upgrade.twins.But(l).Send(m)
			if n.upgrade.successor == l && n.upgrade.given > 0 {
				l.Send(m) // it crossed a request that was given away, and comes after that now
			}
		})
	default:
		return false
	}
	return true
}

// applyShared takes what all processes of this scheduler must know.
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

// sendState gives the state to a new process, and joins it.
func (n *Node) sendState(l *handover.Link) {
	list, err := n.table.List()
	if err != nil || !n.serving {
		l.Close()
		return
	}
	memory, ids := n.core.Snapshot()
	l.Send(handover.Message{State: &handover.State{List: list, Discovery: n.table.Discovery(), InFile: n.cfg.InFile(),
		Away: n.awayByOperator(), IDs: ids, Memory: memory}})
	n.join(l)
}

// join has the processes keep to their parts of the limits, and tell each other what all must know.
func (n *Node) join(l *handover.Link) {
	n.upgrade.twins = append(n.upgrade.twins, l)
	n.core.Join(n.upgrade.twins)
	n.setLimits()
}

// parted has a process go on without another. If that was to take its place it accepts again.
func (n *Node) parted(l *handover.Link, err error) {
	if n.upgrade.awaited != nil {
		n.begin(nil) // there is no process before this one
		return
	}
	if !slices.Contains(n.upgrade.twins, l) {
		return
	}
	n.log.Info("the other process has ended", "err", err)
	n.upgrade.twins = n.upgrade.twins.But(l)
	n.core.Join(n.upgrade.twins)
	n.setLimits()
	if n.upgrade.successor == l {
		n.upgrade.successor = nil
		n.enter()
		n.ports.Pause(false)
		n.clients.Retire(false)
	}
	n.takeBack(l)
}

// limits are this process's part of the descriptors.
func (n *Node) limits() (accepted, dialled int) {
	accepted, dialled = splitDescriptors(n.cfg, n.fleetLinks())
	return accepted / (1 + len(n.upgrade.twins)), dialled / (1 + len(n.upgrade.twins))
}

func (n *Node) setLimits() {
	accepted, dialled := n.limits()
	n.ports.SetLimit(accepted)
	n.clients.Limit(accepted)
	n.servers.Limit(dialled)
	if n.Paired != nil {
		n.Paired(1 + len(n.upgrade.twins))
	}
}

// giveEvery is how often a process that stops looks for requests that can be given to its successor. A backend server takes up to
// 50 ms to say that it took one.
const giveEvery = 50 * time.Millisecond

// giveAway gives the successor of a process that stops what is open here, for as long as this one lives: a job may run for
// longer, clients may still come on the connections that they have, and the successor may come after the order to stop. What
// can't be given is answered here in time as at any stop.
func (n *Node) giveAway() {
	n.loop.After(giveEvery, n.giveAway)
	if n.upgrade.successor == nil || n.upgrade.successorTerms == nil {
		return
	}
	given := n.core.Transfer(n.upgrade.successorTerms, func(c scheduler.TransferredRequest, ex *scheduler.Exchange) bool {
		message, ok := ex.Message.(*platform.Message)
		return ok && n.clients.Give(ex, func(client transport.Conn, closes bool) bool {
			job := &handover.Job{TransferredRequest: c, Request: *message, Closes: closes}
			kept := n.upgrade.successor.SendConn(handover.Message{Job: job}, client)
			if kept != nil {
				n.upgrade.lent[c.ID] = lent{job, kept, n.upgrade.successor}
			}
			return kept != nil
		})
	})
	if n.upgrade.given += given; given > 0 {
		n.log.Info("requests transferred", "requests", given, "owed", n.core.Owed())
	}
}

// adopt goes on with a request that another process gave away.
func (n *Node) adopt(l *handover.Link, j *handover.Job) {
	if g := l.Given(); g != nil {
		n.goOn(g, j)
		l.Send(handover.Message{Has: j.ID})
	} else {
		n.log.Warn("request without its client connection", "id", j.ID)
	}
}

// goOn goes on with a request whose client is at the connection given.
func (n *Node) goOn(g transport.Given, j *handover.Job) {
	ex := &scheduler.Exchange{ID: j.ID, Message: &j.Request}
	if err := n.clients.Adopt(g, ex, j.Closes, n.ports.Adopt); err != nil {
		n.log.Warn("client connection not adopted", "id", j.ID, "err", err)
		return
	}
	n.core.Adopt(j.TransferredRequest, ex)
}

// lent is a request that was given away, for as long as the other process has not said that it goes on with it.
type lent struct {
	job    *handover.Job
	client transport.Given
	to     *handover.Link
}

// takeBack goes on with what another process was given and did not live to take.
func (n *Node) takeBack(from *handover.Link) {
	for _, id := range slices.Sorted(maps.Keys(n.upgrade.lent)) {
		if x := n.upgrade.lent[id]; x.to == from {
			n.log.Info("request taken back from its successor", "id", id)
			delete(n.upgrade.lent, id)
			n.goOn(x.client, x.job)
		}
	}
}

// leaveOnceDone ends a process whose place is taken as soon as no client has a connection and nothing is owed.
func (n *Node) leaveOnceDone() {
	n.loop.After(leaveCheck, func() {
		n.clients.Clients(func(clients int) {
			switch {
			case n.upgrade.successor == nil: // the new process is gone
			case n.core.Owed()+len(n.upgrade.lent)+clients == 0:
				n.end("a new process has taken its place")
			default:
				n.leaveOnceDone()
			}
		})
	})
}

// stray passes on a call that is not for this process.
func (n *Node) stray(body []byte) {
	n.upgrade.twins.Send(handover.Message{Callback: body})
}
