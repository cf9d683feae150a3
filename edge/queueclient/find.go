package queueclient

import (
	"errors"
	"time"

	"ravendale/cluster/wire"
)

// Errors of Find.
var (
	ErrNotFound = errors.New("queueclient: no store knows the message")
	ErrNoAnswer = errors.New("queueclient: it could not be found out")
)

// Find asks for the state of a message, and with body for its bytes: the primary of its partition, then the other replicas,
// and at last all stores. ErrNotFound needs the word of each, under one placement.
func (c *Client) Find(id string, body bool) (*wire.FindReply, error) {
	partition, ok := wire.PartitionOf(id)
	if !ok {
		return nil, ErrNotFound
	}
	expired := time.NewTimer(findLimit)
	defer expired.Stop()
	for {
		v := c.view.Load()
		if v == nil || len(v.Partitions) == 0 {
			return nil, ErrNoAnswer
		}
		if int(partition) >= len(v.Partitions) {
			return nil, ErrNotFound
		}
		s := &search{request: &wire.Find{ID: id, Body: body, Epoch: v.Epoch}, answers: make(chan findAnswer, maxAsked)}
		reply, again, err := s.ask(stages(v, partition), expired)
		if !again {
			return reply, err
		}
	}
}

const maxAsked = 256

type search struct {
	request *wire.Find
	answers chan findAnswer
}

type findAnswer struct {
	store *store
	reply *wire.FindReply // nil: none came
}

// stages are the stores to ask, in turn.
func stages(v *view, partition uint16) [][]*store {
	replicas := v.replicas(partition)
	known := make(map[*store]bool)
	for _, s := range replicas {
		known[s] = true
	}
	var others []*store
	for _, s := range v.stores {
		if !known[s] && len(others) < maxAsked/2 {
			others = append(others, s)
		}
	}
	if len(replicas) == 0 {
		return [][]*store{others}
	}
	return [][]*store{replicas[:1], replicas[1:], others}
}

// ask goes through the stages. It asks those of the next one when the ones before have not answered for a while, or said no.
func (s *search) ask(stages [][]*store, expired *time.Timer) (reply *wire.FindReply, again bool, err error) {
	no := make(map[*store]bool)
	asked, all := 0, 0
	for _, stage := range stages {
		all += len(stage)
		for _, store := range stage {
			asked += s.start(store)
		}
		patience := time.NewTimer(findPatience)
		for waiting := true; waiting && len(no) < asked; {
			select {
			case a := <-s.answers:
				if a.reply != nil && a.reply.Found {
					patience.Stop()
					return a.reply, false, nil
				}
				if a.reply == nil {
					asked--
				} else {
					no[a.store] = true
				}
			case <-patience.C:
				waiting = false
			case <-expired.C:
				patience.Stop()
				return nil, false, ErrNoAnswer
			}
		}
		patience.Stop()
	}
	if len(no) == all {
		return nil, false, ErrNotFound
	}
	select {
	case <-expired.C:
		return nil, false, ErrNoAnswer
	case a := <-s.answers:
		if a.reply != nil && a.reply.Found {
			return a.reply, false, nil
		}
	case <-time.After(findPatience):
	}
	return nil, true, nil
}

// start asks a store, and returns 1 if it was asked.
func (s *search) start(store *store) int {
	conn := store.conn()
	if conn == nil {
		return 0
	}
	conn.Start(wire.MethodFind, s.request, func(payload []byte, err error) {
		reply := &wire.FindReply{}
		if err == nil {
			_, err = reply.UnmarshalMsg(payload)
		}
		if err != nil {
			reply = nil
		}
		select {
		case s.answers <- findAnswer{store, reply}:
		default: // nobody waits any more
		}
	})
	return 1
}
