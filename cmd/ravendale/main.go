// Ravendale is one scheduler on real sockets; PROXY_CONFIG names its configuration.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"ravendale/config"
	"ravendale/platform/node"
)

func main() {
	hangup := catch() // before anything slow
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := run(log, hangup); err != nil {
		log.Error("cannot run", "err", err)
		os.Exit(1)
	}
}

// catch takes SIGHUP, which ends the program until then. One that comes while another is waited for adds nothing.
func catch() <-chan os.Signal {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	return hangup
}

func run(log *slog.Logger, hangup <-chan os.Signal) error {
	cfg, err := config.Load(os.Getenv, os.ReadFile)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // the machine has a single core
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(400)
	}
	limitMemory(cfg, 1)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	n, err := node.New(cfg, log)
	if err != nil {
		return err
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
