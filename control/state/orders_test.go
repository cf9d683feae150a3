package state

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// orderWorld is some replicas that apply one log, each as far as it has come, and a plain account of which orders were taken.
type orderWorld struct {
	random   *rand.Rand
	limit    int // of the history
	faults   mutations
	log      [][]byte
	results  []string // of the log's commands, as the first replica to apply each answered
	replicas []*Machine
	applied  []int // by replica
	taken    map[string]uint64
	versions []uint64 // that were made, in order
	sent     []Command
	broken   string
}

// playOrders sends orders, most of them new, some again, in any order, to replicas that lag, restart and install images. It returns
// what was broken.
func playOrders(seed uint64, mistakes mutations) string {
	w := &orderWorld{
		random: rand.New(rand.NewPCG(seed, 11)), faults: mistakes, taken: make(map[string]uint64), versions: []uint64{0},
	}
	w.limit = 1 + w.random.IntN(6)
	for range 3 {
		w.replicas, w.applied = append(w.replicas, w.machine()), append(w.applied, 0)
	}
	for range 60 {
		w.step()
		if w.broken != "" {
			return fmt.Sprintf("seed %d: %s", seed, w.broken)
		}
	}
	return ""
}

func (w *orderWorld) machine() *Machine {
	m := NewMachine()
	m.history.limit, m.mutations = w.limit, w.faults
	return m
}

func (w *orderWorld) fail(format string, arguments ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, arguments...)
	}
}

func (w *orderWorld) step() {
	replica := w.random.IntN(len(w.replicas))
	switch w.random.IntN(8) {
	case 0: // it starts anew, from an image of its own
		w.install(replica, replica)
	case 1: // it is filled by another one
		if other := w.random.IntN(len(w.replicas)); w.applied[other] > w.applied[replica] {
			w.install(other, replica)
		}
	case 2: // all start anew
		for i := range w.replicas {
			w.install(i, i)
		}
	case 3: // it catches up
		w.advance(replica, len(w.log))
	default:
		w.order(replica)
	}
}

func (w *orderWorld) install(from, to int) {
	snapshot, next := w.replicas[from].Snapshot(), w.machine()
	if err := next.Restore(snapshot); err != nil {
		w.fail("an image was refused: %v", err)
		return
	}
	w.replicas[to], w.applied[to] = next, w.applied[from]
}

func (w *orderWorld) advance(replica, to int) {
	for ; w.applied[replica] < to; w.applied[replica]++ {
		at := w.applied[replica]
		result := string(w.replicas[replica].Apply(w.log[at]))
		if at == len(w.results) {
			w.results = append(w.results, result)
		} else if w.results[at] != result {
			w.fail("replicas answer command %d with %q and %q", at, w.results[at], result)
		}
	}
}

// order sends an order, and compares the outcome with the account.
func (w *orderWorld) order(replica int) {
	command := w.draw()
	w.sent = append(w.sent, command)
	encoded, err := Encode(command)
	if err != nil {
		w.fail("%v", err)
		return
	}
	w.log = append(w.log, encoded)
	w.advance(replica, len(w.log))
	if w.broken != "" {
		return
	}
	result, err := DecodeResult([]byte(w.results[len(w.results)-1]))
	if err != nil {
		w.fail("%v", err)
		return
	}
	w.check(command, result)
}

// draw makes an order on one of the newest versions, or repeats one. Half of the bodies are the same as set and as patch.
func (w *orderWorld) draw() Command {
	if len(w.sent) > 0 && w.random.IntN(3) == 0 {
		return w.sent[w.random.IntN(len(w.sent))]
	}
	current := w.current()
	base := w.versions[max(0, len(w.versions)-1-w.random.IntN(2))]
	version := int(current) + w.random.IntN(4)
	body := document(version)
	if w.random.IntN(2) == 0 {
		body = document(version, route(string(rune('a'+w.random.IntN(3)))))
	}
	if w.random.IntN(2) == 0 {
		return &Patch{Base: base, Body: []byte(body)}
	}
	return &Set{Base: base, Body: []byte(body)}
}

func (w *orderWorld) current() uint64 { return w.versions[len(w.versions)-1] }

// identity is what makes two orders the same: their kind, base and bytes.
func identity(command Command) (name string, kind Kind, base uint64, body []byte) {
	switch c := command.(type) {
	case *Set:
		kind, base, body = KindSet, c.Base, c.Body
	case *Patch:
		kind, base, body = KindPatch, c.Base, c.Body
	}
	return fmt.Sprintf("kind %d base %d body %s", kind, base, body), kind, base, body
}

func (w *orderWorld) check(command Command, result *Result) {
	name, kind, base, body := identity(command)
	if version, ok := w.taken[name]; ok {
		w.checkDuplicate(name, version, result)
		return
	}
	current := w.current()
	if base != current {
		if result.Outcome != OutcomeRefusedVersion && (result.Outcome != OutcomeUnsure || !w.forgotten(base)) {
			w.fail("%s on version %d was %v", name, current, result.Outcome)
		}
		return
	}
	version := versionIn(body)
	if version <= current || kind == KindPatch && current == 0 {
		if result.Outcome != OutcomeInvalid {
			w.fail("%s on version %d was %v", name, current, result.Outcome)
		}
		return
	}
	if result.Outcome != OutcomeApplied || result.Version != version {
		w.fail("%s on version %d was %v", name, current, result.Outcome)
		return
	}
	w.taken[name] = version
	w.versions = append(w.versions, version)
}

// checkDuplicate judges the answer to an order that was taken: it is acknowledged again, or if it is old it gets no clear answer.
func (w *orderWorld) checkDuplicate(name string, version uint64, result *Result) {
	newest := w.versions[max(1, len(w.versions)-w.limit):]
	switch {
	case result.Outcome == OutcomeDuplicate && result.Version == version:
	case result.Outcome == OutcomeUnsure && !slices.Contains(newest, version):
	default:
		w.fail("%s was taken as version %d, and then %v", name, version, result.Outcome)
	}
}

// forgotten says whether an order on this base may have fallen out of the history.
func (w *orderWorld) forgotten(base uint64) bool {
	return len(w.versions)-1 > w.limit && base < w.versions[len(w.versions)-w.limit]
}

// versionIn reads the version that a body of the test names.
func versionIn(body []byte) uint64 {
	_, rest, _ := strings.Cut(string(body), `"version":`)
	number, _, _ := strings.Cut(rest, ",")
	version, _ := strconv.ParseUint(number, 10, 64) // 0 where the body names none
	return version
}

// TestOrdersKeepTheirIdentity plays orders against replicas that lag, restart and install images, with histories of 1 to 6 orders.
func TestOrdersKeepTheirIdentity(t *testing.T) {
	for seed := range uint64(1000) {
		require.Empty(t, playOrders(seed, mutations{}))
	}
}

func TestMistakesOfIdentityAreCaught(t *testing.T) {
	byVersion := func(_ Kind, _ uint64, body []byte) digest {
		version := versionIn(body)
		return digestOf(0, version, nil)
	}
	withoutKind := func(_ Kind, base uint64, body []byte) digest { return digestOf(0, base, body) }
	withoutBase := func(kind Kind, _ uint64, body []byte) digest { return digestOf(kind, 0, body) }
	for name, mistakes := range map[string]mutations{
		"known by the version alone":               {digest: byVersion},
		"a patch is a set of the same bytes":       {digest: withoutKind},
		"known without the base":                   {digest: withoutBase},
		"an image without the orders taken":        {dropsHistory: true},
		"a repeat older than the history, refused": {refusesOld: true},
	} {
		t.Run(name, func(t *testing.T) {
			const most = 50
			for seed := range uint64(most) {
				if broken := playOrders(seed, mistakes); broken != "" {
					t.Log(broken)
					return
				}
			}
			require.Fail(t, "not caught", "in %d seeds", most)
		})
	}
}

// TestADuplicateOlderThanTheHistoryIsNotRefused has more changes than the history keeps, and each order sent again.
func TestADuplicateOlderThanTheHistoryIsNotRefused(t *testing.T) {
	const beyond = 20
	m := NewMachine()
	order := func(base uint64) *Result { return set(t, m, base, document(int(base)+1)) }
	for base := range uint64(historyLength + beyond) {
		require.Equal(t, OutcomeApplied, order(base).Outcome)
	}
	for range 2 {
		for _, base := range []uint64{0, 1, beyond - 1} {
			require.Equal(t, OutcomeUnsure, order(base).Outcome, "order on %d", base)
		}
		for _, base := range []uint64{beyond, beyond + 1, historyLength + beyond - 1} {
			require.Equal(t, OutcomeDuplicate, order(base).Outcome, "order on %d", base)
		}
		loser := document(historyLength*2, route("other"))
		require.Equal(t, OutcomeUnsure, set(t, m, 3, loser).Outcome, "it can't be told from one that was taken")
		require.Equal(t, OutcomeRefusedVersion, set(t, m, beyond+1, loser).Outcome)
		require.Equal(t, uint64(historyLength+beyond), m.Current().Sequence)
		snapshot := m.Snapshot()
		m = NewMachine()
		require.NoError(t, m.Restore(snapshot))
	}
}

// TestOrdersWithTheSameBytesAreTheSame has two operators send the same, and others what only looks so.
func TestOrdersWithTheSameBytesAreTheSame(t *testing.T) {
	m := NewMachine()
	set(t, m, 0, document(1))
	change := document(2)
	require.Equal(t, OutcomeApplied, set(t, m, 1, change).Outcome)
	require.Equal(t, OutcomeDuplicate, set(t, m, 1, change).Outcome, "the other operator's")
	require.Equal(t, OutcomeRefusedVersion, patch(t, m, 1, change).Outcome, "a patch of the same bytes and the same result")
	require.Equal(t, OutcomeRefusedVersion, set(t, m, 1, strings.Replace(change, "1.50", "1.5", 1)).Outcome, "the same content, other bytes")
	require.Equal(t, uint64(2), m.Current().Sequence)
	require.NotEqual(t, digestOf(KindSet, binary.BigEndian.Uint64([]byte("abcdefgh")), nil), digestOf(KindSet, 0, []byte("abcdefgh")))
}
