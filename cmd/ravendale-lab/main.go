// Ravendale-lab runs experiments on ravendale with simulated nodes, discovery and clients on loopback addresses.
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
	Run   runCmd   `cmd:"" help:"Run an experiment and save its results."`
	Check checkCmd `cmd:"" help:"Check experiment files and report their errors."`
	List  listCmd  `cmd:"" help:"List the experiments in a folder."`
	Draw  drawCmd  `cmd:"" help:"Regenerate the table and the report of saved results."`
	Trace traceCmd `cmd:"" help:"Count events across schedulers, from logs written with --log-level debug --log-format json."`
	Fleet fleetCmd `cmd:"" hidden:"" help:"Simulate nodes until standard input is closed; the spec is a line of JSON on it."`
	Load  loadCmd  `cmd:"" hidden:"" help:"Simulate clients; the spec is a line of JSON on standard input."`
}

// errExpectationFailed is returned after an experiment if one of its expectations did not hold.
var errExpectationFailed = errors.New("an expectation of the experiment did not hold")

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("ravendale-lab"), kong.Description("Runs experiments on ravendale, all on loopback addresses."))
	switch err := k.Run(); {
	case errors.Is(err, errExpectationFailed):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, "ravendale-lab:", err)
		os.Exit(2)
	}
}

type traceCmd struct {
	Folder string        `arg:"" help:"Folder of the logs, with a file NAME.log for each scheduler." type:"path"`
	Span   time.Duration `help:"Length of the intervals that events are counted in." default:"2s"`
}

func (c *traceCmd) Run() error {
	if c.Span <= 0 {
		return fmt.Errorf("--span: %v is not above 0", c.Span)
	}
	spans, skipped, err := lab.Trace(c.Folder, c.Span)
	if err != nil {
		return err
	}
	if skipped > 0 {
		fmt.Fprintln(os.Stderr, skipped, "lines skipped: not JSON log lines")
	}
	return lab.WriteTrace(os.Stdout, spans, c.Span)
}

func logger() *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
}

type runCmd struct {
	File   string `arg:"" help:"The experiment file."`
	Short  bool   `help:"Run the short form of the experiment."`
	Out    string `help:"Folder for results.json, results.csv and report.html." type:"path"`
	Binary string `help:"The scheduler binary to run." default:"bin/ravendale" type:"path"`
	Logs   string `help:"Folder for the scheduler's logs." type:"path"`
	Only   string `help:"Run only this variant."`

	Commit  string   `help:"The measured commit, recorded in the results."`
	Comment []string `help:"A comment to save with the results; may be repeated." sep:"none"`
}

func loadExperiment(file string) (*lab.Experiment, *lab.FleetExperiment, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	return lab.Parse(file, text)
}

func (c *runCmd) Run() error {
	experiment, fleet, err := loadExperiment(c.File)
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
		results, err = r.Run(experiment)
	}
	if err != nil {
		return err
	}
	verdicts := experiment.Judge(results)
	allHeld, heldCount := true, 0
	for _, v := range verdicts {
		if v.Held {
			heldCount++
		}
		if !v.Held || v.Aim {
			fmt.Println(v)
		}
		allHeld = allHeld && (v.Held || v.Aim)
	}
	fmt.Printf("%d of %d expectations held\n", heldCount, len(verdicts))
	if c.Out != "" {
		origin := lab.ThisMachine(experiment.Seed, c.Commit, c.Short)
		origin.Comments = c.Comment
		if err := lab.Keep(c.Out, experiment, origin, results, verdicts); err != nil {
			return err
		}
		fmt.Println("results in", filepath.Clean(c.Out))
	}
	if !allHeld {
		return errExpectationFailed
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
		experiment, _, err := loadExperiment(file)
		if err != nil {
			return err
		}
		fmt.Printf("%-12s %d variants, %d phases: %s\n", experiment.Name, len(experiment.Variants), len(experiment.Phases), experiment.About)
	}
	return nil
}

type drawCmd struct {
	File string `arg:"" help:"The experiment file."`
	Dir  string `arg:"" help:"The folder with results.json." type:"path"`
}

func (c *drawCmd) Run() error {
	experiment, _, err := loadExperiment(c.File)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(filepath.Join(c.Dir, "results.json"))
	if err != nil {
		return err
	}
	var stored lab.Kept
	if err := json.Unmarshal(text, &stored); err != nil {
		return fmt.Errorf("%s: %w", c.Dir, err)
	}
	if stored.Experiment != experiment.Name {
		return fmt.Errorf("%s holds results of the experiment %q", c.Dir, stored.Experiment)
	}
	return lab.Keep(c.Dir, experiment, stored.Origin, stored.Results, experiment.Judge(stored.Results))
}

type checkCmd struct {
	Files []string `arg:"" help:"The experiment files."`
}

func (c *checkCmd) Run() error {
	var errs error
	for _, file := range c.Files {
		if _, _, err := loadExperiment(file); err != nil {
			errs = errors.Join(errs, err)
		}
	}
	return errs
}

// readSpec reads the spec of a child process, one line of JSON on standard input. It returns the reader of the rest.
func readSpec(v any) (*bufio.Reader, error) {
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
	in, err := readSpec(&s)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	stop := make(chan struct{})
	go func() {
		_, _ = in.ReadByte() // returns at the end of the input
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
	if _, err := readSpec(&s); err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	report, err := lab.Drive(s, logger())
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(report)
}
