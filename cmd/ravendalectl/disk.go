package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/samber/oops"

	"ravendale/cmd/ravendalectl/internal/disks"
)

// diskCommand groups the commands that read disks.
type diskCommand struct {
	Inspect inspectCommand `cmd:"" help:"Show the content of a disk and the state of each file."`
	Verify  verifyCommand  `cmd:"" help:"Only report whether all synced data can be read."`
}

type inspectCommand struct {
	Folder   string `arg:"" help:"The data folder of a machine, or of one process."`
	JSON     bool   `name:"json" help:"Write JSON, one line for each disk."`
	Document bool   `help:"Write the configuration on a control process's disk, and nothing else."`
}

// Run implements the command.
func (c *inspectCommand) Run(env environment) error {
	reports, err := inspectDisks(c.Folder)
	if err != nil {
		return err
	}
	for _, report := range reports {
		if err := c.write(env.stdout, report); err != nil {
			return err
		}
	}
	return nil
}

func (c *inspectCommand) write(stdout io.Writer, report *disks.Report) error {
	switch {
	case c.Document:
		if report.Core == nil {
			return nil
		}
		_, err := fmt.Fprintf(stdout, "%s\n", report.Core.Document)
		return err
	case c.JSON:
		return json.NewEncoder(stdout).Encode(report)
	}
	return renderDisk(stdout, report)
}

type verifyCommand struct {
	Folder string `arg:"" help:"The data folder of a machine, or of one process."`
}

// Run implements the command.
func (c *verifyCommand) Run(env environment) error {
	reports, err := inspectDisks(c.Folder)
	if err != nil {
		return err
	}
	damaged := 0
	for _, report := range reports {
		if report.SetAside {
			_, _ = fmt.Fprintf(env.stdout, "%s: has files of a damaged disk that were set aside\n", report.Folder)
			continue
		}
		if !report.Damaged() {
			_, _ = fmt.Fprintf(env.stdout, "%s: all that was synced can be read\n", report.Folder)
			continue
		}
		damaged++
		for _, damage := range report.Damage {
			_, _ = fmt.Fprintf(env.stdout, "%s: %s\n", report.Folder, damage)
		}
	}
	if damaged == 0 {
		return nil
	}
	return oops.Code(codeDamaged).
		Hint("keep a copy; if the others are well, give the process an empty folder and let it join anew: see docs/operations.md").
		Errorf("damaged disks: %d of %d", damaged, len(reports))
}

func inspectDisks(folder string) ([]*disks.Report, error) {
	reports, err := disks.Inspect(folder)
	if errors.Is(err, disks.ErrNoDisk) {
		return nil, oops.Code(codeUnknown).Hint("name the dataDir of the process's settings").Wrap(err)
	}
	if err != nil {
		return nil, fileError(err)
	}
	return reports, nil
}

// renderDisk writes a report as a human-readable table.
func renderDisk(stdout io.Writer, r *disks.Report) error {
	table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	line := func(format string, arguments ...any) { _, _ = fmt.Fprintf(table, format+"\n", arguments...) }
	line("disk\t%s", r.Folder)
	if r.SetAside {
		line("SET ASIDE\tthe process found this damaged, and went on as a new member")
	}
	for _, file := range r.Files {
		line("  file\t%s\t%d of %d bytes good\t%d records\t%s", file.Name, file.ReadableBytes, file.Bytes, file.Records, file.State)
	}
	for _, damage := range r.Damage {
		line("DAMAGE\t%s", damage)
	}
	for _, remark := range r.Remarks {
		line("remark\t%s", remark)
	}
	renderCoreDisk(line, r.Core)
	renderStoreDisk(line, r.Store)
	return table.Flush()
}

func renderCoreDisk(line printLine, c *disks.Core) {
	if c == nil {
		return
	}
	line("core\tdisk %s, epoch %d", c.Disk, c.Epoch)
	if c.FromOlderState {
		line("\tthis is the state before the one that is lost")
	}
	line("voters\t%s", strings.Join(c.Voters, " "))
	line("chain\t%s", strings.Join(c.Chain, " "))
	line("state\tof command %d: configuration %d, term %d, placement %d", c.Base, c.Version, c.Term, c.Placement)
	line("after it\t%d commands, up to %d: %s", len(c.CommandsAfterBase), c.Last, strings.Join(c.CommandsAfterBase, ", "))
}

func renderStoreDisk(line printLine, s *disks.Store) {
	if s == nil {
		return
	}
	line("store\tdisk %s, placement %d", s.Disk, s.Epoch)
	line("messages\t%d pending, %d done, %d dead, %d dropped", s.Pending, s.Done, s.Dead, s.Dropped)
	for _, p := range s.Partitions {
		line("  partition\t%d\t%d pending, %d ended", p.Number, p.Pending, p.Finished)
	}
}
