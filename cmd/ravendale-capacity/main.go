// Command ravendale-capacity measures the memory, disk and processor time that each role uses as the system grows: see
// docs/CAPACITY.md.
package main

import (
	"github.com/alecthomas/kong"
)

type commands struct {
	Backlog backlogCmd `cmd:"" help:"Fill one store with pending messages, restart it, and print the memory, disk and processor time used per message."`
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("ravendale-capacity"), kong.Description("Measures how resource usage grows with the size of the system, on loopback."), kong.UsageOnError())
	k.FatalIfErrorf(k.Run())
}
