package queueclient

import (
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
)

const testTimeout = 3 * time.Second // in fake time

const testConfigVersion = 71 // of the configuration in which the routes of the messages were found

// fakeStore is a store whose answers the test sets. By default it accepts everything and finds nothing.
type fakeStore struct {
	server *rpc.Server

	mu       sync.Mutex
	attaches []wire.Attach
	configs  []uint64 // versions of the configuration that the client has announced
	claims   []wire.Claim
	puts     []wire.Put
	reports  []wire.Report
	conns    []*rpc.Conn

	put    func(p *wire.Put, number int) *wire.PutReply // a nil reply: no answer
	report func(r *wire.Report, number int) wire.PutCode
	claim  func(c *wire.Claim) *wire.ClaimReply
	find   func(f *wire.Find) *wire.FindReply
	unsure bool // it answers lookups with an error
}

func newFakeStore(t *testing.T) *fakeStore {
	s := &fakeStore{}
	mux := rpc.NewMux()
	rpc.Handle(mux, wire.MethodAttach, func(c *rpc.Conn, m *wire.Attach, reply rpc.Reply) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.attaches = append(s.attaches, *m)
		s.conns = append(s.conns, c)
		reply.Send(&wire.AttachReply{})
	})
	rpc.Handle(mux, wire.MethodEdgeConfig, func(_ *rpc.Conn, m *wire.EdgeConfig, _ rpc.Reply) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.configs = append(s.configs, m.Version)
	})
	rpc.Handle(mux, wire.MethodClaim, func(_ *rpc.Conn, m *wire.Claim, reply rpc.Reply) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.claims = append(s.claims, *m)
		answer := &wire.ClaimReply{Code: wire.PutAccepted}
		if s.claim != nil {
			answer = s.claim(m)
		}
		reply.Send(answer)
	})
	rpc.Handle(mux, wire.MethodPut, func(c *rpc.Conn, m *wire.Put, reply rpc.Reply) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.puts = append(s.puts, *m)
		answer := &wire.PutReply{Code: wire.PutAccepted}
		if s.put != nil {
			answer = s.put(m, len(s.puts))
		}
		send(reply, answer)
	})
	rpc.Handle(mux, wire.MethodReport, func(_ *rpc.Conn, m *wire.Report, reply rpc.Reply) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reports = append(s.reports, *m)
		code := wire.PutAccepted
		if s.report != nil {
			code = s.report(m, len(s.reports))
		}
		reply.Send(&wire.ReportReply{Code: code})
	})
	rpc.Handle(mux, wire.MethodFind, s.handleFind)
	s.server = rpc.Serve(memory.listen(), rpc.Options{Mux: mux}, nil)
	t.Cleanup(s.server.Close)
	return s
}

func (s *fakeStore) handleFind(_ *rpc.Conn, m *wire.Find, reply rpc.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := &wire.FindReply{}
	if s.find != nil {
		answer = s.find(m)
	}
	if s.unsure {
		reply.Fail(errors.New("not under this placement"))
	} else if answer != nil {
		reply.Send(answer)
	}
}

func send[T any, P interface {
	*T
	msgp.Marshaler
}](reply rpc.Reply, answer P) {
	if answer != nil {
		reply.Send(answer)
	}
}

func (s *fakeStore) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *fakeStore) countPuts() (count int) {
	s.withLock(func() { count = len(s.puts) })
	return count
}

func (s *fakeStore) countReports() (count int) {
	s.withLock(func() { count = len(s.reports) })
	return count
}

func (s *fakeStore) countClaims() (count int) {
	s.withLock(func() { count = len(s.claims) })
	return count
}

// recorder records the calls of the functions of a client's Config.
type recorder struct {
	mu           sync.Mutex
	accepted     map[string]bool // by message ID: whether it was granted
	granted      []string
	acknowledged []string
	unknown      []string
	leased       []string
}

func (h *recorder) withLock(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

func newClient(t *testing.T) (*Client, *recorder) { return newClientWith(t, func(*Config) {}) }

// newClientWith returns a client with a modified configuration.
func newClientWith(t *testing.T, modify func(*Config)) (*Client, *recorder) {
	h := &recorder{accepted: make(map[string]bool)}
	config := Config{
		Edge: "edge-1", Zone: "z1", Options: rpc.Options{DialContext: memory.dial},
		Accepted:     func(m *wire.Message, granted bool) { h.withLock(func() { h.accepted[m.ID] = granted }) },
		Granted:      func(g *wire.Grant) { h.withLock(func() { h.granted = append(h.granted, g.ID) }) },
		Acknowledged: func(id string) { h.withLock(func() { h.acknowledged = append(h.acknowledged, id) }) },
		Unknown:      func(id string) { h.withLock(func() { h.unknown = append(h.unknown, id) }) },
		Leased: func() (ids []string) {
			h.withLock(func() { ids = append(ids, h.leased...) })
			return ids
		},
	}
	modify(&config)
	c := New(config)
	c.started -= time.Hour // so that no event has time 0, which stands for never
	t.Cleanup(c.Close)
	return c, h
}

// placement returns a placement with one partition for each list of stores, the primary first. The first store is in
// zone z1, the others in z2.
func placement(epoch uint64, stores []*fakeStore, partitions ...[]uint16) *wire.StoreView {
	v := &wire.StoreView{Epoch: epoch, Copies: 1}
	for i, s := range stores {
		zone := "z2"
		if i == 0 {
			zone = "z1"
		}
		address := s.server.Address()
		v.Stores = append(v.Stores, wire.Store{Disk: address, Address: address, Zone: zone})
	}
	for _, replicas := range partitions {
		v.Partitions = append(v.Partitions, wire.Placement{Replicas: replicas})
	}
	return v
}

// awaitConnected waits until the client is connected to all stores and has sent all pending messages. Claims may have
// been sent twice then: by the new connection and by the new view.
func awaitConnected(t *testing.T, c *Client) {
	t.Helper()
	defer synctest.Wait()
	require.Eventually(t, func() bool {
		for _, s := range c.view.Load().stores {
			if s.conn() == nil {
				return false
			}
		}
		return true
	}, testTimeout, time.Millisecond)
}

// distinct removes consecutive duplicates.
func distinct(claims []wire.Claim) []wire.Claim {
	return slices.CompactFunc(claims, func(a, b wire.Claim) bool { return a.Epoch == b.Epoch && slices.Equal(a.IDs, b.IDs) })
}

// putFor is Put with a limit for attempts and the client's own timeout for answers.
func (c *Client) putFor(m *wire.Message, dispatch bool, limit time.Duration) Result {
	return c.Put(m, testConfigVersion, dispatch, Limits{Attempt: limit, Answer: c.lastTimeout, LateAnswer: c.lastTimeout})
}

func unordered() *wire.Message { return &wire.Message{RequestID: "r", Body: []byte("b")} }

func ordered() *wire.Message { return &wire.Message{RequestID: "r", Key: "k", Ordered: true} }
