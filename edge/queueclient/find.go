package queueclient

import (
	"errors"
	"time"

	"ravendale/cluster/wire"
)

// Errors of Find.
var (
	ErrNotFound = errors.New("queueclient: message not found on any store")
	ErrNoAnswer = errors.New("queueclient: state of the message could not be determined")
)

// Find looks up the state of a message and, if body is set, its body. It asks the primary of the message's partition,
// then the other replicas, and finally all other stores. It returns ErrNotFound only if each of them has answered,
// under the same placement, that it does not have the message, and ErrNoAnswer if that can't be established in time.
func (c *Client) Find(id string, body bool) (*wire.FindReply, error) {
	partition, ok := wire.PartitionOf(id)
	if !ok {
		return nil, ErrNotFound
	}
	deadline := time.NewTimer(findTimeout)
	defer deadline.Stop()
	for {
		v := c.view.Load()
		if v == nil || len(v.Partitions) == 0 {
			return nil, ErrNoAnswer
		}
		if int(partition) >= len(v.Partitions) {
			return nil, ErrNotFound
		}
		s := &search{request: &wire.Find{ID: id, Body: body, Epoch: v.Epoch}, answers: make(chan findAnswer, maxStoresAsked)}
		reply, retry, err := s.ask(stages(v, partition), deadline)
		if !retry {
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
	reply *wire.FindReply // nil: the request failed
}

// stages returns the stores to ask, in stages: the primary, the other replicas, the remaining stores.
func stages(v *view, partition uint16) [][]*store {
	replicas := v.replicas(partition)
	isReplica := make(map[*store]bool)
	for _, s := range replicas {
		isReplica[s] = true
	}
	var others []*store
	for _, s := range v.stores {
		if !isReplica[s] && len(others) < maxStoresAsked/2 {
			others = append(others, s)
		}
	}
	if len(replicas) == 0 {
		return [][]*store{others}
	}
	return [][]*store{replicas[:1], replicas[1:], others}
}

// ask sends the request to the stores of one stage after another. It goes on to the next stage when all stores asked so
// far do not have the message, or after findStageTimeout. It returns retry if the lookup was inconclusive and there is
// time for another round.
func (s *search) ask(stages [][]*store, deadline *time.Timer) (reply *wire.FindReply, retry bool, err error) {
	absent := make(map[*store]bool)
	sent, total := 0, 0
	for _, stage := range stages {
		total += len(stage)
		for _, store := range stage {
			sent += s.start(store)
		}
		stageTimer := time.NewTimer(findStageTimeout)
		for waiting := true; waiting && len(absent) < sent; {
			select {
			case answer := <-s.answers:
				if answer.reply != nil && answer.reply.Found {
					stageTimer.Stop()
					return answer.reply, false, nil
				}
				if answer.reply == nil {
					sent--
				} else {
					absent[answer.store] = true
				}
			case <-stageTimer.C:
				waiting = false
			case <-deadline.C:
				stageTimer.Stop()
				return nil, false, ErrNoAnswer
			}
		}
		stageTimer.Stop()
	}
	if len(absent) == total {
		return nil, false, ErrNotFound
	}
	select {
	case <-deadline.C:
		return nil, false, ErrNoAnswer
	case answer := <-s.answers:
		if answer.reply != nil && answer.reply.Found {
			return answer.reply, false, nil
		}
	case <-time.After(findStageTimeout):
	}
	return nil, true, nil
}

// start sends the request to a store. It returns the number of requests sent: 1, or 0 if the store is not connected.
func (s *search) start(store *store) int {
	conn := store.conn()
	if conn == nil {
		return 0
	}
	reply := &wire.FindReply{}
	conn.StartCall(wire.MethodFind, s.request, reply, func(err error) {
		found := reply
		if err != nil || !reply.State.IsKnown() {
			found = nil
		}
		select {
		case s.answers <- findAnswer{store, found}:
		default: // the channel is full: ask has returned
		}
	})
	return 1
}
