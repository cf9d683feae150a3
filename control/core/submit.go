package core

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ravendale/cluster/rpc"
)

// Time limits of Submit, in addition to the deadline of its context.
const (
	acceptTimeout        = 4 * time.Second  // until a chain accepts the command
	outcomeTimeout       = 10 * time.Second // until the outcome is known
	forwardRetryInterval = 100 * time.Millisecond
)

// Submit orders, commits and applies a command, and returns the result of Machine.Apply. While the chain is being
// changed, it waits. After ErrUnavailable the command was not and never will be applied; after any other error it may
// be. A process that can't take part in the core, because it has no disk or its disk fails, forwards the command to a
// member.
func (c *Core) Submit(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > MaxCommand {
		return nil, ErrTooLong
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	deadline := time.Now().Add(acceptTimeout)
	for {
		canSubmit := c.canSubmit()
		submit := c.forward
		if canSubmit {
			submit = c.submitHere
		}
		result, err := submit(ctx, command)
		if !errors.Is(err, ErrUnavailable) || canSubmit && c.canSubmit() {
			return result, err
		}
		remaining := time.Until(deadline)
		if remaining <= 0 {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(min(remaining, forwardRetryInterval)):
		}
	}
}

// canSubmit reports whether this process has a disk that accepts writes.
func (c *Core) canSubmit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store != nil && !c.node.degraded()
}

func (c *Core) submitHere(ctx context.Context, command []byte) ([]byte, error) {
	done := make(chan completion, 1)
	var number uint64
	c.step(func(now time.Duration) {
		number = c.node.Submit(now, command)
		c.waiters[number] = done
	})
	if number == 0 {
		return nil, ErrUnavailable // Run was not called or has ended
	}
	acceptTimer := time.NewTimer(acceptTimeout)
	defer acceptTimer.Stop()
	for {
		select {
		case completed := <-done:
			return completed.Result, completed.Err
		case <-acceptTimer.C:
			if c.isUnsent(number) {
				return c.cancel(number, done)
			}
		case <-ctx.Done():
			return c.cancel(number, done)
		}
	}
}

func (c *Core) isUnsent(number uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending := c.node.commands.pending[number]
	return pending != nil && pending.epoch == 0
}

func (c *Core) cancel(number uint64, done chan completion) ([]byte, error) {
	c.mu.Lock()
	err, ended := c.node.Cancel(number)
	delete(c.waiters, number)
	c.mu.Unlock()
	if ended {
		end := <-done
		return end.Result, end.Err
	}
	return nil, err
}

// errNoMember is returned while this process knows no member that a command could be forwarded to.
var errNoMember = fmt.Errorf("%w: no member of the core is known; if no control machine has a disk, storage machines are its members", ErrUnavailable)

// forward asks a member to submit the command. It asks another one only if the command was certainly not applied.
func (c *Core) forward(ctx context.Context, command []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	c.mu.Lock()
	targets := c.node.submitTargets(c.now())
	c.mu.Unlock()
	if len(targets) == 0 {
		return nil, errNoMember
	}
	conns := c.links.openConns(targets)
	for i, conn := range conns {
		result, err := c.ask(ctx, conn, command, i+1 < len(conns))
		if !errors.Is(err, ErrUnavailable) {
			return result, err
		}
	}
	return nil, ErrUnavailable
}

// ask asks one member to submit the command. If there are others to ask, this one gets half of the time left.
func (c *Core) ask(ctx context.Context, conn *rpc.Conn, command []byte, others bool) ([]byte, error) {
	deadline, _ := ctx.Deadline()
	remaining := time.Until(deadline)
	if remaining <= 0 || conn.Err() != nil {
		return nil, ErrUnavailable
	}
	wait := remaining - remaining/8 // an eighth is left for the reply
	if others {
		wait = remaining / 2
	}
	request := &forward{WaitMillis: uint32(wait / time.Millisecond), Command: command}
	var reply forwardReply
	if err := conn.Call(ctx, methodForward, request, &reply); err != nil {
		return nil, errors.Join(ErrUnknown, err)
	}
	switch reply.Outcome {
	case outcomeDone:
		return reply.Result, nil
	case outcomeUnavailable:
		return nil, ErrUnavailable
	}
	return nil, ErrUnknown
}

func (c *Core) onForward(_ *rpc.Conn, message *forward, reply rpc.Reply) {
	if !c.canSubmit() {
		reply.Send(&forwardReply{Outcome: outcomeUnavailable})
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(message.WaitMillis)*time.Millisecond)
		defer cancel()
		result, err := c.submitHere(ctx, message.Command)
		switch {
		case err == nil:
			reply.Send(&forwardReply{Outcome: outcomeDone, Result: result})
		case errors.Is(err, ErrUnavailable):
			reply.Send(&forwardReply{Outcome: outcomeUnavailable})
		default:
			reply.Send(&forwardReply{Outcome: outcomeUnknown})
		}
	}()
}
