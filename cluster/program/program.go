package program

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"ravendale/cluster/settings"
)

// Arguments are the command-line arguments of every process of the system.
type Arguments struct {
	Settings  string `help:"Path of the settings file." env:"RAVENDALE_SETTINGS" required:"" type:"path"`
	LogLevel  string `help:"Least level that is logged: debug, info, warn or error." enum:"debug,info,warn,error" default:"info"`
	LogFormat string `help:"Form of the log: text or json." enum:"text,json" default:"text"`
	Check     bool   `help:"Check the settings file, tell all that is wrong with it, and exit."`
}

// Exit codes of a process.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2
)

// Environment is what Run passes to a process's main function.
type Environment struct {
	Settings *settings.Settings
	Path     string // of the settings file
	Log      *slog.Logger
	Hangup   <-chan os.Signal // SIGHUP
}

// Run parses the arguments, loads the settings, and calls run with a context that is cancelled by SIGTERM or SIGINT. It
// exits the process and does not return.
func Run(name, description string, run func(context.Context, Environment) error) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP) // registered first: by default SIGHUP terminates the process
	var arguments Arguments
	kong.Parse(&arguments, kong.Name(name), kong.Description(description), kong.UsageOnError())
	os.Exit(runProcess(arguments, hangup, os.Stderr, run))
}

func runProcess(arguments Arguments, hangup <-chan os.Signal, output io.Writer, run func(context.Context, Environment) error) int {
	loaded, err := settings.Load(arguments.Settings)
	if err != nil {
		_, _ = fmt.Fprintln(output, err)
		return ExitSettings
	}
	if arguments.Check {
		_, _ = fmt.Fprintf(output, "%s: no findings\n", arguments.Settings)
		return ExitOK
	}
	log := NewLogger(output, arguments.LogLevel, arguments.LogFormat).With("node", loaded.Node)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, Environment{Settings: loaded, Path: arguments.Settings, Log: log, Hangup: hangup}); err != nil {
		log.Error("process stopped by an error", "error", err)
		return ExitFailed
	}
	return ExitOK
}

// NewLogger returns a logger with a level and a format as in Arguments.
func NewLogger(output io.Writer, level, format string) *slog.Logger {
	var minLevel slog.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		minLevel = slog.LevelInfo
	}
	options := &slog.HandlerOptions{Level: minLevel}
	if format == "json" {
		return slog.New(slog.NewJSONHandler(output, options))
	}
	return slog.New(slog.NewTextHandler(output, options))
}

// WatchSettings calls changed with each new valid content of the settings file until the context ends.
func (e Environment) WatchSettings(ctx context.Context, changed func(*settings.Settings)) {
	settings.Watch(ctx, e.Path, e.Hangup, changed, func(err error) {
		e.Log.Warn("ignoring changed settings file", "error", err)
	})
}

// SetMemoryLimits configures the garbage collector: percent is the heap growth between collections (GOGC), and the soft
// memory limit is 80 % of the process's limit.
func SetMemoryLimits(percent, limitMb int) {
	const mb = 1 << 20
	debug.SetGCPercent(percent)
	debug.SetMemoryLimit(int64(limitMb) * mb * 8 / 10)
}
