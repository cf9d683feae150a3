package mailbox

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEventsAreHandledInOrder(t *testing.T) {
	m := New()
	var got []int
	done := make(chan struct{})
	for i := range 100 {
		require.True(t, m.Post(func() { got = append(got, i) }))
	}
	m.Post(func() { close(done) })
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { m.Run(ctx, func() time.Duration { return 0 }) })
	<-done
	cancel()
	running.Wait()
	require.Len(t, got, 100)
	for i := range got {
		require.Equal(t, i, got[i])
	}
}

func TestPostFromEvent(t *testing.T) {
	m := New()
	done := make(chan struct{})
	m.Post(func() { m.Post(func() { close(done) }) })
	go m.Run(t.Context(), func() time.Duration { return 0 })
	<-done
}

func TestTickIsRepeated(t *testing.T) {
	m := New()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	calls := 0
	m.Run(ctx, func() time.Duration {
		if calls++; calls == 3 {
			cancel()
		}
		return time.Millisecond
	})
	require.GreaterOrEqual(t, calls, 3)
}

func TestPostToFullMailbox(t *testing.T) {
	m := New()
	for range Limit {
		require.True(t, m.Post(func() {}))
	}
	require.False(t, m.Post(func() {}))
}
