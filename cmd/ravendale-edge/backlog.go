package main

import (
	"context"
	"log/slog"
	"time"

	"ravendale/edge/dispatch"
)

const (
	backlogLook = 2 * time.Second // between looks at what waits
	backlogDue  = time.Second     // a message that could have begun so long ago is told of
)

// watchBacklogs logs where messages wait that should have begun, until the context ends.
func watchBacklogs(ctx context.Context, plane *dispatch.Plane, log *slog.Logger) {
	looks := time.NewTicker(backlogLook)
	defer looks.Stop()
	waiting := make(map[string]bool)
	for {
		select {
		case <-ctx.Done():
			return
		case <-looks.C:
			waiting = logBacklogs(plane.Backlogs(backlogDue), waiting, log)
		}
	}
}

// logBacklogs logs each backlog, and the end of those that there were at the last look. It returns the services that have one.
func logBacklogs(backlogs []dispatch.Backlog, were map[string]bool, log *slog.Logger) map[string]bool {
	are := make(map[string]bool, len(backlogs))
	for i := range backlogs {
		b := &backlogs[i]
		are[b.Service] = true
		log.Warn("messages wait", "service", b.Service, "oldest", b.Oldest.Round(time.Millisecond),
			"turn", b.Turn, "paused", b.Paused, "token", b.Token, "held", b.Held, "running", b.Running,
			"workers", b.Workers, "sick", b.Sick, "full", b.Full)
	}
	for service := range were {
		if !are[service] {
			log.Info("no messages wait any more", "service", service)
		}
	}
	return are
}
