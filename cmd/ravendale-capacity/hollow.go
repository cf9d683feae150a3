package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"strconv"
	"time"

	"ravendale/lab/hollow"
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
}

func (l leadership) arguments() []string {
	return []string{
		"leader", "--network", strconv.Itoa(l.Network), "--heartbeat", l.Heartbeat.String(), "--routes", strconv.Itoa(l.Routes),
		"--services", strconv.Itoa(l.Services), "--workers", strconv.Itoa(l.Workers),
	}
}

type leaderCmd struct {
	leadership
}

func (c *leaderCmd) Run() error {
	config := hollow.LeaderConfig{
		Network: c.Network, Heartbeat: c.Heartbeat, Routes: c.Routes, Services: c.Services, Workers: c.Workers, Log: logger(),
	}
	return hollow.ServeLeader(config, os.Stdin, os.Stdout)
}

type hollowCmd struct {
	leadership
	Schedulers int           `help:"Hollow schedulers." default:"100"`
	Zones      int           `help:"Zones that they stand in." default:"10"`
	Regions    int           `help:"Regions of the zones." default:"4"`
	Quiet      time.Duration `help:"Before anything is measured." default:"3s"`
	Rest       time.Duration `help:"Measured without changes." default:"10s"`
	Changes    int           `help:"Of the configuration, a second apart." default:"10"`
	Converge   time.Duration `help:"Within which all must have a change." default:"13s"`
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
			Network: c.Network, Schedulers: c.Schedulers, Zones: c.Zones, Regions: c.Regions, Heartbeat: c.Heartbeat, Seed: c.Seed, Log: logger(),
		},
		Quiet: c.Quiet, Rest: c.Rest, Changes: c.Changes, Converge: c.Converge, Leader: leader,
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

func logger() *slog.Logger { return slog.New(slog.NewTextHandler(os.Stderr, nil)) }
