package explore_test

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/internal/explore"
)

// counters is a model of processes that add one to a shared number, in two steps, read and write. If locked is true,
// they do both in one step.
type counters struct {
	locked  bool
	shared  int
	workers []worker
}

type worker struct {
	step int // 0: idle, 1: has read, 2: done, 3: crashed
	read int
}

func newCounters(count int, locked bool) *counters {
	return &counters{locked: locked, workers: make([]worker, count)}
}

func (c *counters) Enabled() []explore.Action {
	var actions []explore.Action
	for i := range c.workers {
		switch c.workers[i].step {
		case 0:
			actions = append(actions, explore.Action{Name: fmt.Sprint("read ", i)}, explore.Action{Name: fmt.Sprint("crash ", i), Fault: true})
		case 1:
			actions = append(actions, explore.Action{Name: fmt.Sprint("write ", i)})
		}
	}
	return actions
}

func (c *counters) Do(name string) {
	var operation string
	var at int
	if _, err := fmt.Sscan(name, &operation, &at); err != nil {
		panic(err)
	}
	w := &c.workers[at]
	switch operation {
	case "crash":
		w.step = 3
	case "read":
		w.step, w.read = 1, c.shared
		if c.locked {
			c.write(w)
		}
	case "write":
		c.write(w)
	}
}

func (c *counters) write(w *worker) { c.shared, w.step = w.read+1, 2 }

func (c *counters) Check() error {
	done := 0
	for _, w := range c.workers {
		if w.step == 1 {
			return nil
		}
		if w.step == 2 {
			done++
		}
	}
	if done != c.shared {
		return fmt.Errorf("%d additions resulted in %d", done, c.shared)
	}
	return nil
}

// State sorts the workers, since they are interchangeable.
func (c *counters) State() []byte {
	encoder := explore.Encoder{}
	var parts [][]byte
	for _, w := range c.workers {
		parts = append(parts, encoder.Append(nil, w))
	}
	return explore.AppendSorted(encoder.Append(nil, c.shared), parts)
}

func (c *counters) Clone() explore.System { return explore.Clone(c) }

func TestRunFindsShortestTrace(t *testing.T) {
	result := explore.Run(newCounters(3, false), explore.Scope{})
	require.NotNil(t, result.Violation)
	require.Len(t, result.Violation.Trace, 4, "two workers read, then write")
	require.ErrorContains(t, explore.Replay(newCounters(3, false), result.Violation.Trace), "2 additions resulted in 1")
	require.NoError(t, explore.Replay(newCounters(3, false), result.Violation.Trace[:3]))
	require.ErrorContains(t, explore.Replay(newCounters(3, false), []string{"write 0"}), "is not enabled")
	text := result.String()
	require.Contains(t, text, "trace := []string{\n\t\"read 0\",\n")
	again := explore.Run(newCounters(3, false), explore.Scope{})
	again.Elapsed = result.Elapsed
	require.Equal(t, result, again, "a second search has the same result")
}

func TestRunSearchesCorrectSystemExhaustively(t *testing.T) {
	result := explore.Run(newCounters(4, true), explore.Scope{Faults: 4})
	require.Nil(t, result.Violation)
	require.True(t, result.Cut.Exhaustive())
	require.Zero(t, result.Cut.ByFaults)
	require.Equal(t, 15, result.States, "each combination of the numbers of idle, done and crashed workers once")
	require.Equal(t, 4, result.Depth)
}

func TestRunCountsSkippedStates(t *testing.T) {
	result := explore.Run(newCounters(4, true), explore.Scope{Depth: 2, Faults: 1})
	require.False(t, result.Cut.Exhaustive())
	require.Equal(t, 2, result.Depth)
	require.Equal(t, 2, result.Cut.ByDepth, "two done; one done and one crashed")
	require.Equal(t, 3, result.Cut.ByFaults, "after a crash, three more were possible")

	result = explore.Run(newCounters(4, true), explore.Scope{States: 3})
	require.GreaterOrEqual(t, result.States, 3)
	require.NotZero(t, result.Cut.ByStates)
}

func TestReplayedCopiesBehaveLikeClones(t *testing.T) {
	fresh := func() explore.Model { return newCounters(3, false) }
	copied := explore.Run(newCounters(3, false), explore.Scope{})
	replayed := explore.Run(explore.Replayed(fresh), explore.Scope{})
	replayed.Elapsed = copied.Elapsed
	require.Equal(t, copied, replayed)
}

type nested struct {
	at    time.Duration
	next  *nested
	other *nested
	byKey map[string]*nested
	items []any
	err   error
	call  func()
}

func TestCloneSharesOnlyKeptPointers(t *testing.T) {
	leaf := &nested{at: 3, items: []any{1, "two", &nested{at: 4}}}
	original := &nested{next: leaf, other: leaf, byKey: map[string]*nested{"a": leaf}, err: errors.New("an error"), call: func() {}}
	copied := explore.Clone(original)
	require.NotSame(t, leaf, copied.next)
	require.Same(t, copied.next, copied.other)
	require.Same(t, copied.next, copied.byKey["a"])
	var encoder explore.Encoder
	require.Equal(t, encoder.Append(nil, original), encoder.Append(nil, copied))
	copied.next.items[2].(*nested).at = 5
	require.Equal(t, time.Duration(4), leaf.items[2].(*nested).at)
	require.NotEqual(t, encoder.Append(nil, original), encoder.Append(nil, copied))
	require.Same(t, leaf, explore.Clone(original, leaf).next, "a kept pointer is shared")
}

func TestEncodingIsCanonical(t *testing.T) {
	encoder := explore.Encoder{
		Scalars: map[reflect.Type]func(int64) int64{reflect.TypeFor[time.Duration](): func(at int64) int64 { return at - 10 }},
		Omit:    map[reflect.Type][]string{reflect.TypeFor[nested](): {"err"}},
	}
	a := &nested{at: 12, byKey: map[string]*nested{"x": {at: 1}, "y": {at: 2}, "z": nil}, err: errors.New("left out")}
	b := &nested{at: 12, byKey: map[string]*nested{"z": nil, "y": {at: 2}, "x": {at: 1}}}
	require.Equal(t, encoder.Append(nil, a), encoder.Append(nil, b))
	b.byKey["y"].at++
	require.NotEqual(t, encoder.Append(nil, a), encoder.Append(nil, b))
	require.Len(t, explore.Permutations(4), 24)
	require.Equal(t, []int{0, 1, 2}, explore.Permutations(3)[0])
	require.Equal(t, "a", string(explore.Canonical([]byte("b"), []byte("a"))))
}

func TestCloneOfChannelPanicsAndViolationPrintsTrace(t *testing.T) {
	require.Panics(t, func() { explore.Clone(make(chan int)) })
	require.True(t, strings.HasPrefix((&explore.Violation{Err: errors.New("bad")}).String(), "// 0 actions lead to: bad"))
}
