package queue

import (
	"strings"
	"time"

	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/wire"
	"ravendale/store/journal"
)

// packet is a message on a connection.
type packet struct {
	method  wire.Method
	payload []byte
	call    string // names a request; of an answer, the request that it answers
	answer  bool
}

// modelEnd is one end of a connection, and the core's Remote.
type modelEnd struct {
	world    *modelWorld
	name     string
	closed   bool
	outgoing []packet // on the way to the other end
}

func (e *modelEnd) Notify(method wire.Method, message msgp.Marshaler) error {
	payload, err := message.MarshalMsg(nil)
	if err != nil {
		return err
	}
	if grant, ok := message.(*wire.Grant); ok && e.world.messages[grant.ID].reported {
		e.world.violation("message %s is granted after its outcome was acknowledged", grant.ID)
	}
	if !e.closed {
		e.outgoing = append(e.outgoing, packet{method: method, payload: payload})
	}
	return nil
}

// modelReply answers a request of an edge.
type modelReply struct {
	end  *modelEnd
	call string
}

func (r *modelReply) Send(message msgp.Marshaler) {
	if reply, ok := message.(*wire.PutReply); ok && reply.Code == wire.PutAccepted {
		r.end.world.checkCopies(strings.TrimPrefix(r.call, "put "))
	}
	payload, _ := message.MarshalMsg(nil)
	if !r.end.closed {
		r.end.outgoing = append(r.end.outgoing, packet{payload: payload, call: r.call, answer: true})
	}
}

func (r *modelReply) Fail(err error) { r.end.world.violation("%s failed: %v", r.call, err) }

// modelStore is a store with its disk.
type modelStore struct {
	world    *modelWorld
	name     string
	disk     string
	records  [][]byte
	durable  int
	up       bool
	seenLive bool // the leader considers the store available
	failed   bool // the store has failed and isn't known to have caught up
	removed  bool
	started  time.Duration
	core     *Core
	starts   int
}

func (s *modelStore) Append(payload []byte) (journal.Location, uint64) {
	s.records = append(s.records, payload)
	return journal.Location{Segment: 1, Offset: uint32(len(s.records))}, uint64(len(s.records))
}
func (s *modelStore) Position() uint64                         { return uint64(len(s.records)) }
func (s *modelStore) Read(at journal.Location) ([]byte, error) { return s.records[at.Offset-1], nil }
func (s *modelStore) Remove(uint32)                            {}
func (s *modelStore) Segments() (uint32, uint32)               { return 1, 1 }
func (s *modelStore) Used() int64                              { return 0 }
func (s *modelStore) WakeAt(time.Duration)                     {}
func (s *modelStore) StatusChanged()                           {}
func (s *modelStore) Fail(err error)                           { s.world.violation("%s: %v", s.name, err) }

func (s *modelStore) time() Time {
	return Time{Steady: time.Second + s.world.now - s.started, UnixMs: int64((s.world.now) / time.Millisecond)}
}

func (s *modelStore) start() {
	s.up, s.seenLive = true, true
	s.started = s.world.now
	s.starts++
	s.core = New(Config{Disk: s.disk, Copies: modelCopies, FinishedRetention: time.Hour, Log: modelLog}, s)
	for i, record := range s.records {
		if err := s.core.Recover(s.time(), journal.Location{Segment: 1, Offset: uint32(i + 1)}, record); err != nil {
			s.world.violation("recovery of %s: %v", s.name, err)
		}
	}
	s.core.Start(s.time(), s)
}

// hasDurable reports whether a message is synced to the store's disk.
func (s *modelStore) hasDurable(id string) bool {
	stored := false
	for _, payload := range s.records[:s.durable] {
		r, err := decodeRecord(payload)
		switch {
		case err != nil:
			return false
		case r.ID == id && r.Kind != RecordDrop:
			stored = true
		case r.ID == id, r.Kind == RecordWipe:
			stored = false
		}
	}
	return stored
}

// modelLink is a connection from a store or an edge to a store. ends[0] belongs to the one that has opened it.
type modelLink struct {
	from, to string
	ends     [2]*modelEnd
}
