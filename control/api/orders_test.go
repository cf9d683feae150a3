package api

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/control/core"
	"ravendale/control/state"
)

// simulation simulates several processes that serve operators and share one log. Commands may be lost before they reach
// the log, or their outcomes after it; they may be delayed, and appended twice because operators retry. Processes lag
// behind, restart and install snapshots.
type simulation struct {
	random    *rand.Rand
	log       [][]byte
	delayed   [][]byte // commands whose callers have timed out, and which may still be appended to the log
	members   []*member
	orders    []*operatorOrder
	lenient   bool   // do not report refusals of orders that were not appended to the log, unless they contradict another answer
	violation string // the first one found; empty: none
}

// member is one process: its server, and its state machine with the number of log entries that it has applied.
type member struct {
	simulation  *simulation
	machine     *state.Machine
	applied     int
	partitioned bool // from the other members
	server      *Server
}

// operatorOrder is one order of an operator, which may be sent any number of times.
type operatorOrder struct {
	path    string
	base    uint64
	version uint64
	body    string
	applied bool // the log has the order, and the state machine applied it
	acked   bool
	refused bool // it was answered with a 4xx status
}

// Submit implements Submitter.
func (m *member) Submit(_ context.Context, command []byte) ([]byte, error) {
	s := m.simulation
	command = append([]byte(nil), command...)
	switch {
	case m.partitioned && s.random.IntN(2) == 0, s.random.IntN(12) == 0:
		return nil, core.ErrUnavailable
	case m.partitioned, s.random.IntN(8) == 0:
		s.delayed = append(s.delayed, command)
		return nil, core.ErrUnknown
	}
	result := s.append(command, m)
	if s.random.IntN(6) == 0 {
		return nil, core.ErrUnknown
	}
	return result, nil
}

// append appends a command to the log, makes a member apply the log up to it, and returns the result. It is the same on
// all members; see package state.
func (s *simulation) append(command []byte, m *member) (result []byte) {
	s.log = append(s.log, command)
	for ; m.applied < len(s.log); m.applied++ {
		result = m.machine.Apply(s.log[m.applied])
	}
	s.record(command, result)
	return result
}

// record marks the order of a command as applied if the result says so.
func (s *simulation) record(command, encoded []byte) {
	result, err := state.DecodeResult(encoded)
	if err != nil {
		s.fail("%v", err)
		return
	}
	if result.Outcome != state.OutcomeApplied {
		return
	}
	decoded, err := state.Decode(command)
	if err != nil {
		s.fail("%v", err)
		return
	}
	for _, p := range s.orders {
		if p.is(decoded) {
			if p.refused {
				s.fail("%+v was refused, and then applied", p)
			}
			p.applied = true
		}
	}
}

func (p *operatorOrder) is(command state.Command) bool {
	switch c := command.(type) {
	case *state.Set:
		return p.path == "set" && c.Base == p.base && string(c.Body) == p.body
	case *state.Patch:
		return p.path == "patch" && c.Base == p.base && string(c.Body) == p.body
	}
	return false
}

func (s *simulation) fail(format string, arguments ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, arguments...)
	}
}

// simulateOperators runs one random history of orders and faults, and returns the first violation found. With
// refuseLocally a process refuses orders by the version that it has applied itself, without submitting them.
func simulateOperators(seed uint64, refuseLocally bool) string {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 5)), lenient: refuseLocally}
	for range 3 {
		m := &member{simulation: s, machine: state.NewMachine()}
		m.server = New(Options{Submitter: m, Retirer: &fakeStores{}, Log: slog.New(slog.DiscardHandler)})
		if refuseLocally {
			m.server.mutations.current = func() uint64 { return m.machine.Current().Version }
		}
		s.members = append(s.members, m)
	}
	for range 80 {
		s.step()
		if s.violation != "" {
			return fmt.Sprintf("seed %d: %s", seed, s.violation)
		}
	}
	return ""
}

func (s *simulation) pick() *member { return s.members[s.random.IntN(len(s.members))] }

func (s *simulation) step() {
	m := s.pick()
	switch s.random.IntN(10) {
	case 0:
		m.partitioned = !m.partitioned
	case 1: // install the snapshot of the member that has applied most
		s.install(m)
	case 2: // restart
		s.restore(m, m)
	case 3, 4: // append a delayed command to the log
		if len(s.delayed) > 0 {
			index := s.random.IntN(len(s.delayed))
			command := s.delayed[index]
			s.delayed = append(s.delayed[:index:index], s.delayed[index+1:]...)
			s.append(command, m)
		}
	default:
		s.send(m, s.order())
	}
}

func (s *simulation) install(m *member) {
	for _, other := range s.members {
		if other.applied > m.applied {
			s.restore(other, m)
		}
	}
}

func (s *simulation) restore(from, to *member) {
	next := state.NewMachine()
	if err := next.Restore(from.machine.Snapshot()); err != nil {
		s.fail("%v", err)
	}
	to.machine, to.applied = next, from.applied
}

// order returns an order that was sent before, or a new one based on a version that an operator may have seen: the
// newest acknowledged one, or the one before that.
func (s *simulation) order() *operatorOrder {
	if len(s.orders) > 0 && s.random.IntN(2) == 0 {
		return s.orders[s.random.IntN(len(s.orders))]
	}
	var base, previous uint64
	for _, p := range s.orders {
		if p.acked && p.version > base {
			base, previous = p.version, base
		}
	}
	if s.random.IntN(5) == 0 {
		base = previous
	}
	version := max(1, base+uint64(s.random.IntN(3)))
	p := &operatorOrder{path: "set", base: base, version: version, body: document(int(version))}
	if s.random.IntN(2) == 0 {
		p.path = "patch"
	}
	if s.random.IntN(3) == 0 {
		p.body = strings.Replace(p.body, "1.50", fmt.Sprint(s.random.IntN(3)), 1)
	}
	for _, known := range s.orders {
		if known.path == p.path && known.base == p.base && known.body == p.body {
			return known // identical to an order of another operator
		}
	}
	s.orders = append(s.orders, p)
	return p
}

func (s *simulation) send(m *member, p *operatorOrder) {
	request := httptest.NewRequest(http.MethodPost, "/v1/config/"+p.path, strings.NewReader(p.body))
	request.Header.Set(baseHeader, fmt.Sprint(p.base))
	logLength := len(s.log)
	response, err := m.server.app.Test(request, -1)
	if err != nil {
		s.fail("%v", err)
		return
	}
	content, _ := io.ReadAll(response.Body)
	s.checkAnswer(p, response.StatusCode, len(s.log) > logLength, string(content))
}

// checkAnswer checks an answer against the log and the earlier answers. Appended reports whether the request appended
// to the log.
func (s *simulation) checkAnswer(p *operatorOrder, status int, appended bool, content string) {
	switch {
	case status == http.StatusOK:
		p.acked = true
		if !p.applied {
			s.fail("%+v was acknowledged but not applied", p)
		}
		for _, other := range s.orders {
			if other != p && other.acked && (other.base == p.base || other.version == p.version) {
				s.fail("%+v and %+v were both acknowledged", p, other)
			}
		}
	case status < http.StatusInternalServerError:
		p.refused = true
		if p.applied {
			s.fail("%+v was applied, and then answered with %d %s", p, status, content)
		}
		if !appended && !s.lenient {
			s.fail("%+v was answered with %d %s without submitting it", p, status, content)
		}
	}
}

// TestAnswersAreConsistent simulates operators that retry orders at any process, while outcomes are lost and commands
// are delayed.
func TestAnswersAreConsistent(t *testing.T) {
	for seed := range uint64(200) {
		require.Empty(t, simulateOperators(seed, false))
	}
}

func TestDetectsRefusalByLocalState(t *testing.T) {
	const maxSeeds = 20
	for seed := range uint64(maxSeeds) {
		if violation := simulateOperators(seed, true); violation != "" {
			t.Log(violation)
			return
		}
	}
	require.Fail(t, "violation not detected", "in %d seeds", maxSeeds)
}

// undecided answers like a core that does not know whether an order was applied.
type undecided struct{}

func (undecided) Submit(context.Context, []byte) ([]byte, error) {
	return (&state.Result{Outcome: state.OutcomeUnsure, Version: 9}).MarshalMsg(nil)
}

func TestOrderThatMayHaveBeenAppliedIsUndecided(t *testing.T) {
	f := newFixture(t)
	f.server.options.Submitter = undecided{}
	f.set(504, "1", document(5))
	f.patch(504, "1", `{"version":5}`)
}

// TestPartitionedMemberDoesNotRefuseOrders has stale state in the machine, and a core that accepts no command.
func TestPartitionedMemberDoesNotRefuseOrders(t *testing.T) {
	f := newFixture(t)
	f.set(200, "0", document(5))
	f.core.before = core.ErrUnavailable
	f.set(503, "0", document(5))
	f.set(503, "4", document(4))
	f.patch(503, "9", `{"version":12}`)
	f.patch(503, "5", `{"version":3}`)
	f.show(503)
	f.core.before, f.core.hang = nil, true
	f.set(504, "4", document(4))
	f.show(504)
}
