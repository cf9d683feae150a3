package main

import (
	"context"
	"log/slog"
	"time"

	"ravendale/edge/dispatch"
)

const (
	backlogInterval  = 2 * time.Second // between checks of the backlog
	backlogThreshold = time.Second     // a message that is due for so long is overdue
)

// watchBacklogs logs overdue messages by service, until the context ends.
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

// logBacklogs logs each backlog, and the end of those of the last check. It returns the services that have one.
func logBacklogs(backlogs []dispatch.Backlog, before map[string]bool, log *slog.Logger) map[string]bool {
	current := make(map[string]bool, len(backlogs))
	for i := range backlogs {
		b := &backlogs[i]
		current[b.Service] = true
		log.Warn("messages overdue", "service", b.Service, "oldest", b.Oldest.Round(time.Millisecond),
			"key_order", b.KeyOrder, "backing_off", b.BackingOff, "rate_limited", b.RateLimited, "queued", b.Queued, "in_flight", b.InFlight,
			"workers", b.Workers, "unhealthy", b.Unhealthy, "at_capacity", b.AtCapacity)
	}
	for service := range before {
		if !current[service] {
			log.Info("no messages overdue", "service", service)
		}
	}
	return current
}
