package leader

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
)

// actionsAfterLeaseExpiry lets a leader's lease expire while nothing else notifies the leader, as if it were
// partitioned or suspended, and returns the actions of a leader that it still performs. If ignoreExpiry is set, the
// leader treats the lease as valid all the same.
func actionsAfterLeaseExpiry(t *testing.T, ignoreExpiry bool) (actions []string) {
	f := newFleet(t, 2)
	f.configure(document, 0)
	f.setWorkers("a")
	partitioned := f.controls[0]
	var expired atomic.Bool
	f.leadWhile(partitioned, func() bool { return ignoreExpiry || !expired.Load() })
	edge := f.startMember(wire.Member{Node: "e", Zone: "z0", Edge: true})
	f.eventually("the edge has the workers", all([]*process{edge}, hasWorkers("a")))
	f.eventually("the edge has the members", all([]*process{edge}, hasMembers(1)))

	expired.Store(true)
	f.mu.Lock()
	f.leads = "" // no leader is known
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	conn, err := rpc.Dial(ctx, partitioned.address, rpc.Options{})
	require.NoError(t, err)
	defer conn.Close()

	var renewed wire.RenewReply
	renew := &wire.Renew{Member: wire.Member{ID: "new", Node: "n", Address: "127.0.0.1:1", Zone: "z0", Edge: true, Ready: true}}
	require.NoError(t, conn.Call(ctx, wire.MethodRenew, renew, &renewed))
	if renewed.Granted {
		actions = append(actions, "granted a lease")
	}
	if len(renewed.Heads) > 0 {
		actions = append(actions, "announced versions as the newest")
	}
	require.ElementsMatch(t, f.core(), renewed.Core, "the answer lists the control processes in any case")
	var subscribed wire.SubscribeReply
	require.NoError(t, conn.Call(ctx, wire.MethodSubscribe, &wire.Subscribe{Member: "new"}, &subscribed))
	if subscribed.Accepted {
		actions = append(actions, "accepted a subscription")
	}
	var fetched wire.Update
	require.NoError(t, conn.Call(ctx, wire.MethodFetch, &wire.Fetch{Topic: wire.TopicWorkers}, &fetched))
	if len(fetched.Payload) > 0 {
		actions = append(actions, "served a topic")
	}
	if err := partitioned.service.StartRetire(ctx, "s-0"); !errors.Is(err, ErrNotLeading) {
		actions = append(actions, "decided an order")
	}
	return actions
}

// leadWhile makes a control process lead. Valid reports whether its lease is valid by its own clock.
func (f *fleet) leadWhile(c *control, valid func() bool) {
	ctx, cancel := context.WithCancel(context.Background())
	c.stop, c.done = cancel, make(chan struct{})
	f.mu.Lock()
	f.leads = c.address
	f.mu.Unlock()
	go func() {
		defer close(c.done)
		c.service.Lead(ctx, func() bool { return ctx.Err() == nil && valid() })
	}()
	f.t.Cleanup(c.depose)
}

func TestLeaderWithExpiredLeaseTakesNoAction(t *testing.T) {
	require.Empty(t, actionsAfterLeaseExpiry(t, false))
}

func TestDetectsLeaderIgnoringExpiredLease(t *testing.T) {
	require.Equal(t, []string{
		"granted a lease", "announced versions as the newest", "accepted a subscription", "served a topic", "decided an order",
	}, actionsAfterLeaseExpiry(t, true))
}

// TestMembersFollowNewLeaderWhileOldOneRuns has edges that can reach both leaders: the old one, whose lease has expired
// but which still runs, and the new one.
func TestMembersFollowNewLeaderWhileOldOneRuns(t *testing.T) {
	f := newFleet(t, 2)
	f.configure(document, 0)
	f.setWorkers("a")
	var expired atomic.Bool
	f.leadWhile(f.controls[0], func() bool { return !expired.Load() })
	edges := f.startEdges(2, 3)
	f.eventually("all edges are members", all(edges, hasMembers(6)))
	f.eventually("all edges have the list of workers", all(edges, hasWorkers("a")))

	expired.Store(true)
	began := time.Now()
	f.lead(f.controls[1])
	f.setWorkers("b")
	f.eventually("all edges have the new leader's list of workers", all(edges, hasWorkers("b")))
	t.Logf("after %v, with a heartbeat of %d ms", time.Since(began), heartbeat)
	for _, p := range edges {
		require.Zero(t, p.shrunk.Load(), "no list was shorter in between")
	}
}
