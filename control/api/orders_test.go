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

// world is some processes that serve the operator, in front of one log. Commands may be lost before the log or their outcomes after it,
// come into it late, and come twice since operators send again; processes lag, start anew and install images.
type world struct {
	random  *rand.Rand
	log     [][]byte
	late    [][]byte // commands whose callers have given up, and which may still be ordered
	members []*member
	orders  []*posted
	lenient bool // refusals that did not come through the log are let pass as long as they do no harm
	broken  string
}

// member is one process: its server, and how much of the log its machine has applied.
type member struct {
	world       *world
	machine     *state.Machine
	applied     int
	partitioned bool // from the others
	server      *Server
}

// posted is one order of an operator, sent any number of times.
type posted struct {
	path    string
	base    uint64
	version uint64
	body    string
	taken   bool // the log has it as taken
	acked   bool
	refused bool // it was answered by 4xx
}

// Submit implements Submitter.
func (m *member) Submit(_ context.Context, command []byte) ([]byte, error) {
	w := m.world
	command = append([]byte(nil), command...)
	switch {
	case m.partitioned && w.random.IntN(2) == 0, w.random.IntN(12) == 0:
		return nil, core.ErrUnavailable
	case m.partitioned, w.random.IntN(8) == 0:
		w.late = append(w.late, command)
		return nil, core.ErrUnknown
	}
	result := w.append(command, m)
	if w.random.IntN(6) == 0 {
		return nil, core.ErrUnknown
	}
	return result, nil
}

// append puts a command into the log and has a member apply all up to it. All members' results are the same; see package state.
func (w *world) append(command []byte, m *member) (result []byte) {
	w.log = append(w.log, command)
	for ; m.applied < len(w.log); m.applied++ {
		result = m.machine.Apply(w.log[m.applied])
	}
	w.record(command, result)
	return result
}

// record keeps the account of what the log has applied.
func (w *world) record(command, encoded []byte) {
	result, err := state.DecodeResult(encoded)
	if err != nil {
		w.fail("%v", err)
		return
	}
	if result.Outcome != state.OutcomeApplied {
		return
	}
	decoded, err := state.Decode(command)
	if err != nil {
		w.fail("%v", err)
		return
	}
	for _, p := range w.orders {
		if p.is(decoded) {
			if p.refused {
				w.fail("%+v was refused, and then taken", p)
			}
			p.taken = true
		}
	}
}

func (p *posted) is(command state.Command) bool {
	switch c := command.(type) {
	case *state.Set:
		return p.path == "set" && c.Base == p.base && string(c.Body) == p.body
	case *state.Patch:
		return p.path == "patch" && c.Base == p.base && string(c.Body) == p.body
	}
	return false
}

func (w *world) fail(format string, arguments ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, arguments...)
	}
}

// playOperators plays one history of operators and troubles, and returns what was broken. With refuseHere a process refuses by
// what it has applied itself.
func playOperators(seed uint64, refuseHere bool) string {
	w := &world{random: rand.New(rand.NewPCG(seed, 5)), lenient: refuseHere}
	for range 3 {
		m := &member{world: w, machine: state.NewMachine()}
		m.server = New(Options{Submitter: m, Retirer: &stores{}, Log: slog.New(slog.DiscardHandler)})
		if refuseHere {
			m.server.mutations.current = func() uint64 { return m.machine.Current().Version }
		}
		w.members = append(w.members, m)
	}
	for range 80 {
		w.step()
		if w.broken != "" {
			return fmt.Sprintf("seed %d: %s", seed, w.broken)
		}
	}
	return ""
}

func (w *world) pick() *member { return w.members[w.random.IntN(len(w.members))] }

func (w *world) step() {
	m := w.pick()
	switch w.random.IntN(10) {
	case 0:
		m.partitioned = !m.partitioned
	case 1: // it is filled by the member that has most
		w.install(m)
	case 2: // it starts anew
		w.restore(m, m)
	case 3, 4: // something that was given up is ordered after all
		if len(w.late) > 0 {
			at := w.random.IntN(len(w.late))
			command := w.late[at]
			w.late = append(w.late[:at:at], w.late[at+1:]...)
			w.append(command, m)
		}
	default:
		w.send(m, w.order())
	}
}

func (w *world) install(m *member) {
	for _, other := range w.members {
		if other.applied > m.applied {
			w.restore(other, m)
		}
	}
}

func (w *world) restore(from, to *member) {
	next := state.NewMachine()
	if err := next.Restore(from.machine.Snapshot()); err != nil {
		w.fail("%v", err)
	}
	to.machine, to.applied = next, from.applied
}

// order is one sent before, or a new one on a version that an operator may have seen: the newest that was acknowledged, or the one before.
func (w *world) order() *posted {
	if len(w.orders) > 0 && w.random.IntN(2) == 0 {
		return w.orders[w.random.IntN(len(w.orders))]
	}
	var seen, before uint64
	for _, p := range w.orders {
		if p.acked && p.version > seen {
			seen, before = p.version, seen
		}
	}
	if w.random.IntN(5) == 0 {
		seen = before
	}
	version := max(1, seen+uint64(w.random.IntN(3)))
	p := &posted{path: "set", base: seen, version: version, body: document(int(version))}
	if w.random.IntN(2) == 0 {
		p.path = "patch"
	}
	if w.random.IntN(3) == 0 {
		p.body = strings.Replace(p.body, "1.50", fmt.Sprint(w.random.IntN(3)), 1)
	}
	for _, known := range w.orders {
		if known.path == p.path && known.base == p.base && known.body == p.body {
			return known // the other operator's, to the last byte
		}
	}
	w.orders = append(w.orders, p)
	return p
}

func (w *world) send(m *member, p *posted) {
	request := httptest.NewRequest(http.MethodPost, "/v1/config/"+p.path, strings.NewReader(p.body))
	request.Header.Set(baseHeader, fmt.Sprint(p.base))
	before := len(w.log)
	response, err := m.server.app.Test(request, -1)
	if err != nil {
		w.fail("%v", err)
		return
	}
	content, _ := io.ReadAll(response.Body)
	w.judge(p, response.StatusCode, len(w.log) > before, string(content))
}

func (w *world) judge(p *posted, status int, ordered bool, content string) {
	switch {
	case status == http.StatusOK:
		p.acked = true
		if !p.taken {
			w.fail("%+v was acknowledged and not taken", p)
		}
		for _, other := range w.orders {
			if other != p && other.acked && (other.base == p.base || other.version == p.version) {
				w.fail("%+v and %+v were both acknowledged", p, other)
			}
		}
	case status < http.StatusInternalServerError:
		p.refused = true
		if p.taken {
			w.fail("%+v was taken, and then answered %d %s", p, status, content)
		}
		if !ordered && !w.lenient {
			w.fail("%+v was answered %d %s by what one process knew", p, status, content)
		}
	}
}

// TestOperatorsAreNeverTornBetweenAnswers plays operators who send orders again, anywhere, while outcomes get lost and commands come late.
func TestOperatorsAreNeverTornBetweenAnswers(t *testing.T) {
	for seed := range uint64(200) {
		require.Empty(t, playOperators(seed, false))
	}
}

func TestARefusalByWhatOneProcessAppliedIsCaught(t *testing.T) {
	const most = 20
	for seed := range uint64(most) {
		if broken := playOperators(seed, true); broken != "" {
			t.Log(broken)
			return
		}
	}
	require.Fail(t, "not caught", "in %d seeds", most)
}

// undecided answers as a core does that can't tell whether an order was taken.
type undecided struct{}

func (undecided) Submit(context.Context, []byte) ([]byte, error) {
	return (&state.Result{Outcome: state.OutcomeUnsure, Version: 9}).MarshalMsg(nil)
}

func TestAnOrderThatMayHaveBeenAppliedGetsNoClearAnswer(t *testing.T) {
	f := newFixture(t)
	f.server.options.Submitter = undecided{}
	f.set(504, "1", document(5))
	f.patch(504, "1", `{"version":5}`)
}

// TestAPartitionedMemberGivesNoClearAnswer has old state in the machine, and a core that takes nothing.
func TestAPartitionedMemberGivesNoClearAnswer(t *testing.T) {
	f := newFixture(t)
	f.set(200, "0", document(5))
	f.chain.before = core.ErrUnavailable
	f.set(503, "0", document(5))
	f.set(503, "4", document(4))
	f.patch(503, "9", `{"version":12}`)
	f.patch(503, "5", `{"version":3}`)
	f.show(503)
	f.chain.before, f.chain.hang = nil, true
	f.set(504, "4", document(4))
	f.show(504)
}
