package member

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// confirmations records the calls of the function that OnConfigConfirmed sets.
type confirmations struct {
	mu     sync.Mutex
	times  []time.Duration
	config []uint64 // sequence of the configuration in force at each
}

func recordConfirmations(a *Agent) *confirmations {
	c := &confirmations{}
	a.OnConfigConfirmed(func(at time.Duration) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.times = append(c.times, at)
		c.config = append(c.config, a.Snapshot().Versions[wire.TopicConfig].Sequence)
	})
	return c
}

func (c *confirmations) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.times)
}

func TestRenewalsConfirmConfig(t *testing.T) {
	l := newTestLeader(t)
	a := l.agent(t, nil)
	confirmed := recordConfirmations(a)
	require.False(t, a.ConfigConfirmedWithin(time.Hour))
	start(t, a)
	require.Eventually(t, func() bool { return confirmed.count() >= 3 }, soon, often)
	require.True(t, a.ConfigConfirmedWithin(soon))
	l.server.Close()
	require.Eventually(t, func() bool { return !a.ConfigConfirmedWithin(200 * time.Millisecond) }, soon, often)
	confirmed.mu.Lock()
	defer confirmed.mu.Unlock()
	require.IsIncreasing(t, confirmed.times)
}

// A leader that names a newer configuration than this process has confirms nothing until the process has it.
func TestNewerConfigAtLeaderConfirmsNothing(t *testing.T) {
	l := newTestLeader(t)
	l.mu.Lock()
	l.heads = []wire.Version{{Term: 1, Sequence: 5}, {}, {}, {}}
	l.mu.Unlock()
	a := l.agent(t, nil)
	confirmed := recordConfirmations(a)
	var before wire.Version
	a.OnChange(func(topic wire.Topic, _ *Snapshot) {
		if topic == wire.TopicConfig && confirmed.count() == 0 {
			before = wire.Version{Term: 1, Sequence: 5}
		}
	})
	start(t, a)
	require.Eventually(t, func() bool { return l.renewalCount() >= 3 }, soon, often)
	require.Zero(t, confirmed.count())
	l.send(wire.Update{Topic: wire.TopicConfig, To: wire.Version{Term: 1, Sequence: 5}, Payload: []byte(`{"version":5,"routes":[],"backends":[],"limits":{}}`)})
	require.Eventually(t, func() bool { return confirmed.count() > 0 }, soon, often)
	confirmed.mu.Lock()
	defer confirmed.mu.Unlock()
	require.EqualValues(t, 5, confirmed.config[0])
	require.Equal(t, wire.Version{Term: 1, Sequence: 5}, before, "the configuration is applied before it is confirmed")
}

// A leader that does not know the newest versions yet, as at the start of its term, confirms nothing.
func TestLeaderWithoutHeadsConfirmsNothing(t *testing.T) {
	l := newTestLeader(t)
	l.mu.Lock()
	l.heads = nil
	l.mu.Unlock()
	a := l.agent(t, nil)
	confirmed := recordConfirmations(a)
	start(t, a)
	require.Eventually(t, func() bool { return l.renewalCount() >= 3 }, soon, often)
	require.Zero(t, confirmed.count())
	require.False(t, a.ConfigConfirmedWithin(time.Hour))
}

func (l *testLeader) renewalCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.renewals)
}
