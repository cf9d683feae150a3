// Cluster is an example: it starts a small system on loopback, sends messages, waits until they are delivered, prints which
// worker ran them, and stops all processes. Run it from anywhere in the repository with
//
//	go run ./example/cluster
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"ravendale/test/standin"
	"ravendale/test/standin/client"
	"ravendale/test/standin/cluster"
	"ravendale/test/standin/history"
	"ravendale/test/standin/operator"
	"ravendale/test/standin/protocol"
	"ravendale/test/standin/workers"
)

type arguments struct {
	Programs string        `help:"Folder with the system's programs. Empty: they are built." default:""`
	Folder   string        `help:"Folder for settings, data and logs, which is kept. Empty: a temporary one." default:""`
	Messages int           `help:"Messages to hand in." default:"3"`
	Within   time.Duration `help:"All must be over by then." default:"60s"`
}

// Names, route and timing of the example.
const (
	serviceName = "greeter"
	host        = "messages.example"
	prefix      = "/greet/"
	stopGrace   = 10 * time.Second
	pollPause   = 50 * time.Millisecond
)

var zones = []string{"east", "west", "north"}

func main() {
	var args arguments
	k := kong.Parse(&args, kong.Name("cluster"), kong.Description("A small system on loopback, from start to stop."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	ctx, cancel := context.WithTimeout(ctx, args.Within)
	err := run(ctx, args)
	cancel()
	stop()
	k.FatalIfErrorf(err)
}

func run(ctx context.Context, args arguments) error {
	folder, err := workFolder(args)
	if err != nil {
		return err
	}
	if args.Folder == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	programs, err := buildPrograms(ctx, args, folder)
	if err != nil {
		return err
	}
	world, err := standin.Start(worldOptions())
	if err != nil {
		return err
	}
	defer world.Close()
	system, err := cluster.New(cluster.Spec{
		Programs: programs, Folder: filepath.Join(folder, "machines"), Provider: world.Platform.Address(),
		Zones: zones, EdgesPerZone: 1, StoresPerZone: 1, ToleratedNodes: 1,
	})
	if err != nil {
		return err
	}
	defer system.Kill()
	if err := runDemo(ctx, args, world, system); err != nil {
		return err
	}
	return stop(system)
}

func workFolder(args arguments) (string, error) {
	if args.Folder != "" {
		return filepath.Abs(args.Folder)
	}
	return os.MkdirTemp("", "ravendale-example-")
}

func buildPrograms(ctx context.Context, args arguments, folder string) (string, error) {
	if args.Programs != "" {
		return filepath.Abs(args.Programs)
	}
	printf("building the programs")
	root, err := cluster.ModuleRoot()
	if err != nil {
		return "", err
	}
	programs := filepath.Join(folder, "programs")
	return programs, cluster.Build(ctx, root, programs, false)
}

func worldOptions() standin.Options {
	return standin.Options{
		Zones: zones, Lag: 200 * time.Millisecond, RatePerS: 20,
		Services: []standin.Service{{
			Service: workers.Service{Name: serviceName, Capacity: 4, Queue: 4, WorkMin: 5 * time.Millisecond, WorkMean: 10 * time.Millisecond},
			Workers: 1,
			Routes: []protocol.Route{{
				Name: "greet", Host: host, PathPrefix: prefix,
				TimeoutMs: 2000, TargetMs: 100, StartTargetMs: 1000, Retries: 5, RetentionS: 90,
			}},
		}},
	}
}

// runDemo starts and configures the system, sends the messages, and prints each step.
func runDemo(ctx context.Context, args arguments, world *standin.World, system *cluster.Cluster) error {
	if err := system.Start(); err != nil {
		return err
	}
	printf("started %d processes on %d machines", len(system.Processes()), len(system.Edges)+len(system.Stores))
	if err := configure(ctx, world, system); err != nil {
		return err
	}
	balancer := client.NewBalancer(system.EdgeAddresses())
	if err := awaitReady(ctx, balancer, len(system.Edges)); err != nil {
		return err
	}
	printf("all edges are ready")
	clients := client.New(balancer, world.Record)
	for i := range args.Messages {
		if err := deliver(ctx, clients, i); err != nil {
			return err
		}
	}
	for _, arrival := range world.Record.History().Arrivals {
		printf("worker %s ran %s in %v", arrival.Worker, arrival.RequestID, (arrival.End - arrival.Start).Round(time.Millisecond))
	}
	return nil
}

func configure(ctx context.Context, world *standin.World, system *cluster.Cluster) error {
	admin := operator.New(system.Admin(), world.Record)
	limits := protocol.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}
	answer, err := admin.Set(ctx, 0, world.Config(1, limits))
	if err != nil {
		return err
	}
	if answer.Status != http.StatusOK {
		return fmt.Errorf("setting the configuration: status %d: %s", answer.Status, answer.Body)
	}
	shown, err := admin.Show(ctx)
	if err != nil {
		return err
	}
	printf("configuration %d is in force, with %d route", shown.Version, len(shown.Routes))
	return nil
}

func awaitReady(ctx context.Context, balancer *client.Balancer, edges int) error {
	for balancer.Ready(ctx) < edges {
		if err := pause(ctx); err != nil {
			return fmt.Errorf("waiting for %d edges to become ready: %w", edges, err)
		}
	}
	return nil
}

// deliver sends one message and polls its state until it is done.
func deliver(ctx context.Context, clients *client.Clients, i int) error {
	request := history.Send{Route: "greet", Method: http.MethodPost, Host: host, Target: fmt.Sprintf("%s%d", prefix, i)}
	sent := clients.SendOne(ctx, request, fmt.Appendf(nil, "hello %d", i))
	if !sent.Accepted() {
		return fmt.Errorf("message %d was not accepted: status %d: %s", i, sent.Status, sent.Problem)
	}
	printf("message %s was accepted by %s after %v", sent.MessageID, sent.Edge, (sent.Answered - sent.Sent).Round(time.Millisecond))
	for {
		reading := clients.ReadOne(ctx, sent)
		if reading.State == protocol.StateDone {
			printf("message %s is done, signed %s", sent.MessageID, reading.Signature)
			return nil
		}
		if err := pause(ctx); err != nil {
			return fmt.Errorf("message %s is not done, its state is %q (status %d): %w", sent.MessageID, reading.State, reading.StateStatus, err)
		}
	}
}

func stop(system *cluster.Cluster) error {
	stopGracefully := func(p *cluster.Process) error { return p.Stop(stopGrace) }
	errs := []error{cluster.Each(system.Edges, stopGracefully), cluster.Each(system.Stores, stopGracefully), cluster.Each(system.Controls, stopGracefully)}
	for _, surprise := range system.UnexpectedExits() {
		errs = append(errs, errors.New(surprise))
	}
	if err := errors.Join(errs...); err != nil {
		return err
	}
	printf("all processes have stopped")
	return nil
}

func pause(ctx context.Context) error {
	select {
	case <-time.After(pollPause):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func printf(format string, arguments ...any) { fmt.Printf(format+"\n", arguments...) }
