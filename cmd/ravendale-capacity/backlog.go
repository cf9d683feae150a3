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
	Messages int    `help:"Number of pending messages in the store." default:"100000"`
	Body     int    `help:"Size of a message body in bytes." default:"1000"`
	Dir      string `help:"Folder on the disk to measure; a temporary folder is created in it and removed afterwards." type:"existingdir" default:"."`
}

func (c *backlogCmd) Run() error {
	dir, err := os.MkdirTemp(c.Dir, "backlog-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	loadBefore := loadAverage()
	result, err := backlog.Run(context.Background(), backlog.Config{Dir: dir, Messages: c.Messages, Body: c.Body})
	if err != nil {
		return err
	}
	messageCount := float64(result.Messages)
	fmt.Printf("messages %d, body %d bytes, load of the machine %s before, %s after\n", result.Messages, result.Body, loadBefore, loadAverage())
	fmt.Printf("memory %.0f B a message, %.0f B after the restart\n", float64(result.Heap)/messageCount, float64(result.RecoveredHeap)/messageCount)
	fmt.Printf("disk %.0f B a message\n", float64(result.Disk)/messageCount)
	fmt.Printf("fill %v, %.1f us of processor time a message (store and sender)\n", result.Filled.Round(time.Millisecond), perMessage(result.FilledCPU, messageCount))
	fmt.Printf("restart %v, %.2f us of processor time a message\n", result.Recovered.Round(time.Millisecond), perMessage(result.RecoveredCPU, messageCount))
	return nil
}

func perMessage(total time.Duration, messageCount float64) float64 {
	return float64(total) / float64(time.Microsecond) / messageCount
}

// loadAverage returns the machine's load average over the last minute as text, or an empty string if it can't be read.
func loadAverage() string {
	content, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	minute, _, _ := strings.Cut(string(content), " ")
	return minute
}
