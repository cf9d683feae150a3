// Command ravendalectl is the operator's command line: it checks configurations, changes them, tells how the system is, empties
// stores and reads disks.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// commandLine are all commands.
type commandLine struct {
	Config configCommand `cmd:"" help:"The configuration: routes, services and limits."`
}

func main() {
	var line commandLine
	parsed := kong.Parse(&line, kong.Name("ravendalectl"), kong.Description("The operator's command line of ravendale."), kong.UsageOnError())
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "ravendalectl:", err)
		os.Exit(1)
	}
}
