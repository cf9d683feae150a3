package core

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ravendale/cluster/rpc"
)

// How long Submit waits at most, whatever its context allows.
const (
	unsentWait           = 4 * time.Second  // for a chain that takes the command
	outcomeWait          = 10 * time.Second // for the outcome
	forwardRetryInterval = 100 * time.Millisecond
)

// Submit has a command ordered, committed and applied, and returns what Machine.Apply returned for it. It waits for a
// chain that is being changed. After ErrUnavailable the command surely was not and never will be applied; after any other error it may be.
// A process that can't take part in the core, without a disk or with one that fails, has another do it.
func (c *Core) Submit(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > MaxCommand {
		return nil, ErrTooLong
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeWait)
	defer cancel()
	deadline := time.Now().Add(unsentWait)
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
		left := time.Until(deadline)
		if left <= 0 {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(min(left, forwardRetryInterval)):
		}
	}
}

// canSubmit says whether this process has a disk that takes writes.
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
		c.waiting[number] = done
	})
	if number == 0 {
		return nil, ErrUnavailable // it does not run
	}
	unsent := time.NewTimer(unsentWait)
	defer unsent.Stop()
	for {
		select {
		case end := <-done:
			return end.Result, end.Err
		case <-unsent.C:
			if c.unsent(number) {
				return c.cancel(number, done)
			}
		case <-ctx.Done():
			return c.cancel(number, done)
		}
	}
}

func (c *Core) unsent(number uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending := c.node.commands.pending[number]
	return pending != nil && pending.epoch == 0
}

func (c *Core) cancel(number uint64, done chan completion) ([]byte, error) {
	c.mu.Lock()
	err, already := c.node.Cancel(number)
	delete(c.waiting, number)
	c.mu.Unlock()
	if already {
		end := <-done
		return end.Result, end.Err
	}
	return nil, err
}

// errNoMember is why nothing can be forwarded as long as no member was ever heard of.
var errNoMember = fmt.Errorf("%w: no member of the core is known; without a disk on any control machine storage machines hold it", ErrUnavailable)

// forward has a member submit the command. Only while that surely did not, another is asked.
func (c *Core) forward(ctx context.Context, command []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, unsentWait)
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

// ask has one member submit the command. If there are others, that one gets half of the time that is left.
func (c *Core) ask(ctx context.Context, conn *rpc.Conn, command []byte, others bool) ([]byte, error) {
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	if left <= 0 || conn.Err() != nil {
		return nil, ErrUnavailable
	}
	wait := left - left/8 // for the way back
	if others {
		wait = left / 2
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
