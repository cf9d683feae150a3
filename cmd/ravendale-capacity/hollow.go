package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"runtime/pprof"
	"strconv"
	"time"

	"ravendale/test/lab/hollow"
)

// errMissed is an experiment of which something did not hold.
var errMissed = errors.New("what the experiment expects did not hold")

// leadership is what the leader is told, by flags of both commands.
type leadership struct {
	Network   int           `help:"Second number of the loopback addresses." default:"77"`
	Heartbeat time.Duration `help:"Of the settings file." default:"1.2s"`
	Routes    int           `help:"Of the configuration." default:"100"`
	Services  int           `help:"Of the configuration." default:"20"`
	Workers   int           `help:"Entries of the platform's list." default:"100"`
	Profile   string        `help:"File that gets a profile of the leader's processor time." type:"path"`
}

func (l leadership) arguments() []string {
	arguments := []string{
		"leader", "--network", strconv.Itoa(l.Network), "--heartbeat", l.Heartbeat.String(), "--routes", strconv.Itoa(l.Routes),
		"--services", strconv.Itoa(l.Services), "--workers", strconv.Itoa(l.Workers),
	}
	if l.Profile != "" {
		arguments = append(arguments, "--profile", l.Profile)
	}
	return arguments
}

type leaderCmd struct {
	leadership
}

func (c *leaderCmd) Run() error {
	config := hollow.LeaderConfig{
		Network: c.Network, Heartbeat: c.Heartbeat, Routes: c.Routes, Services: c.Services, Workers: c.Workers, Log: logger(slog.LevelInfo),
	}
	stop, err := startProfile(c.Profile)
	if err != nil {
		return err
	}
	return errors.Join(hollow.ServeLeader(config, os.Stdin, os.Stdout), stop())
}

// startProfile writes a profile to a file until stop is called. Without a path it does nothing.
func startProfile(path string) (stop func() error, err error) {
	if path == "" {
		return func() error { return nil }, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return func() error {
		pprof.StopCPUProfile()
		return file.Close()
	}, nil
}

type hollowCmd struct {
	leadership
	Schedulers int           `help:"Hollow schedulers." default:"100"`
	Zones      int           `help:"Zones that they stand in." default:"10"`
	Regions    int           `help:"Regions of the zones." default:"4"`
	Spread     time.Duration `help:"Within which all start first; restarts take 300 ms." default:"300ms"`
	Quiet      time.Duration `help:"Before anything is measured." default:"3s"`
	Rest       time.Duration `help:"Measured without changes." default:"10s"`
	Changes    int           `help:"Of the configuration, a second apart." default:"10"`
	Converge   time.Duration `help:"Within which all must have a change." default:"13s"`
	Patience   time.Duration `help:"For all to be current after a start." default:"30s"`
	Seed       uint64        `help:"Of the order of starts and the choice of who is killed." default:"1"`
	Out        string        `help:"File that gets the whole result as JSON." type:"path"`
}

func (c *hollowCmd) Run() error {
	own, err := os.Executable()
	if err != nil {
		return err
	}
	leader := exec.Command(own, c.arguments()...)
	leader.Env = append(os.Environ(), "GOMAXPROCS=1") // as on the machines of the system
	result, err := hollow.Play(hollow.ExperimentConfig{
		Fleet: hollow.FleetConfig{
			Network: c.Network, Schedulers: c.Schedulers, Zones: c.Zones, Regions: c.Regions, Heartbeat: c.Heartbeat,
			Spread: c.Spread, Seed: c.Seed, Log: logger(slog.LevelInfo),
		},
		Quiet: c.Quiet, Rest: c.Rest, Changes: c.Changes, Converge: c.Converge, Patience: c.Patience, Leader: leader,
	})
	if result != nil {
		fmt.Print(result.Table())
		err = errors.Join(err, c.keep(result))
	}
	if err != nil {
		return err
	}
	if len(result.Breaches) > 0 {
		return fmt.Errorf("%w: %q", errMissed, result.Breaches)
	}
	return nil
}

func (c *hollowCmd) keep(result *hollow.Result) error {
	if c.Out == "" {
		return nil
	}
	encoded, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.Out, append(encoded, '\n'), 0o644)
}

func logger(level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}
