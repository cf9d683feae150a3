package queueclient

import (
	"slices"
	"sync/atomic"
	"time"

	"ravendale/cluster/host"
	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
)

// store is a store's connection, and what is known of its health.
type store struct {
	client       *Client
	address      string
	link         host.Link
	suspectUntil atomic.Int64 // steady time of the client
	unanswered   atomic.Int64 // puts that it owes an answer, as a primary
	keptAt       atomic.Int64 // steady time of the client at which it kept a message last, as a primary
}

func newStore(c *Client, entry *wire.Store) *store {
	s := &store{client: c, address: entry.Address}
	s.link = c.host.Connect(entry.Address, c.config.Options, s.up, nil)
	return s
}

func (s *store) conn() *rpc.Conn { return s.link.Conn() }

func (s *store) up(conn *rpc.Conn) {
	s.attach(conn)
	s.client.reports.resend()
	s.claimOn(conn)
}

// attach tells the store who is at this end. What is sent after it on the connection is taken after it.
func (s *store) attach(conn *rpc.Conn) {
	if conn == nil {
		return
	}
	s.client.mu.Lock()
	draining := s.client.draining
	s.client.mu.Unlock()
	message := &wire.Attach{Edge: s.client.config.Edge, Zone: s.client.config.Zone, Draining: draining}
	conn.Start(wire.MethodAttach, message, func([]byte, error) {})
}

func (s *store) claim() { s.claimOn(s.conn()) }

// claimOn tells the store which messages this edge holds of the partitions whose primary it is. Those that it has an end to tell of
// are among them: they must not be handed out before that is heard.
func (s *store) claimOn(conn *rpc.Conn) {
	v := s.client.view.Load()
	if conn == nil || v == nil {
		return
	}
	putting := s.client.putting() // in the order in which messages go through the lists: none slips by
	held := slices.Sorted(slices.Values(s.client.config.Held()))
	reporting := s.client.reports.ids()
	claim := &wire.Claim{Epoch: v.Epoch}
	kept, claimed := make(map[string]bool), make(map[string]bool)
	for _, id := range held {
		if v.leads(s, id) {
			claim.IDs = append(claim.IDs, id)
			kept[id], claimed[id] = true, true
		}
	}
	for _, id := range append(putting, reporting...) {
		if v.leads(s, id) && !claimed[id] {
			claimed[id] = true
			claim.IDs = append(claim.IDs, id)
		}
	}
	conn.Start(wire.MethodClaim, claim, func(payload []byte, err error) {
		reply := &wire.ClaimReply{}
		if err == nil {
			_, err = reply.UnmarshalMsg(payload)
		}
		if err != nil {
			return // a lost connection claims again when it is back
		}
		s.claimed(conn, v, kept, reply)
	})
}

func (s *store) claimed(conn *rpc.Conn, v *view, kept map[string]bool, reply *wire.ClaimReply) {
	if reply.Code != wire.PutKept {
		s.client.host.AfterFunc(claimPause, func() {
			if conn.Err() == nil && s.client.view.Load() == v { // else there is another claim
				s.claimOn(conn)
			}
		})
		return
	}
	for _, id := range reply.Unknown {
		if kept[id] { // a put or a report under way settles itself
			s.client.config.Unknown(id)
		}
	}
}

func (v *view) leads(s *store, id string) bool {
	partition, ok := wire.PartitionOf(id)
	return ok && v.primary(partition) == s
}

// suspect says whether something tells against the store: it isn't connected, or left a put unanswered.
func (s *store) suspect(now time.Duration) bool {
	return time.Duration(s.suspectUntil.Load()) > now || s.conn() == nil
}

func (s *store) kept(now time.Duration) { s.keptAt.Store(int64(now)) }

// keptSince says whether it kept a message after a time.
func (s *store) keptSince(at time.Duration) bool {
	kept := time.Duration(s.keptAt.Load())
	return kept > 0 && kept >= at
}

func (s *store) blame(now time.Duration) { s.suspectUntil.Store(int64(now + suspectFor)) }

func (s *store) clear() {
	if s.suspectUntil.Load() != 0 {
		s.suspectUntil.Store(0)
	}
}
