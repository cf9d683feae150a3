package queue

import (
	"errors"

	"ravendale/cluster/wire"
)

// FindMessage answers a request for the state, and on demand the body, of a message.
func (c *Core) FindMessage(now Time, m *wire.Find, reply Replier) {
	c.now = now
	answer, err := c.lookUp(m)
	if errors.Is(err, errPlacementMismatch) {
		reply.Fail(err)
		return
	}
	if err != nil {
		c.host.Fail(err)
		reply.Fail(err)
		return
	}
	reply.Send(answer)
}

// errPlacementMismatch is the answer if the store doesn't have the message, but its epoch isn't that of the request, so
// that another store may have it.
var errPlacementMismatch = errors.New("queue: the message is not here, under another placement than the asker's")

func (c *Core) lookUp(m *wire.Find) (*wire.FindReply, error) {
	number, _ := wire.PartitionOf(m.ID)
	p := c.lookUpPartition(number)
	if p == nil || !p.primary && !p.replica {
		return c.absentReply(m)
	}
	e, _ := p.find(m.ID)
	if e == nil {
		return c.absentReply(m)
	}
	if m.Body && (e.noBody || e.state == wire.StateDropped) {
		return c.absentReply(m) // the body isn't here; if the message is dead, another replica has the body
	}
	answer := &wire.FindReply{Found: true, State: e.state}
	hasBody := e.pending() || e.state == wire.StateDead
	if e.state != wire.StateDone && (!m.Body || !hasBody) {
		return answer, nil
	}
	r, err := c.messageRecord(p, e)
	if err != nil {
		return nil, err
	}
	answer.Signature = r.Signature
	if m.Body && hasBody {
		answer.Body = r.Message.Body
	}
	return answer, nil
}

// absentReply returns the answer that this store doesn't have a message. If all stores answer so under the same
// placement, no replica of the message's partition has it.
func (c *Core) absentReply(m *wire.Find) (*wire.FindReply, error) {
	if c.view == nil || m.Epoch != c.view.Epoch || c.newestEpoch > c.view.Epoch {
		return nil, errPlacementMismatch
	}
	return &wire.FindReply{}, nil
}
