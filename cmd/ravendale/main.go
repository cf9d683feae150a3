// Ravendale is the scheduler; PROXY_CONFIG names its configuration file.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"ravendale/balancer/config"
	"ravendale/balancer/operator"
	"ravendale/balancer/platform/node"
)

// commands are the sub-commands and flags. Without a sub-command the program serves.
type commands struct {
	Serve serveCmd `cmd:"" default:"withargs" help:"Run the scheduler with the configuration that PROXY_CONFIG names (the default command)."`
	Check checkCmd `cmd:"" help:"Check operator's files and report all errors."`
	Fleet fleetCmd `cmd:"" help:"Show and control the fleet of an operator's file."`
	Audit auditCmd `cmd:"" help:"Merge the records of schedulers into one timeline."`
}

// errReported makes the program exit with code 1 without a message: the cause has been printed or logged already.
var errReported = errors.New("error already reported")

func main() {
	hangup := catchHangup() // before anything slow, since SIGHUP terminates the process until then
	var c commands
	k := kong.Parse(&c, kong.Name("ravendale"), kong.Description("The scheduler: accepts jobs and sends each to one backend server."),
		kong.Bind(hangup))
	err := k.Run()
	switch {
	case errors.Is(err, errReported):
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, "ravendale:", err)
		os.Exit(1)
	}
}

// hangupSignals receives SIGHUP.
type hangupSignals <-chan os.Signal

// catchHangup subscribes to SIGHUP, which terminates the process until then. A signal that arrives while another is
// pending is dropped.
func catchHangup() hangupSignals {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	return hangup
}

type serveCmd struct {
	Config    string           `help:"The operator's file; its schema is deploy/ravendale.xsd." placeholder:"FILE" env:"RAVENDALE_FILE"`
	Cores     int              `help:"Number of cores to use. It overrides the operator's file." placeholder:"N"`
	LogLevel  *operator.Level  `help:"Lowest level that is logged: debug, info, warn or error." placeholder:"LEVEL"`
	LogFormat *operator.Format `help:"Format of log lines: text or json." placeholder:"FORM"`
}

// logger returns a logger that writes lines of the given format, at the given level and above.
func logger(out io.Writer, level operator.Level, format operator.Format) *slog.Logger {
	o := &slog.HandlerOptions{Level: slog.Level(level)}
	if format == "json" {
		return slog.New(slog.NewJSONHandler(out, o))
	}
	return slog.New(slog.NewTextHandler(out, o))
}

func (c *serveCmd) Run(hangup hangupSignals) error {
	file, err := operator.Load(c.Config)
	if err != nil {
		return err
	}
	var level operator.Level
	var format operator.Format
	if file.Log != nil {
		level, format = file.Log.Level, file.Log.Format
	}
	if c.LogLevel != nil {
		level = *c.LogLevel
	}
	if c.LogFormat != nil {
		format = *c.LogFormat
	}
	log := logger(os.Stderr, level, format)
	if err := c.serve(log, file, hangup); err != nil {
		log.Error("scheduler failed", "err", err)
		return errReported
	}
	return nil
}

func (c *serveCmd) serve(log *slog.Logger, file *operator.File, hangup hangupSignals) error {
	cfg, err := config.Load(os.Getenv, os.ReadFile)
	if err != nil {
		return err
	}
	if file.Cores != nil {
		cfg.Cores = file.Cores.Count
	}
	if c.Cores != 0 {
		cfg.Cores = c.Cores
	}
	if cfg.Cores < 1 || cfg.Cores > operator.MaxCores {
		return fmt.Errorf("--cores: %d is not between 1 and %d", cfg.Cores, operator.MaxCores)
	}
	processors := cfg.Cores // 1 unless the operator sets more: the platform's machine has a single core
	if cfg.Cores > 1 {
		processors++ // the decider's poller occupies one while it waits in a system call: see docs/cores.md
	}
	runtime.GOMAXPROCS(processors)
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(400) // most objects are short-lived: see docs/cores.md
	}
	limitMemory(cfg, 1)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	n, err := node.New(cfg, log)
	if err != nil {
		return err
	}
	if file.Fleet != nil {
		if err := joinFleet(n, c.Config, file, log); err != nil {
			return err
		}
	}
	n.ProcessCountChanged = func(processes int) { limitMemory(cfg, processes) }
	go func() {
		for range hangup {
			n.Reload(os.Getenv, os.ReadFile)
		}
	}()
	return n.Run(ctx)
}

// limitMemory sets the garbage collector's limit to this process's share of the memory limit.
func limitMemory(cfg *config.Config, processes int) {
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 5 / int64(processes)) // the system's files and buffers count towards the limit, too
	}
}

type checkCmd struct {
	Files []string `arg:"" help:"The operator's files."`
}

func (c *checkCmd) Run() error {
	failed := false
	for _, name := range c.Files {
		if _, err := operator.Load(name); err != nil {
			fmt.Fprintln(os.Stderr, err)
			failed = true
		}
	}
	if failed {
		return errReported
	}
	return nil
}
