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

// Find looks up the state of a message, and with body its bytes: at the primary of its partition, then at the other replicas,
// and at last at all stores. ErrNotFound needs the answer of each, under one placement.
func (c *Client) Find(id string, body bool) (*wire.FindReply, error) {
	partition, ok := wire.PartitionOf(id)
	if !ok {
		return nil, ErrNotFound
	}
	expired := time.NewTimer(findTimeout)
	defer expired.Stop()
	for {
		v := c.view.Load()
		if v == nil || len(v.Partitions) == 0 {
			return nil, ErrNoAnswer
		}
		if int(partition) >= len(v.Partitions) {
			return nil, ErrNotFound
		}
		s := &search{request: &wire.Find{ID: id, Body: body, Epoch: v.Epoch}, answers: make(chan findAnswer, maxStoresAsked)}
		reply, again, err := s.ask(stages(v, partition), expired)
		if !again {
			return reply, err
		}
	}
}

const maxStoresAsked = 256

type search struct {
	request *wire.Find
	answers chan findAnswer
}

type findAnswer struct {
	store *store
	reply *wire.FindReply // nil: none came
}

// stages returns the stores to ask, stage by stage.
func stages(v *view, partition uint16) [][]*store {
	replicas := v.replicas(partition)
	known := make(map[*store]bool)
	for _, s := range replicas {
		known[s] = true
	}
	var others []*store
	for _, s := range v.stores {
		if !known[s] && len(others) < maxStoresAsked/2 {
			others = append(others, s)
		}
	}
	if len(replicas) == 0 {
		return [][]*store{others}
	}
	return [][]*store{replicas[:1], replicas[1:], others}
}

// ask goes through the stages. It asks the stores of the next one when those before have not answered for a while, or do not have it.
func (s *search) ask(stages [][]*store, expired *time.Timer) (reply *wire.FindReply, again bool, err error) {
	absent := make(map[*store]bool)
	sent, all := 0, 0
	for _, stage := range stages {
		all += len(stage)
		for _, store := range stage {
			sent += s.start(store)
		}
		stageTimer := time.NewTimer(findStageTimeout)
		for waiting := true; waiting && len(absent) < sent; {
			select {
			case a := <-s.answers:
				if a.reply != nil && a.reply.Found {
					stageTimer.Stop()
					return a.reply, false, nil
				}
				if a.reply == nil {
					sent--
				} else {
					absent[a.store] = true
				}
			case <-stageTimer.C:
				waiting = false
			case <-expired.C:
				stageTimer.Stop()
				return nil, false, ErrNoAnswer
			}
		}
		stageTimer.Stop()
	}
	if len(absent) == all {
		return nil, false, ErrNotFound
	}
	select {
	case <-expired.C:
		return nil, false, ErrNoAnswer
	case a := <-s.answers:
		if a.reply != nil && a.reply.Found {
			return a.reply, false, nil
		}
	case <-time.After(findStageTimeout):
	}
	return nil, true, nil
}

// start sends the request to a store, and returns 1 if it was sent.
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
