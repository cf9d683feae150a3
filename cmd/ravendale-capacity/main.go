// Command ravendale-capacity measures what the roles of the system cost as it grows: see docs/CAPACITY.md.
package main

import (
	"github.com/alecthomas/kong"
)

type commands struct {
	Backlog backlogCmd `cmd:"" help:"Fill one store with messages that wait, restart it, and tell what they cost."`
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("ravendale-capacity"), kong.Description("Slopes of the system's cost, on loopback."), kong.UsageOnError())
	k.FatalIfErrorf(k.Run())
}
