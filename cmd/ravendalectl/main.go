// Command ravendalectl is the operator's command-line tool: it checks and changes configurations, shows the status of the system,
// empties stores and reads disks.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

// commandLine has all commands.
type commandLine struct {
	Config  configCommand  `cmd:"" help:"The configuration: routes, services and limits."`
	Status  statusCommand  `cmd:"" help:"Show the state of the control plane, the queue and the members."`
	Message messageCommand `cmd:"" help:"Show the state of a message."`
	Store   storeCommand   `cmd:"" help:"The storage machines."`
	Disk    diskCommand    `cmd:"" help:"Read the disk of a stopped process without changing it."`
}

// environment has the dependencies of commands, which tests replace.
type environment struct {
	stdout io.Writer
	sleep  func(ctx context.Context, pause time.Duration) error
}

const description = "The operator's command line of ravendale.\n\n" + exitCodesHelp

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, environment{stdout: os.Stdout, sleep: sleep}, os.Args[1:], os.Stderr))
}

// run executes a command line and returns the exit code.
func run(ctx context.Context, env environment, arguments []string, stderr io.Writer) int {
	parser, helpShown := newParser(&commandLine{}, env.stdout, stderr)
	parsed, err := parser.Parse(arguments)
	if *helpShown {
		return exitDone // help was requested and has been printed
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "ravendalectl: %v\nnext: see ravendalectl --help\n", err)
		return exitUsage
	}
	parsed.BindTo(ctx, (*context.Context)(nil))
	if err := parsed.Run(env); err != nil {
		printError(stderr, err)
		return exitCodeOf(err)
	}
	return exitDone
}

func newParser(commands *commandLine, stdout, stderr io.Writer) (*kong.Kong, *bool) {
	helpShown := false
	parser := kong.Must(commands,
		kong.Name("ravendalectl"), kong.Description(description), kong.Writers(stdout, stderr),
		kong.Exit(func(int) { helpShown = true }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	return parser, &helpShown
}

func sleep(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
