package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"ravendale/control/operatorclient"
	"ravendale/control/status"
)

type statusCommand struct {
	adminFlags
	JSON  bool          `name:"json" help:"Write JSON, one line for each status."`
	Watch bool          `help:"Repeat until interrupted."`
	Every time.Duration `help:"With --watch: interval between requests." default:"2s"`
}

// Run implements the command.
func (c *statusCommand) Run(ctx context.Context, env environment) error {
	client, err := c.client(env)
	if err != nil {
		return err
	}
	for {
		err := c.printStatus(ctx, env, client)
		if !c.Watch {
			return err
		}
		if err != nil {
			printError(env.stdout, err)
		}
		if env.sleep(ctx, c.Every) != nil {
			return nil
		}
	}
}

func (c *statusCommand) printStatus(ctx context.Context, env environment, client *operatorclient.Client) error {
	seen, err := client.Status(ctx)
	if err != nil {
		return callError(err, "status", "check the addresses, and whether control processes run there")
	}
	if c.JSON {
		return json.NewEncoder(env.stdout).Encode(seen)
	}
	return renderStatus(env.stdout, seen)
}

// renderStatus writes a status as a human-readable table.
func renderStatus(stdout io.Writer, s *status.Status) error {
	table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	line := func(format string, arguments ...any) { _, _ = fmt.Fprintf(table, format+"\n", arguments...) }
	line("answered by\t%s", s.Node)
	renderCore(line, &s.Core)
	line("configuration\tversion %d, changed %d times", s.Config.Version, s.Config.Sequence)
	renderPlacement(line, s.Placement)
	renderMembers(line, s.Members)
	return table.Flush()
}

// printLine writes one line of a table, with cells separated by tabs.
type printLine func(format string, arguments ...any)

func renderCore(line printLine, c *status.Core) {
	leader := c.Leader
	switch {
	case c.Leading:
		leader = "this process"
	case leader == "":
		leader = "not known"
	}
	line("leader\t%s, term %d", leader, c.Term)
	line("core\tepoch %d, %d voters of %d required, %d in the chain, %s", c.Epoch, len(c.Voters), c.RequiredVoters, len(c.Chain), commitState(c))
	line("commands\t%d committed, %d known", c.Committed, c.Last)
	if c.DiskFault != "" {
		line("DISK\tof the process that answers, which is degraded: %s", c.DiskFault)
	}
	for _, voter := range c.Voters {
		line("  voter\t%s\t%s\t%s\t%s", voter.Disk, voter.Address, voter.Zone, chainPosition(c.Chain, voter.Disk))
	}
}

func commitState(c *status.Core) string {
	if !c.Durable {
		return "TOO FEW DISKS TO COMMIT"
	}
	if !c.Attached {
		return "durable, but this process is not attached"
	}
	return "durable"
}

func chainPosition(chain []string, disk string) string {
	for i, other := range chain {
		if other != disk {
			continue
		}
		switch i {
		case 0:
			return "head"
		case len(chain) - 1:
			return "tail"
		}
		return "in the chain"
	}
	return "NOT IN THE CHAIN"
}

func renderPlacement(line printLine, p *status.Placement) {
	if p == nil {
		line("queue\tnot placed yet")
		return
	}
	line("queue\tepoch %d, %d partitions, %d copies, %d under strength, %d without any copy",
		p.Epoch, p.Partitions, p.Copies, p.UnderReplicated, p.WithoutReplicas)
	for _, store := range p.Stores {
		retiring := ""
		if store.Retiring {
			retiring = "being emptied"
		}
		line("  store\t%s\t%s\t%d primaries, %d complete, %d joining\t%s",
			store.Node, store.Zone, store.Primaries, store.Replicas, store.Joining, retiring)
	}
}

func renderMembers(line printLine, m *status.Members) {
	if m == nil {
		line("members\tnot known here: the leader was not reached")
		return
	}
	for _, edges := range m.Edges {
		line("edges\t%s\t%d ready, %d not", edges.Zone, edges.Ready, edges.NotReady)
	}
	for _, stores := range m.Stores {
		line("stores\t%s\t%d live, %d leaving, %d behind\t%d messages pending, copies counted",
			stores.Zone, stores.Live, stores.Leaving, stores.Behind, stores.Pending)
	}
}
