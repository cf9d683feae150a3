package queueclient

import (
	"slices"
	"sync/atomic"
	"time"

	"ravendale/cluster/host"
	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
)

// store holds the link to a store and the client's view of its health.
type store struct {
	client       *Client
	address      string
	link         host.Link
	suspectUntil atomic.Int64             // time.Duration by the client's clock
	unanswered   atomic.Int64             // puts sent to it as a primary that have no answer yet
	acceptedAt   atomic.Int64             // time.Duration by the client's clock: when it last accepted a message as a primary; 0: never
	attached     atomic.Pointer[rpc.Conn] // the last connection on which the store has answered Attach
	outdated     atomic.Pointer[rpc.Conn] // the last connection that was open during a pause of the process
}

func newStore(c *Client, entry *wire.Store) *store {
	s := &store{client: c, address: entry.Address}
	s.link = c.host.Connect(entry.Address, c.config.Options, s.onConnect, nil)
	return s
}

// conn returns the connection to the store, or nil while there is none on which the store has answered this edge's Attach.
//
// Only a store that reads a connection while it is open there answers. So a store that was paused finds nothing but an
// Attach on the connections that this edge has opened and given up meanwhile, and no request on a connection that the
// edge has replaced can be handled after those on the newer one as if it were new.
func (s *store) conn() *rpc.Conn {
	conn := s.link.Conn()
	if conn == nil || s.attached.Load() != conn {
		return nil
	}
	return conn
}

func (s *store) onConnect(conn *rpc.Conn) {
	s.attach(conn, func() {
		s.attached.Store(conn)
		s.announceConfig(conn)
		s.client.reports.resend()
		s.claimOn(conn)
	})
}

// attach identifies this edge to the store. The store handles it before anything that is sent later on the connection.
// Once the store has answered, done is called on the goroutine that reads the connection. If the store refuses, because
// it takes another connection for the edge's newest, the connection is closed, so that the link opens a newer one.
func (s *store) attach(conn *rpc.Conn, done func()) {
	if conn == nil {
		return
	}
	s.client.mu.Lock()
	draining := s.client.draining
	s.client.mu.Unlock()
	message := &wire.Attach{Edge: s.client.config.Edge, Zone: s.client.config.Zone, Draining: draining}
	conn.Start(wire.MethodAttach, message, func(_ []byte, err error) {
		if err != nil {
			conn.Close()
			return
		}
		if done != nil {
			done()
		}
	})
}

// announceConfig notifies the store of the version of the configuration that this edge applies.
func (s *store) announceConfig(conn *rpc.Conn) {
	version := s.client.configVersion.Load()
	if conn == nil || version == 0 {
		return
	}
	_ = conn.Notify(wire.MethodEdgeConfig, &wire.EdgeConfig{Version: version}) // if it fails, onConnect announces it again
}

func (s *store) claim() { s.claimOn(s.conn()) }

// claimOn sends the store a claim: the IDs of the messages that are leased to this edge, in the partitions whose
// primary the store is. Messages with an unacknowledged report are included: the store must not grant them before it
// has processed the report.
func (s *store) claimOn(conn *rpc.Conn) {
	v := s.client.view.Load()
	if conn == nil || v == nil {
		return
	}
	claimedAt := s.client.host.Now()
	pending := s.client.pendingPuts() // read in the order in which messages move from list to list, so that none is missed
	leased := slices.Sorted(slices.Values(s.client.config.Leased()))
	reporting := s.client.reports.ids()
	claim := &wire.Claim{Epoch: v.Epoch}
	leasedHere, claimed := make(map[string]bool), make(map[string]bool)
	for _, id := range leased {
		if v.isPrimary(s, id) {
			claim.IDs = append(claim.IDs, id)
			leasedHere[id], claimed[id] = true, true
		}
	}
	for _, id := range append(pending, reporting...) {
		if v.isPrimary(s, id) && !claimed[id] {
			claimed[id] = true
			claim.IDs = append(claim.IDs, id)
		}
	}
	reply := &wire.ClaimReply{}
	conn.StartCall(wire.MethodClaim, claim, reply, func(err error) {
		if err != nil {
			return // the next connection claims again
		}
		if s.handleClaimReply(conn, v, leasedHere, reply) && s.client.config.Confirmed != nil {
			s.client.config.Confirmed(withoutAll(claim.IDs, reply.Unknown), claimedAt)
		}
	})
}

// handleClaimReply handles the answer to a claim and reports whether the claim was accepted. If not, it is repeated.
func (s *store) handleClaimReply(conn *rpc.Conn, v *view, leased map[string]bool, reply *wire.ClaimReply) (accepted bool) {
	if reply.Code != wire.PutAccepted {
		s.client.host.AfterFunc(claimRetryPause, func() {
			if conn.Err() == nil && s.client.view.Load() == v { // otherwise the new connection or placement has sent another claim
				s.attach(conn, nil) // a store of an earlier version may take a connection that this edge has closed for its newest
				s.claimOn(conn)
			}
		})
		return false
	}
	for _, id := range reply.Unknown {
		if leased[id] { // puts and reports in progress are resolved by their own answers
			s.client.config.Unknown(id)
		}
	}
	return true
}

// withoutAll returns the IDs that are not among the excluded ones.
func withoutAll(ids, excluded []string) []string {
	if len(excluded) == 0 {
		return ids
	}
	skip := make(map[string]bool, len(excluded))
	for _, id := range excluded {
		skip[id] = true
	}
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return skip[id] })
}

// isSuspect reports whether the store is not connected or has recently left a put unanswered.
func (s *store) isSuspect(now time.Duration) bool {
	return time.Duration(s.suspectUntil.Load()) > now || s.conn() == nil
}

func (s *store) recordAccepted(now time.Duration) { s.acceptedAt.Store(int64(now)) }

// acceptedSince reports whether the store has accepted a message at or after the given time.
func (s *store) acceptedSince(at time.Duration) bool {
	last := time.Duration(s.acceptedAt.Load())
	return last > 0 && last >= at
}

func (s *store) markSuspect(now time.Duration) { s.suspectUntil.Store(int64(now + suspectTimeout)) }

func (s *store) clearSuspect() {
	if s.suspectUntil.Load() != 0 {
		s.suspectUntil.Store(0)
	}
}
