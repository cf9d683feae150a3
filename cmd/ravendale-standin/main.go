// Command ravendale-standin simulates the external dependencies of the system on loopback: the platform's instance list and the
// workers of some services.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"ravendale/test/standin"
	"ravendale/test/standin/check"
	"ravendale/test/standin/protocol"
	"ravendale/test/standin/workers"
)

type arguments struct {
	Address  string        `help:"Address of the platform's instance list." default:"127.0.0.1:8040"`
	Zones    []string      `help:"Zones of the workers." default:"east,west,north"`
	Services int           `help:"Number of services." default:"2"`
	Workers  int           `help:"Workers of each service in each zone." default:"2"`
	Capacity int           `help:"Messages that a worker processes concurrently." default:"8"`
	Work     time.Duration `help:"Mean processing time of a message." default:"20ms"`
	Fail     float64       `help:"Share of runs that fail." default:"0"`
	Lag      time.Duration `help:"Delay of the instance list behind the actual instances." default:"500ms"`
	Rate     float64       `help:"Requests for the instance list accepted per second; 0 means no limit." default:"20"`
}

// configLimits are the limits in the printed configuration.
var configLimits = protocol.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}

func main() {
	var a arguments
	k := kong.Parse(&a, kong.Name("ravendale-standin"),
		kong.Description("Simulates the platform's instance list and workers on loopback. Prints a configuration that refers to them, and runs until it is interrupted."))
	k.FatalIfErrorf(run(a))
}

func run(a arguments) error {
	options := a.options()
	if err := options.Validate(); err != nil {
		return err
	}
	world, err := standin.Start(options)
	if err != nil {
		return err
	}
	defer world.Close()
	if err := json.NewEncoder(os.Stdout).Encode(world.Config(1, configLimits)); err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "the list is at http://%s/instances\n", world.Platform.Address())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	printSummary(world)
	return nil
}

func (a arguments) options() standin.Options {
	options := standin.Options{Address: a.Address, Zones: a.Zones, Lag: a.Lag, RatePerS: a.Rate}
	for i := range a.Services {
		name := fmt.Sprintf("service-%d", i+1)
		options.Services = append(options.Services, standin.Service{
			Service: workers.Service{Name: name, Capacity: a.Capacity, Queue: a.Capacity, WorkMean: a.Work, FailShare: a.Fail},
			Workers: a.Workers,
			Routes: []protocol.Route{{
				Name: "route-" + name, Host: "messages.example", PathPrefix: "/" + name + "/",
				TimeoutMs: 2000, TargetMs: 100, StartTargetMs: 1000, Retries: 5, RetentionS: 90,
			}},
		})
	}
	return options
}

// printSummary prints the number of runs of each service and quantiles of their durations.
func printSummary(world *standin.World) {
	runsByService := make(map[string]int)
	var runDurations []time.Duration
	for _, arrival := range world.Record.History().Arrivals {
		if arrival.Started() {
			runsByService[arrival.Service]++
			runDurations = append(runDurations, arrival.End-arrival.Start)
		}
	}
	for _, service := range world.Config(1, configLimits).Services {
		fmt.Fprintf(os.Stderr, "%s ran %d\n", service.Name, runsByService[service.Name])
	}
	fmt.Fprintf(os.Stderr, "runs took p50 %v, p99 %v\n", check.Quantile(runDurations, 0.5), check.Quantile(runDurations, 0.99))
}
