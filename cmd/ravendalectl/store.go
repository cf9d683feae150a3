package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/samber/oops"

	"ravendale/control/operatorclient"
)

// storeCommand groups the commands for storage machines.
type storeCommand struct {
	Retire retireCommand `cmd:"" help:"Move all messages off a store, so that its machine and disk can be removed."`
	Show   storeShow     `cmd:"" help:"Show whether the emptying of a store is running or done."`
}

type retireCommand struct {
	adminFlags
	Node     string        `arg:"" help:"The machine's name."`
	Deadline time.Duration `help:"How long it may take." default:"10m"`
	Wait     bool          `help:"Wait until it is empty."`
}

const retirePollInterval = time.Second

// Run implements the command.
func (c *retireCommand) Run(ctx context.Context, env environment) error {
	client, err := c.client(env)
	if err != nil {
		return err
	}
	if err := client.StartRetire(ctx, c.Node, c.Deadline); err != nil {
		return callError(err, c.Node, retireHint(err))
	}
	if !c.Wait {
		_, err := fmt.Fprintf(env.stdout, "%s is being emptied; keep its machine until store show says done\n", c.Node)
		return err
	}
	return c.awaitEmpty(ctx, env, client)
}

func retireHint(err error) string {
	var failure *operatorclient.Error
	if errors.As(err, &failure) && failure.Kind == operatorclient.KindConflict {
		return "add a store first, then repeat the command"
	}
	return ""
}

// awaitEmpty polls until the store is empty or the deadline has passed.
func (c *retireCommand) awaitEmpty(ctx context.Context, env environment, client *operatorclient.Client) error {
	for waited := time.Duration(0); waited < c.Deadline; waited += retirePollInterval {
		state, err := client.RetireState(ctx, c.Node)
		if err != nil {
			return callError(err, c.Node, "the order was taken; ask again by store show")
		}
		if state == operatorclient.RetireDone {
			_, err := fmt.Fprintf(env.stdout, "%s is empty: its machine and disk can go\n", c.Node)
			return err
		}
		if err := env.sleep(ctx, retirePollInterval); err != nil {
			return oops.Hint("the emptying goes on; ask again by store show").Wrapf(err, "%s", c.Node)
		}
	}
	return oops.Code(codeUndecided).Hint("the emptying goes on; look at status, and ask again by store show").
		Errorf("%s is not empty after %s", c.Node, c.Deadline)
}

type storeShow struct {
	adminFlags
	Node string `arg:"" help:"The machine's name."`
}

// Run implements the command.
func (c *storeShow) Run(ctx context.Context, env environment) error {
	client, err := c.client(env)
	if err != nil {
		return err
	}
	state, err := client.RetireState(ctx, c.Node)
	if err != nil {
		return callError(err, c.Node, "")
	}
	_, err = fmt.Fprintln(env.stdout, state)
	return err
}
