package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/samber/oops"

	"ravendale/cluster/catalog"
	"ravendale/control/operatorclient"
)

// sendFunc sends a change to the control plane and returns the version that is then in force.
type sendFunc func(client *operatorclient.Client, ctx context.Context, base uint64, body []byte) (uint64, error)

// run checks a change, and sends it unless DryRun is set.
func (c *changeFlags) run(ctx context.Context, env environment, patch bool, send sendFunc) error {
	content, err := os.ReadFile(c.File)
	if err != nil {
		return fileError(err)
	}
	if err := checkContent(content, patch); err != nil {
		return findingsError(env, c.File, content, err)
	}
	client, err := c.client(env)
	if err != nil {
		return err
	}
	if c.DryRun {
		return c.dryRun(ctx, env, client, content, patch)
	}
	base, inForce, err := c.baseVersion(ctx, env, client, content, patch)
	if err != nil || inForce {
		return err
	}
	version, err := send(client, ctx, base, content)
	if err != nil {
		return c.sendError(env, content, base, err)
	}
	_, err = fmt.Fprintf(env.stdout, "version %d is in force\n", version)
	return err
}

// baseVersion returns the version that the change is based on: the value of the flag if given, otherwise the version in force. Unless
// the flag is given, a whole configuration that is in force already is not sent again (inForce is true), as in a retry after the answer
// was lost.
func (c *changeFlags) baseVersion(ctx context.Context, env environment, client *operatorclient.Client, content []byte, patch bool) (base uint64, inForce bool, err error) {
	if c.Base != nil {
		return *c.Base, false, nil
	}
	current, err := client.Show(ctx)
	if err != nil {
		return 0, false, callError(err, "the version in place", "check status and the addresses, then repeat the command: nothing was sent")
	}
	if !patch && current.Version > 0 && bytes.Equal(bytes.TrimSpace(current.Body), bytes.TrimSpace(content)) {
		_, err = fmt.Fprintf(env.stdout, "version %d is in force already\n", current.Version)
		return 0, true, err
	}
	return current.Version, false, nil
}

// dryRun prints the differences that a change would make.
func (c *changeFlags) dryRun(ctx context.Context, env environment, client *operatorclient.Client, content []byte, patch bool) error {
	current, err := client.Show(ctx)
	if err != nil {
		return callError(err, "show", "")
	}
	if c.Base != nil && *c.Base != current.Version {
		return oops.Code(codeConflict).Hint("build on the version that is in place").
			Errorf("base %d: version %d is in place", *c.Base, current.Version)
	}
	next, err := resultingConfig(current, content, patch)
	if err == nil && next.Version <= current.Version {
		err = catalog.Findings{{Place: "version", Reason: fmt.Sprintf("%d is not above the current version %d", next.Version, current.Version)}}
	}
	if err != nil {
		return findingsError(env, c.File, content, err)
	}
	_, err = listChanges(env.stdout, current.Body, next.Document())
	return err
}

// sendError returns the error for a change that was not acknowledged.
func (c *changeFlags) sendError(env environment, content []byte, base uint64, err error) error {
	operation := fmt.Sprintf("%s on version %d", c.File, base)
	var failure *operatorclient.Error
	if !errors.As(err, &failure) {
		return callError(err, operation, "")
	}
	switch failure.Kind {
	case operatorclient.KindInvalid:
		listFindings(env.stdout, c.File, content, failure.Findings)
	case operatorclient.KindUndecided:
		return callError(err, operation, fmt.Sprintf(
			"repeat it with --base %d and the file unchanged: if it was taken, it is acknowledged again", base))
	}
	return callError(err, operation, "")
}
