package main

import (
	"fmt"
	"os"

	"ravendale/catalog"
)

// configCommand has what is done to the configuration.
type configCommand struct {
	Check checkCommand `cmd:"" help:"Check a configuration in a file, and tell all that is wrong with it."`
}

type checkCommand struct {
	File string `arg:"" help:"The configuration, as JSON." type:"existingfile"`
}

// Run implements the command.
func (c *checkCommand) Run() error {
	document, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := catalog.Parse(document); err != nil {
		return err
	}
	fmt.Printf("%s: no findings\n", c.File)
	return nil
}
