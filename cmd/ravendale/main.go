// Ravendale is one scheduler on real sockets; PROXY_CONFIG names its configuration.
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

// commands are the sub-commands and flags; without any the program serves.
type commands struct {
	Serve serveCmd `cmd:"" default:"withargs" help:"Serve, as PROXY_CONFIG says. What is done where no command is given."`
	Check checkCmd `cmd:"" help:"Tell all that is wrong with an operator's file."`
	Fleet fleetCmd `cmd:"" help:"Ask and steer the fleet that an operator's file names."`
	Audit auditCmd `cmd:"" help:"Read the records of schedulers as one timeline."`
}

// errWrong is a file of which everything wrong has been told.
var errWrong = errors.New("wrong")

func main() {
	hangup := catch() // before anything slow
	var c commands
	k := kong.Parse(&c, kong.Name("ravendale"), kong.Description("The scheduler: takes jobs, and pushes each to one backend server."),
		kong.Bind(hangup))
	err := k.Run()
	switch {
	case errors.Is(err, errWrong):
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, "ravendale:", err)
		os.Exit(1)
	}
}

// hangups bring SIGHUP.
type hangups <-chan os.Signal

// catch takes SIGHUP, which ends the program until then. One that comes while another is waited for adds nothing.
func catch() hangups {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	return hangup
}

type serveCmd struct {
	Config    string           `help:"The operator's file, by its schema deploy/ravendale.xsd." placeholder:"FILE" env:"RAVENDALE_FILE"`
	Cores     int              `help:"Serve on so many cores. It comes before the file's." placeholder:"N"`
	LogLevel  *operator.Level  `help:"Least level that is logged: debug, info, warn or error." placeholder:"LEVEL"`
	LogFormat *operator.Format `help:"Form of the log's lines: text or json." placeholder:"FORM"`
}

// logger writes lines of a form and from a level on.
func logger(to io.Writer, level operator.Level, format operator.Format) *slog.Logger {
	o := &slog.HandlerOptions{Level: slog.Level(level)}
	if format == "json" {
		return slog.New(slog.NewJSONHandler(to, o))
	}
	return slog.New(slog.NewTextHandler(to, o))
}

func (c *serveCmd) Run(hangup hangups) error {
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
		log.Error("cannot run", "err", err)
		return errWrong
	}
	return nil
}

func (c *serveCmd) serve(log *slog.Logger, file *operator.File, hangup hangups) error {
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
	if cfg.Cores < 1 || cfg.Cores > operator.MostCores {
		return fmt.Errorf("--cores: %d is not between 1 and %d", cfg.Cores, operator.MostCores)
	}
	processors := cfg.Cores // the platform's machine has a single core
	if cfg.Cores > 1 {
		processors++ // the decider's poller keeps one while it sleeps in the system: see docs/cores.md
	}
	runtime.GOMAXPROCS(processors)
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(400) // little lives long: see docs/cores.md
	}
	limitMemory(cfg, 1)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	n, err := node.New(cfg, log)
	if err != nil {
		return err
	}
	if file.Fleet != nil {
		if err := join(n, c.Config, file, log); err != nil {
			return err
		}
	}
	n.Paired = func(processes int) { limitMemory(cfg, processes) }
	go func() {
		for range hangup {
			n.Reload(os.Getenv, os.ReadFile)
		}
	}()
	return n.Run(ctx)
}

// limitMemory has the garbage collector keep to this process's part of the limit.
func limitMemory(cfg *config.Config, processes int) {
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 5 / int64(processes)) // files and buffers of the system count too
	}
}

type checkCmd struct {
	Files []string `arg:"" help:"The files."`
}

func (c *checkCmd) Run() error {
	wrong := false
	for _, name := range c.Files {
		if _, err := operator.Load(name); err != nil {
			fmt.Fprintln(os.Stderr, err)
			wrong = true
		}
	}
	if wrong {
		return errWrong
	}
	return nil
}
