package core

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/rpc"
)

// forwardTarget returns a connection to a member that handles forwarded commands with the given function.
func forwardTarget(t *testing.T, handles func(c *rpc.Conn, reply rpc.Reply)) *rpc.Conn {
	mux := rpc.NewMux()
	mux.Handle(methodForward, func(c *rpc.Conn, _ []byte, reply rpc.Reply) { handles(c, reply) })
	server, err := rpc.Listen("127.0.0.1:0", rpc.Options{Mux: mux}, nil)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	conn, err := rpc.Dial(t.Context(), server.Address(), rpc.Options{})
	require.NoError(t, err)
	t.Cleanup(conn.Close)
	return conn
}

// A command is forwarded to another member only if the first one replied that it was certainly not applied. A timeout,
// a lost connection and an unreadable reply leave the outcome unknown.
func TestForwardOutcomes(t *testing.T) {
	says := func(r *forwardReply) func(*rpc.Conn, rpc.Reply) {
		return func(_ *rpc.Conn, reply rpc.Reply) { reply.Send(r) }
	}
	cases := map[string]struct {
		handles func(c *rpc.Conn, reply rpc.Reply)
		want    error
	}{
		"done":              {says(&forwardReply{Outcome: outcomeDone, Result: []byte("taken")}), nil},
		"not applied":       {says(&forwardReply{Outcome: outcomeUnavailable}), ErrUnavailable},
		"unknown":           {says(&forwardReply{Outcome: outcomeUnknown}), ErrUnknown},
		"another outcome":   {says(&forwardReply{Outcome: 77}), ErrUnknown},
		"an error":          {func(_ *rpc.Conn, reply rpc.Reply) { reply.Fail(errors.New("x")) }, ErrUnknown},
		"a lost connection": {func(c *rpc.Conn, _ rpc.Reply) { c.Close() }, ErrUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			result, err := new(Core).ask(ctx, forwardTarget(t, c.handles), []byte("command"), false)
			if c.want == nil {
				require.NoError(t, err)
				assert.Equal(t, "taken", string(result))
				return
			}
			assert.ErrorIs(t, err, c.want)
			assert.Equal(t, errors.Is(c.want, ErrUnavailable), errors.Is(err, ErrUnavailable))
		})
	}
}

// A reply that arrives after the request has timed out must not be taken for the reply to a later command on the same
// connection.
func TestForwardIgnoresLateReply(t *testing.T) {
	requests := make(chan rpc.Reply, 2)
	conn := forwardTarget(t, func(_ *rpc.Conn, reply rpc.Reply) { requests <- reply })
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	first := make(chan error, 1)
	go func() {
		_, err := new(Core).ask(ctx, conn, []byte("first"), false)
		first <- err
	}()
	late := <-requests
	cancel()
	require.ErrorIs(t, <-first, ErrUnknown)

	ctx, cancel = context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	second := make(chan string, 1)
	go func() {
		result, err := new(Core).ask(ctx, conn, []byte("second"), false)
		assert.NoError(t, err)
		second <- string(result)
	}()
	own := <-requests
	late.Send(&forwardReply{Outcome: outcomeDone, Result: []byte("of the first")})
	own.Send(&forwardReply{Outcome: outcomeDone, Result: []byte("of the second")})
	assert.Equal(t, "of the second", <-second)
}
