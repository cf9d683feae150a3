// Ravendale-lab plays experiments on ravendale: nodes, discovery and clients of its own on loopback.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"github.com/alecthomas/kong"

	"ravendale/test/lab"
)

type commands struct {
	Run   runCmd   `cmd:"" help:"Play an experiment and keep its results."`
	Check checkCmd `cmd:"" help:"Tell what is wrong with experiment files."`
	List  listCmd  `cmd:"" help:"List the experiments of a folder."`
	Draw  drawCmd  `cmd:"" help:"Write the table and the report of kept results anew."`
	Trace traceCmd `cmd:"" help:"Count what many schedulers did together, from the logs that they wrote with --log-level debug --log-format json."`
	Fleet fleetCmd `cmd:"" hidden:"" help:"Play nodes; the spec is JSON on standard input, whose end is the end."`
	Load  loadCmd  `cmd:"" hidden:"" help:"Play clients; the spec is JSON on standard input."`
}

// errMissed is an experiment of which something did not hold.
var errMissed = errors.New("what the experiment expects did not hold")

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("ravendale-lab"), kong.Description("Experiments on ravendale, all on loopback addresses."))
	switch err := k.Run(); {
	case errors.Is(err, errMissed):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, "ravendale-lab:", err)
		os.Exit(2)
	}
}

type traceCmd struct {
	Folder string        `arg:"" help:"Where the logs are, NAME.log for each scheduler." type:"path"`
	Span   time.Duration `help:"Length of the spans of time that are counted." default:"2s"`
}

func (c *traceCmd) Run() error {
	if c.Span <= 0 {
		return fmt.Errorf("--span: %v is no length of time", c.Span)
	}
	spans, skipped, err := lab.Trace(c.Folder, c.Span)
	if err != nil {
		return err
	}
	if skipped > 0 {
		fmt.Fprintln(os.Stderr, skipped, "lines are no JSON of a log and were passed over")
	}
	return lab.WriteTrace(os.Stdout, spans, c.Span)
}

func logger() *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
}

type runCmd struct {
	File   string `arg:"" help:"The experiment file."`
	Short  bool   `help:"Play the short form."`
	Out    string `help:"Folder for results.json, results.csv and report.html." type:"path"`
	Binary string `help:"The scheduler to run." default:"bin/ravendale" type:"path"`
	Logs   string `help:"Folder for the scheduler's logs." type:"path"`
	Only   string `help:"Play this variant alone."`

	Commit  string   `help:"The commit that is measured, for the results."`
	Comment []string `help:"A remark to keep with the results; may be given again." sep:"none"`
}

func read(file string) (*lab.Experiment, *lab.FleetExperiment, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	return lab.Parse(file, text)
}

func (c *runCmd) Run() error {
	x, fleet, err := read(c.File)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	for _, dir := range []string{c.Out, c.Logs} {
		if dir != "" {
			if err := os.MkdirAll(dir, 0o755); err != nil {
				return err
			}
		}
	}
	r := lab.Runner{Self: self, Binary: c.Binary, Short: c.Short, Logs: c.Logs, Only: c.Only, Log: logger(),
		Say: func(text string, args ...any) { fmt.Printf(text+"\n", args...) }}
	var results []lab.Result
	if fleet != nil {
		results, err = r.RunFleet(fleet)
	} else {
		results, err = r.Run(x)
	}
	if err != nil {
		return err
	}
	verdicts := x.Judge(results)
	held, count := true, 0
	for _, v := range verdicts {
		if v.Held {
			count++
		}
		if !v.Held || v.Aim {
			fmt.Println(v)
		}
		held = held && (v.Held || v.Aim)
	}
	fmt.Printf("%d of %d expectations held\n", count, len(verdicts))
	if c.Out != "" {
		origin := lab.ThisMachine(x.Seed, c.Commit, c.Short)
		origin.Comments = c.Comment
		if err := lab.Keep(c.Out, x, origin, results, verdicts); err != nil {
			return err
		}
		fmt.Println("results in", filepath.Clean(c.Out))
	}
	if !held {
		return errMissed
	}
	return nil
}

type listCmd struct {
	Dir string `arg:"" optional:"" default:"experiments" help:"The folder." type:"path"`
}

func (c *listCmd) Run() error {
	files, err := filepath.Glob(filepath.Join(c.Dir, "*.xml"))
	if err != nil {
		return err
	}
	for _, file := range files {
		x, _, err := read(file)
		if err != nil {
			return err
		}
		fmt.Printf("%-12s %d variants, %d phases: %s\n", x.Name, len(x.Variants), len(x.Phases), x.About)
	}
	return nil
}

type drawCmd struct {
	File string `arg:"" help:"The experiment file."`
	Dir  string `arg:"" help:"The folder with results.json." type:"path"`
}

func (c *drawCmd) Run() error {
	x, _, err := read(c.File)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(filepath.Join(c.Dir, "results.json"))
	if err != nil {
		return err
	}
	var kept lab.Kept
	if err := json.Unmarshal(text, &kept); err != nil {
		return fmt.Errorf("%s: %w", c.Dir, err)
	}
	if kept.Experiment != x.Name {
		return fmt.Errorf("%s holds results of the experiment %q", c.Dir, kept.Experiment)
	}
	return lab.Keep(c.Dir, x, kept.Origin, kept.Results, x.Judge(kept.Results))
}

type checkCmd struct {
	Files []string `arg:"" help:"The experiment files."`
}

func (c *checkCmd) Run() error {
	var all error
	for _, file := range c.Files {
		if _, _, err := read(file); err != nil {
			all = errors.Join(all, err)
		}
	}
	return all
}

// spec reads a child's spec, a line of JSON.
func spec(v any) (*bufio.Reader, error) {
	in := bufio.NewReader(os.Stdin)
	line, err := in.ReadBytes('\n')
	if err != nil {
		return nil, err
	}
	return in, json.Unmarshal(line, v)
}

type fleetCmd struct{}

func (fleetCmd) Run() error {
	var s lab.FleetSpec
	in, err := spec(&s)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	stop := make(chan struct{})
	go func() {
		_, _ = in.ReadByte() // its end
		close(stop)
	}()
	report, err := lab.ServeFleet(s, logger(), func() { fmt.Println("ready") }, stop)
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(report)
}

type loadCmd struct{}

func (loadCmd) Run() error {
	var s lab.LoadSpec
	if _, err := spec(&s); err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	report, err := lab.Drive(s, logger())
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(report)
}
