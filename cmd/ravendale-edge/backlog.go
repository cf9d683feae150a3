package main

import (
	"context"
	"log/slog"
	"time"

	"ravendale/edge/dispatch"
)

const (
	backlogInterval  = 2 * time.Second // between checks of the backlog
	backlogThreshold = time.Second     // a message that has been due for longer is overdue
)

// watchBacklogs periodically logs the overdue messages of each service until the context ends.
func watchBacklogs(ctx context.Context, dispatcher *dispatch.Manager, log *slog.Logger) {
	ticker := time.NewTicker(backlogInterval)
	defer ticker.Stop()
	overdue := make(map[string]bool)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			overdue = logBacklogs(dispatcher.Backlogs(backlogThreshold), overdue, log)
		}
	}
}

// logBacklogs logs each backlog, and each service that had one at the previous check and has none now. It returns the services that
// have a backlog.
func logBacklogs(backlogs []dispatch.Backlog, previous map[string]bool, log *slog.Logger) map[string]bool {
	current := make(map[string]bool, len(backlogs))
	for i := range backlogs {
		b := &backlogs[i]
		current[b.Service] = true
		log.Warn("messages overdue", "service", b.Service, "oldest", b.Oldest.Round(time.Millisecond),
			"key_order", b.KeyOrder, "backing_off", b.BackingOff, "rate_limited", b.RateLimited, "queued", b.Queued, "in_flight", b.InFlight,
			"workers", b.Workers, "unhealthy", b.Unhealthy, "at_capacity", b.AtCapacity)
	}
	for service := range previous {
		if !current[service] {
			log.Info("no messages overdue", "service", service)
		}
	}
	return current
}
