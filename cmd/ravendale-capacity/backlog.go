package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"ravendale/test/lab/backlog"
)

type backlogCmd struct {
	Messages int    `help:"That wait." default:"100000"`
	Body     int    `help:"Bytes of a message's body." default:"1000"`
	Dir      string `help:"Folder on the disk that is to be used; a new one is made in it and removed." type:"existingdir" default:"."`
}

func (c *backlogCmd) Run() error {
	dir, err := os.MkdirTemp(c.Dir, "backlog-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	before := machineLoad()
	r, err := backlog.Run(context.Background(), backlog.Config{Dir: dir, Messages: c.Messages, Body: c.Body})
	if err != nil {
		return err
	}
	count := float64(r.Messages)
	fmt.Printf("messages %d, body %d bytes, load of the machine %s before, %s after\n", r.Messages, r.Body, before, machineLoad())
	fmt.Printf("memory %.0f B a message, %.0f B after the restart\n", float64(r.Heap)/count, float64(r.RecoveredHeap)/count)
	fmt.Printf("disk %.0f B a message\n", float64(r.Disk)/count)
	fmt.Printf("fill %v, %.1f us of processor time a message (store and sender)\n", r.Filled.Round(time.Millisecond), perMessage(r.FilledCPU, count))
	fmt.Printf("restart %v, %.2f us of processor time a message\n", r.Recovered.Round(time.Millisecond), perMessage(r.RecoveredCPU, count))
	return nil
}

func perMessage(total time.Duration, count float64) float64 {
	return float64(total) / float64(time.Microsecond) / count
}

// machineLoad is the machine's load over the last minute, as text; empty if it can't be read.
func machineLoad() string {
	content, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	minute, _, _ := strings.Cut(string(content), " ")
	return minute
}
