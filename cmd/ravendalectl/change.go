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

// send is how an order goes to the control plane.
type send func(client *operatorclient.Client, ctx context.Context, base uint64, body []byte) (uint64, error)

// run checks a change, and sends it unless it is only to be tried.
func (c *changeFlags) run(ctx context.Context, env environment, patch bool, send send) error {
	content, err := os.ReadFile(c.File)
	if err != nil {
		return fileFailed(err)
	}
	if err := check(content, patch); err != nil {
		return invalid(env, c.File, content, err)
	}
	client, err := c.client(env)
	if err != nil {
		return err
	}
	if c.DryRun {
		return c.dryRun(ctx, env, client, content, patch)
	}
	base, taken, err := c.base(ctx, env, client, content, patch)
	if err != nil || taken {
		return err
	}
	version, err := send(client, ctx, base, content)
	if err != nil {
		return c.failed(env, content, base, err)
	}
	_, err = fmt.Fprintf(env.stdout, "version %d is in force\n", version)
	return err
}

// base is the version to build on. Without one given it is that in place, and a whole configuration which is in place already, as
// after an answer that was lost, is not sent again.
func (c *changeFlags) base(ctx context.Context, env environment, client *operatorclient.Client, content []byte, patch bool) (base uint64, taken bool, err error) {
	if c.Base != nil {
		return *c.Base, false, nil
	}
	shown, err := client.Show(ctx)
	if err != nil {
		return 0, false, callFailed(err, "the version in place", "check status and the addresses, then repeat the command: nothing was sent")
	}
	if !patch && shown.Version > 0 && bytes.Equal(bytes.TrimSpace(shown.Body), bytes.TrimSpace(content)) {
		_, err = fmt.Fprintf(env.stdout, "version %d is in force already\n", shown.Version)
		return 0, true, err
	}
	return shown.Version, false, nil
}

// dryRun prints what a change would do.
func (c *changeFlags) dryRun(ctx context.Context, env environment, client *operatorclient.Client, content []byte, patch bool) error {
	shown, err := client.Show(ctx)
	if err != nil {
		return callFailed(err, "show", "")
	}
	if c.Base != nil && *c.Base != shown.Version {
		return oops.Code(codeConflict).Hint("build on the version that is in place").
			Errorf("base %d: version %d is in place", *c.Base, shown.Version)
	}
	next, err := result(shown, content, patch)
	if err == nil && next.Version <= shown.Version {
		err = catalog.Findings{{Place: "version", Reason: fmt.Sprintf("%d is not above the current version %d", next.Version, shown.Version)}}
	}
	if err != nil {
		return invalid(env, c.File, content, err)
	}
	_, err = listChanges(env.stdout, shown.Body, next.Document())
	return err
}

// failed makes the error of a change that was not acknowledged.
func (c *changeFlags) failed(env environment, content []byte, base uint64, err error) error {
	what := fmt.Sprintf("%s on version %d", c.File, base)
	var failure *operatorclient.Error
	if !errors.As(err, &failure) {
		return callFailed(err, what, "")
	}
	switch failure.Kind {
	case operatorclient.KindInvalid:
		listFindings(env.stdout, c.File, content, failure.Findings)
	case operatorclient.KindUndecided:
		return callFailed(err, what, fmt.Sprintf(
			"repeat it with --base %d and the file unchanged: if it was taken, it is acknowledged again", base))
	}
	return callFailed(err, what, "")
}
