package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/samber/oops"

	"ravendale/cluster/catalog"
	"ravendale/cmd/ravendalectl/internal/document"
	"ravendale/control/operatorclient"
)

// configCommand groups the commands for the configuration.
type configCommand struct {
	Check checkCommand `cmd:"" help:"Check a configuration file and list all findings, without contacting a control process."`
	Show  showCommand  `cmd:"" help:"Write the newest configuration to standard output."`
	Set   setCommand   `cmd:"" help:"Replace the whole configuration."`
	Patch patchCommand `cmd:"" help:"Add, replace and delete items of the configuration."`
	Diff  diffCommand  `cmd:"" help:"List the differences between a file and the configuration in force."`
}

type checkCommand struct {
	File  string `arg:"" help:"The configuration, as JSON."`
	Patch bool   `help:"The file is a patch: version, upsert and delete."`
}

// Run implements the command.
func (c *checkCommand) Run(env environment) error {
	content, err := os.ReadFile(c.File)
	if err != nil {
		return fileError(err)
	}
	if err := checkContent(content, c.Patch); err != nil {
		return findingsError(env, c.File, content, err)
	}
	_, err = fmt.Fprintf(env.stdout, "%s: no findings\n", c.File)
	return err
}

func checkContent(content []byte, patch bool) error {
	if patch {
		return catalog.CheckPatch(content)
	}
	_, err := catalog.Parse(content)
	return err
}

// findingsError prints the findings with their lines in the file, and returns the error for an invalid file.
func findingsError(env environment, file string, content []byte, err error) error {
	var findings catalog.Findings
	if !errors.As(err, &findings) {
		findings = catalog.Findings{{Place: "document", Reason: err.Error()}}
	}
	listFindings(env.stdout, file, content, findings)
	return oops.Code(codeInvalid).Hint("mend what is listed and check again").Errorf("%s: findings: %d", file, len(findings))
}

func listFindings(stdout io.Writer, file string, content []byte, findings catalog.Findings) {
	for _, finding := range findings {
		where := file
		if line, ok := document.Line(content, finding.Place); ok {
			where = fmt.Sprintf("%s:%d", file, line)
		}
		_, _ = fmt.Fprintf(stdout, "%s: %s\n", where, finding)
	}
}

type showCommand struct {
	adminFlags
}

// Run implements the command.
func (c *showCommand) Run(ctx context.Context, env environment) error {
	client, err := c.client(env)
	if err != nil {
		return err
	}
	current, err := client.Show(ctx)
	if err != nil {
		return callError(err, "show", "check status and the addresses, then repeat the command")
	}
	if current.Version == 0 {
		return oops.Code(codeUnknown).Hint("put one into force by config set").Errorf("there is no configuration yet")
	}
	_, err = fmt.Fprintf(env.stdout, "%s\n", bytes.TrimSpace(current.Body))
	return err
}

// changeFlags are the flags of commands that change the configuration.
type changeFlags struct {
	adminFlags
	File   string  `arg:"" help:"The configuration or patch to send, as JSON."`
	Base   *uint64 `help:"The version that the change is based on; by default the one in force."`
	DryRun bool    `help:"Only check the change against the configuration in force, and list what it would change."`
}

type setCommand struct {
	changeFlags
}

// Run implements the command.
func (c *setCommand) Run(ctx context.Context, env environment) error {
	return c.run(ctx, env, false, (*operatorclient.Client).Set)
}

type patchCommand struct {
	changeFlags
}

// Run implements the command.
func (c *patchCommand) Run(ctx context.Context, env environment) error {
	return c.run(ctx, env, true, (*operatorclient.Client).Patch)
}

type diffCommand struct {
	adminFlags
	File     string `arg:"" help:"A whole configuration, as JSON."`
	Patch    bool   `help:"The file is a patch, which is applied to the configuration in force."`
	ExitCode bool   `help:"Exit with code 9 if there is any difference."`
}

// Run implements the command.
func (c *diffCommand) Run(ctx context.Context, env environment) error {
	content, err := os.ReadFile(c.File)
	if err != nil {
		return fileError(err)
	}
	client, err := c.client(env)
	if err != nil {
		return err
	}
	current, err := client.Show(ctx)
	if err != nil {
		return callError(err, "show", "")
	}
	next, err := resultingConfig(current, content, c.Patch)
	if err != nil {
		return findingsError(env, c.File, content, err)
	}
	differs, err := listChanges(env.stdout, current.Body, next.Document())
	if err != nil {
		return err
	}
	if differs && c.ExitCode {
		return oops.Code(codeDiffers).Errorf("%s differs from version %d", c.File, current.Version)
	}
	return nil
}

// resultingConfig returns the configuration that would be in force after applying a file to the current one.
func resultingConfig(current *operatorclient.Document, content []byte, patch bool) (*catalog.Config, error) {
	if !patch {
		return catalog.Parse(content)
	}
	if current.Version == 0 {
		return nil, catalog.Findings{{Place: "document", Reason: "there is no configuration yet that could be changed"}}
	}
	config, err := catalog.Load(current.Body)
	if err != nil {
		return nil, err
	}
	return config.Apply(content)
}

func listChanges(stdout io.Writer, before, after []byte) (differs bool, err error) {
	changes, err := document.Diff(before, after)
	if err != nil {
		return false, oops.Wrap(err)
	}
	for _, change := range changes {
		if _, err := fmt.Fprintln(stdout, change); err != nil {
			return false, err
		}
	}
	if len(changes) == 0 {
		_, err = fmt.Fprintln(stdout, "no difference")
	}
	return len(changes) > 0, err
}
