package queue

import (
	"errors"

	"ravendale/cluster/wire"
)

// FindMessage answers a question about a message.
func (c *Core) FindMessage(now Time, m *wire.Find, reply Replier) {
	c.now = now
	answer, err := c.lookUp(m)
	if errors.Is(err, errAbsence) {
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

// errAbsence answers a question about a message that is not here, but may be elsewhere.
var errAbsence = errors.New("queue: the message is not here, under another placement than the asker's")

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
		return c.absentReply(m) // no body is here; of a dead message another replica has it
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

// absentReply says that a message is not here. If all stores say so under one placement, no replica of its partition has it.
func (c *Core) absentReply(m *wire.Find) (*wire.FindReply, error) {
	if c.view == nil || m.Epoch != c.view.Epoch || c.newestEpoch > c.view.Epoch {
		return nil, errAbsence
	}
	return &wire.FindReply{}, nil
}
