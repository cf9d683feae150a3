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

// afterTheLease has a leader's lease end without its knowing from elsewhere, as when it is cut off or frozen, and returns what it does all the
// same. If it is heedless it goes on as if it held the lease, as until the end of a heartbeat.
func afterTheLease(t *testing.T, heedless bool) (done []string) {
	f := newFleet(t, 2)
	f.configure(document, 0)
	f.setWorkers("a")
	partitioned := f.controls[0]
	var expired atomic.Bool
	f.leadWhile(partitioned, func() bool { return heedless || !expired.Load() })
	edge := f.member(wire.Member{Node: "e", Zone: "z0", Edge: true})
	f.eventually("it serves", all([]*process{edge}, hasWorkers("a")))
	f.eventually("it serves all", all([]*process{edge}, hasMembers(1)))

	expired.Store(true)
	f.mu.Lock()
	f.leads = "" // nobody is known to lead
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.Context(), soon)
	defer cancel()
	conn, err := rpc.Dial(ctx, partitioned.address, rpc.Options{})
	require.NoError(t, err)
	defer conn.Close()

	var renewed wire.RenewReply
	renew := &wire.Renew{Member: wire.Member{ID: "new", Node: "n", Address: "127.0.0.1:1", Zone: "z0", Edge: true, Ready: true}}
	require.NoError(t, conn.Call(ctx, wire.MethodRenew, renew, &renewed))
	if renewed.Granted {
		done = append(done, "granted a lease")
	}
	if len(renewed.Heads) > 0 {
		done = append(done, "named versions as the newest")
	}
	require.ElementsMatch(t, f.core(), renewed.Core, "it tells of the others in any case")
	var subscribed wire.SubscribeReply
	require.NoError(t, conn.Call(ctx, wire.MethodSubscribe, &wire.Subscribe{Member: "new"}, &subscribed))
	if subscribed.Accepted {
		done = append(done, "took a child")
	}
	var fetched wire.Update
	require.NoError(t, conn.Call(ctx, wire.MethodFetch, &wire.Fetch{Topic: wire.TopicWorkers}, &fetched))
	if len(fetched.Payload) > 0 {
		done = append(done, "served its list")
	}
	if err := partitioned.service.StartRetire(ctx, "s-0"); !errors.Is(err, ErrNotLeading) {
		done = append(done, "judged an order")
	}
	return done
}

// leadWhile has a control process lead for as long as its lease is valid by its own clock.
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

func TestALeaderWithoutItsLeaseServesNobody(t *testing.T) {
	require.Empty(t, afterTheLease(t, false))
}

func TestALeaderThatGoesOnWithoutItsLeaseIsCaught(t *testing.T) {
	require.Equal(t, []string{
		"granted a lease", "named versions as the newest", "took a child", "served its list", "judged an order",
	}, afterTheLease(t, true))
}

// TestMembersOfAPartitionedLeaderFollowTheOneOfTheMajority has edges that reach both: the old leader lost its lease and still runs.
func TestMembersOfAPartitionedLeaderFollowTheOneOfTheMajority(t *testing.T) {
	f := newFleet(t, 2)
	f.configure(document, 0)
	f.setWorkers("a")
	var expired atomic.Bool
	f.leadWhile(f.controls[0], func() bool { return !expired.Load() })
	edges := f.edges(2, 3)
	f.eventually("all are members", all(edges, hasMembers(6)))
	f.eventually("all have the workers", all(edges, hasWorkers("a")))

	expired.Store(true)
	began := time.Now()
	f.lead(f.controls[1])
	f.setWorkers("b")
	f.eventually("all have the list of the one that leads", all(edges, hasWorkers("b")))
	t.Logf("after %v, with a heartbeat of %d ms", time.Since(began), heartbeat)
	for _, p := range edges {
		require.Zero(t, p.shrunk.Load(), "nobody was missing in between")
	}
}
